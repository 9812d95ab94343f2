import { expect, test } from "vitest";
import { servingWithRoutes } from "../../../testing/fake_gateway_port.ts";
import type { ConfigVersion, Route, ServingConfig } from "../serving_config.ts";
import { CHECKS, findFaults } from "./checks.ts";
import type { CheckInput } from "./finding.ts";
import { diffServing } from "./serving_diff.ts";

const SOUND: ServingConfig = soundConfig();
const [ROUTE] = SOUND.routes;
const [SERVICE] = [...SOUND.services.values()];
const TEAM = SOUND.teams![0]!;

/** The fixture's configuration, with all services that its routes name. */
function soundConfig(): ServingConfig {
  const serving = servingWithRoutes();
  const ids = serving.routes.flatMap(({ backends }) =>
    backends.map(({ service }) => service)
  );
  const services = new Map(
    ids.map((id) =>
      [
        id,
        serving.services.get(id) ?? { id, maxConnections: Infinity },
      ] as const
    ),
  );
  return { ...serving, services };
}

/** The codes that the checks report on the sound configuration with some fields replaced. */
function codesOf(
  fields: Partial<ServingConfig>,
  options: Partial<CheckInput> = {},
): readonly string[] {
  const serving = { ...SOUND, ...fields };
  return findFaults({ serving, leftOut: [], ...options })
    .map(({ code }) => code);
}

function withRoute(fields: Partial<Route>): Partial<ServingConfig> {
  return { routes: [{ ...ROUTE!, ...fields }, ...SOUND.routes.slice(1)] };
}

const CASES: Readonly<Record<string, readonly string[]>> = {
  left_out: codesOf({}, { leftOut: ["route 3: name: Invalid input"] }),
  version_not_newer: codesOf({}, { current: SOUND }),
  no_route: codesOf({ routes: [], services: new Map() }),
  unknown_service: codesOf(withRoute({
    backends: [...ROUTE!.backends, { service: "gone" as never, weight: 1 }],
  })),
  unmatched_prefix: codesOf(withRoute({ prefix: "/ask" })),
  hidden_route: codesOf({
    routes: [...SOUND.routes, { ...ROUTE!, host: "H.example", name: "again" }],
  }),
  shared_key: codesOf({
    teams: [
      { ...TEAM, keys: [...TEAM.keys, "own"] },
      { ...TEAM, id: "twin" as never },
    ],
  }),
  no_key: codesOf({ teams: [] }),
  body_over_memory: codesOf({}, { memoryBytes: 1_000 }),
  unreached_team: codesOf({
    teams: [TEAM, { id: "idle" as never, keys: [] }],
  }),
  unused_service: codesOf({
    services: new Map([
      ...SOUND.services,
      ["idle" as never, { ...SERVICE!, id: "idle" as never }],
    ]),
  }),
  target_over_timeout: codesOf(withRoute({ targetMs: ROUTE!.timeoutMs + 1 })),
  pause_over_timeout: codesOf(
    withRoute({ kind: "stream", pauseMs: ROUTE!.timeoutMs + 1 }),
  ),
  resumable_call: codesOf(withRoute({ kind: "once", resumable: true })),
};

test("a sound configuration passes all checks", () => {
  const current = { ...SOUND, version: (SOUND.version - 1) as ConfigVersion };
  expect(codesOf({}, { current })).toEqual([]);
});

test("each check finds its fault, and only its", () => {
  expect(Object.keys(CASES)).toEqual(CHECKS.map(({ code }) => code));
  for (const [code, found] of Object.entries(CASES)) {
    expect([...new Set(found)]).toEqual([code]);
  }
});

test("differences between versions are told by name, without keys", () => {
  const after: ServingConfig = {
    ...SOUND,
    ...withRoute({ timeoutMs: 77 }),
    services: new Map(),
    teams: [{ ...TEAM, keys: ["other"] }],
    limits: { ...SOUND.limits, headMs: 1 },
  };
  const changes = diffServing(SOUND, after);
  expect(JSON.stringify(changes)).not.toContain(TEAM.keys[0]!);
  expect(changes).toMatchInlineSnapshot(`
    [
      {
        "change": "changed",
        "entry": "limits",
        "fields": {
          "headMs": [
            3000,
            1,
          ],
        },
      },
      {
        "change": "changed",
        "entry": "route lookup",
        "fields": {
          "timeoutMs": [
            1000,
            77,
          ],
        },
      },
      {
        "change": "removed",
        "entry": "service s",
        "fields": {},
      },
      {
        "change": "changed",
        "entry": "team makers",
        "fields": {
          "keys": [
            "1 keys",
            "1 keys, 1 added and 1 removed",
          ],
        },
      },
    ]
  `);
  expect(diffServing(SOUND, SOUND)).toEqual([]);
});
