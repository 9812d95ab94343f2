import { NO_PAUSE_LIMIT_MS, type Route, type Team } from "../serving_config.ts";
import type { Check, CheckInput, Finding, Objection } from "./finding.ts";

/** All checks of a configuration, in the order in which they report. */
export const CHECKS: readonly Check[] = [
  {
    code: "left_out",
    severity: "error",
    sentence: "An entry can't be read, and is left out.",
    find: ({ leftOut }) =>
      leftOut.map((text) => {
        const [entry = "", ...detail] = text.split(": ");
        return { entry, detail: detail.join(": ").replaceAll(/\s+/g, " ") };
      }),
  },
  {
    code: "version_not_newer",
    severity: "error",
    sentence:
      "The version isn't above the one in force, so that no daemon takes it.",
    find: ({ serving, current }) =>
      current === undefined || serving.version > current.version ? [] : [{
        entry: "configuration",
        detail: `${serving.version}; in force is ${current.version}`,
      }],
  },
  {
    code: "no_route",
    severity: "error",
    sentence: "There is no route, so that all requests are refused.",
    find: ({ serving }) =>
      serving.routes.length > 0
        ? []
        : [{ entry: "configuration", detail: "0 routes" }],
  },
  {
    code: "unknown_service",
    severity: "error",
    sentence: "A route sends requests to a service that isn't listed.",
    find: ({ serving }) =>
      serving.routes.flatMap((route) =>
        route.backends
          .filter(({ service }) => !serving.services.has(service))
          .map(({ service }) => ofRoute(route, service))
      ),
  },
  {
    code: "unmatched_prefix",
    severity: "error",
    sentence:
      "A prefix matches no path, as it doesn't begin and end with a slash.",
    find: routesWhere(
      ({ prefix }) => !/^\/([^?]*\/)?$/.test(prefix),
      ({ prefix }) => JSON.stringify(prefix),
    ),
  },
  {
    code: "hidden_route",
    severity: "error",
    sentence: "A later route takes all requests of this one.",
    find: ({ serving: { routes } }) =>
      routes.flatMap((route, i) => {
        const later = routes.slice(i + 1).find((other) =>
          placeOf(other) === placeOf(route)
        );
        return later === undefined
          ? []
          : [ofRoute(route, `${placeOf(route)}, as route ${later.name}`)];
      }),
  },
  {
    code: "shared_key",
    severity: "error",
    sentence: "A key belongs to several teams, and counts for the last one.",
    find: ({ serving: { teams = [] } }) =>
      teams.flatMap((team, i) =>
        teams.slice(i + 1)
          .filter(({ keys }) => keys.some((key) => team.keys.includes(key)))
          .map(({ id }) => ofTeam(team, `has a key of team ${id}`))
      ),
  },
  {
    code: "no_key",
    severity: "error",
    sentence:
      "A route needs a key, and no team has one, so that all its requests are refused.",
    find: ({ serving: { routes, teams } }) =>
      teams === undefined || teams.some(({ keys }) => keys.length > 0)
        ? []
        : routes.filter(({ open }) => !open)
          .map((route) => ofRoute(route, "0 keys")),
  },
  {
    code: "body_over_memory",
    severity: "error",
    sentence: "A body within its limit is larger than a daemon's memory.",
    find: ({ serving: { limits }, memoryBytes = Infinity }) =>
      limits.bodyBytes <= memoryBytes ? [] : [{
        entry: "limits",
        detail: `${limits.bodyBytes} of ${memoryBytes} bytes`,
      }],
  },
  {
    code: "unreached_team",
    severity: "warning",
    sentence: "No key reaches the team.",
    find: ({ serving: { teams = [] } }) =>
      teams.filter((team, i) => {
        const later = new Set(teams.slice(i + 1).flatMap(({ keys }) => keys));
        return team.keys.every((key) => later.has(key));
      }).map((team) => ofTeam(team, `${team.keys.length} keys`)),
  },
  {
    code: "unused_service",
    severity: "warning",
    sentence: "No route names the service.",
    find: ({ serving: { routes, services } }) => {
      const named = new Set(
        routes.flatMap(({ backends }) => backends.map((one) => one.service)),
      );
      return [...services.keys()].filter((id) => !named.has(id))
        .map((id) => ({ entry: `service ${id}`, detail: "0 routes" }));
    },
  },
  {
    code: "target_over_timeout",
    severity: "warning",
    sentence: "The target is above the time limit, so that no answer is late.",
    find: routesWhere(
      ({ targetMs, timeoutMs }) => targetMs > timeoutMs,
      ({ targetMs, timeoutMs }) => `${targetMs} of ${timeoutMs} ms`,
    ),
  },
  {
    code: "pause_over_timeout",
    severity: "warning",
    sentence: "The longest pause is above the time limit.",
    find: routesWhere(
      ({ kind, pauseMs, timeoutMs }) =>
        kind === "stream" && pauseMs < NO_PAUSE_LIMIT_MS && pauseMs > timeoutMs,
      ({ pauseMs, timeoutMs }) => `${pauseMs} of ${timeoutMs} ms`,
    ),
  },
  {
    code: "resumable_call",
    severity: "warning",
    sentence: "Only streams are resumed, so that the setting has no effect.",
    find: routesWhere(
      ({ kind, resumable }) => resumable && kind !== "stream",
      ({ kind }) => kind,
    ),
  },
];

/** Runs all checks. */
export function findFaults(input: CheckInput): readonly Finding[] {
  return CHECKS.flatMap(({ find, ...check }) =>
    find(input).map((objection) => ({ ...check, ...objection }))
  );
}

function routesWhere(
  isFaulty: (route: Route) => boolean,
  describe: (route: Route) => string,
): Check["find"] {
  return ({ serving }) =>
    serving.routes.filter(isFaulty)
      .map((route) => ofRoute(route, describe(route)));
}

function ofRoute(route: Route, detail: string): Objection {
  return { entry: `route ${route.name}`, detail };
}

function ofTeam(team: Team, detail: string): Objection {
  return { entry: `team ${team.id}`, detail };
}

/** Where the requests of a route come to; of several such routes the last one gets them. */
function placeOf({ host, prefix }: Route): string {
  return `${host.toLowerCase()}${prefix}`;
}
