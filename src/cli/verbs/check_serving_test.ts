import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, expect, test } from "vitest";
import { decodeConfig } from "../../../platform/wire/serving.ts";
import { servingWithRoutes } from "../../testing/fake_gateway_port.ts";
import { checkServing, decodeOwnForm } from "./check_serving.ts";

let dir: string;
beforeEach(async () => {
  dir = await mkdtemp(join(tmpdir(), "check-"));
});
afterEach(() => rm(dir, { recursive: true }));

async function save(name: string, value: unknown): Promise<string> {
  const file = join(dir, name);
  await writeFile(file, JSON.stringify(value));
  return file;
}

const OWN = {
  ...servingWithRoutes(),
  services: [{ id: "s", maxConnections: null }],
};

test("the exit code tells warnings that are asked to fail, and errors", async () => {
  const file = await save("sound.json", OWN);
  const warned = await save("warned.json", {
    ...OWN,
    services: [...OWN.services, { id: "idle", maxConnections: null }],
  });
  const faulty = await save("faulty.json", { ...OWN, services: [] });
  const check = async (name: string, strict = false) =>
    (await checkServing({ file: name, strict }, decodeOwnForm))
      .match(({ exit }) => exit, ({ exit, code }) => `${exit} ${code}`);
  expect([
    await check(file, true),
    await check(warned),
    await check(warned, true),
    await check(faulty),
    await check(join(dir, "none.json")),
    await check(await save("odd.json", { version: 1 })),
  ]).toEqual([
    "ok",
    "ok",
    "failure",
    "bad_input",
    "bad_input unreadable",
    "bad_input malformed",
  ]);
});

test("the platform's form is checked through its decoder, and compared with the version in force", async () => {
  const route = {
    name: "ask",
    hostname: "h",
    pathPrefix: "/ask",
    routeType: "streaming",
    timeoutMs: 1_000,
    targetLatencyMs: 2_000,
    service: "pool",
    public: true,
  };
  const config = {
    version: 7,
    routes: [route, { ...route, name: "odd", routeType: "none" }],
    services: [{ name: "pool" }],
    limits: {},
    tenants: [],
  };
  const against = await save("now.json", {
    ...config,
    version: 6,
    routes: [{ ...route, timeoutMs: 3_000 }],
  });
  const file = await save("next.json", config);
  const report = await checkServing(
    { file, against, strict: false },
    decodeConfig,
  );
  const { exit, lines } = report._unsafeUnwrap();
  expect([exit, ...lines.map((line) => line.replace(dir, ""))])
    .toMatchInlineSnapshot(`
      [
        "bad_input",
        "error: route 1: left_out: An entry can't be read, and is left out. (✖ Invalid option: expected one of "repeatable"|"once"|"stream" → at kind)",
        "error: route ask: unmatched_prefix: A prefix matches no path, as it doesn't begin and end with a slash. ("/ask")",
        "warning: route ask: target_over_timeout: The target is above the time limit, so that no answer is late. (2000 of 1000 ms)",
        "changed: route ask; timeoutMs 3000 -> 1000",
        "/next.json: version 7, 2 errors, 1 warnings",
      ]
    `);
});
