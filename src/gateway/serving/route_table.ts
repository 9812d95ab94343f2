import { err, ok, type Result } from "neverthrow";
import { type Problem, problem } from "../../core/problem.ts";
import type { Route, ServingConfig, Team } from "./serving_config.ts";

/** The route of a request whose key was accepted, and the team that owns the key, if known. */
export type AdmittedRequest = Readonly<{ route: Route; team?: Team }>;

/** Index of the routes and keys of one configuration version. */
export class RouteTable {
  readonly serving: ServingConfig;
  readonly #routesByHost = new Map<string, Map<string, Route>>();
  readonly #teamsByKey = new Map<string, Team>();

  private constructor(serving: ServingConfig) {
    this.serving = serving;
    for (const route of serving.routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.#routesByHost.get(host) ?? new Map<string, Route>();
      prefixes.set(route.prefix, route);
      this.#routesByHost.set(host, prefixes);
    }
    for (const team of serving.teams ?? []) {
      for (const key of team.keys) this.#teamsByKey.set(key, team);
    }
  }

  static create(serving: ServingConfig): RouteTable {
    return new RouteTable(serving);
  }

  /** Finds the route with the longest matching path prefix, and checks the key. */
  admit(
    target: Readonly<{ host: string; path: string; key?: string }>,
  ): Result<AdmittedRequest, Problem> {
    const route = this.#match(target.host, target.path);
    if (route === undefined) {
      return err(
        problem("unknown_path", "No route matches this host and path"),
      );
    }
    if (this.serving.teams === undefined) return ok({ route });
    const team = target.key === undefined
      ? undefined
      : this.#teamsByKey.get(target.key);
    if (team === undefined && !route.open) {
      return err(problem("unauthorized", "The key is missing or unknown"));
    }
    return ok({ route, team });
  }

  #match(host: string, url: string): Route | undefined {
    const name = host.toLowerCase();
    const prefixes = this.#routesByHost.get(name) ??
      this.#routesByHost.get(name.replace(/:\d+$/, ""));
    if (prefixes === undefined) return undefined;
    const path = url.split("?", 1)[0]!;
    let end = path.lastIndexOf("/");
    while (end >= 0) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      if (end === 0) return undefined;
      end = path.lastIndexOf("/", end - 1);
    }
    return undefined;
  }
}
