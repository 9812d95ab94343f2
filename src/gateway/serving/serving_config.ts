import type { Branded } from "../../core/brand.ts";
import type { ServiceId, TeamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import type { EnginePace } from "../../scheduling/pool/engine_pace.ts";

/** Number of a configuration version; higher is newer. */
export type ConfigVersion = Branded<number, "ConfigVersion">;

/** What may be retried: calls always (`repeatable`), calls never (`once`), streams only if the route is resumable. */
export type RouteKind = "repeatable" | "once" | "stream";

/** A service behind a route, and its relative share of the route's requests. */
export type Backend = Readonly<{ service: ServiceId; weight: number }>;

/** Requests to one host below one path prefix. */
export type Route = Readonly<{
  name: string;
  host: string;
  prefix: string;
  kind: RouteKind;
  backends: readonly Backend[];
  /** Time limit of a request. */
  timeoutMs: Millis;
  /** Target time to the response, or to the first event of a stream. */
  targetMs: Millis;
  /** Longest acceptable pause between events of a stream. */
  pauseMs: Millis;
  /** Priority rank; 0 is the most urgent. */
  rank: number;
  /** Limit on the upstreams that may run one request. */
  maxAttempts: number;
  /** Whether requests need no key. */
  open: boolean;
  /** Whether a stream may be resumed on another upstream. */
  resumable: boolean;
}>;

/** A service; its upstreams are engines if `pace` is set. */
export type Service = Readonly<{
  id: ServiceId;
  maxConnections: number;
  /** Requests per second that a cold upstream accepts from all daemons together; absent for no limit. */
  coldRate?: number;
  pace?: EnginePace;
}>;

/** A team, the keys of its callers, and its priority rank if it has one. */
export type Team = Readonly<{
  id: TeamId;
  keys: readonly string[];
  rank?: number;
}>;

/** Size limits in bytes and time limits in ms for client connections. */
export type ClientLimits = Readonly<{
  headBytes: number;
  bodyBytes: number;
  headMs: Millis;
  idleMs: Millis;
}>;

/** One version of the serving configuration. */
export type ServingConfig = Readonly<{
  version: ConfigVersion;
  routes: readonly Route[];
  services: ReadonlyMap<ServiceId, Service>;
  /** Absent if no route needs a key. */
  teams?: readonly Team[];
  limits: ClientLimits;
}>;

/** Whether a request may be retried after an attempt that an upstream may have run. */
export function isRepeatable(route: Route): boolean {
  return route.kind === "repeatable" ||
    (route.kind === "stream" && route.resumable);
}
