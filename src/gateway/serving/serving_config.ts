import type { Branded } from "../../core/brand.ts";
import type { ServiceId, TeamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import type { EnginePace } from "../../scheduling/pool/engine_pace.ts";

/** The number of a configuration version; a higher one is newer. */
export type ConfigVersion = Branded<number, "ConfigVersion">;

/** What may be repeated: calls at will, calls never, or streams (only where they may be resumed). */
export type RouteKind = "repeatable" | "once" | "stream";

/** A service that a route goes to, and its share of the route's requests. */
export type Backend = Readonly<{ service: ServiceId; weight: number }>;

/** Requests to one host below one path prefix. */
export type Route = Readonly<{
  name: string;
  host: string;
  prefix: string;
  kind: RouteKind;
  backends: readonly Backend[];
  /** Longest time that a request is kept waiting. */
  timeoutMs: Millis;
  /** Time to the answer, or to the first event, that callers expect. */
  targetMs: Millis;
  /** Longest pause between events that callers accept. */
  pauseMs: Millis;
  /** 0 is the most urgent. */
  rank: number;
  /** Upstreams that may run one request. */
  maxAttempts: number;
  /** Whether no key is needed. */
  open: boolean;
  /** Whether a stream may be resumed at another upstream. */
  resumable: boolean;
}>;

/** A service; `pace` says that its upstreams are engines. */
export type Service = Readonly<{
  id: ServiceId;
  maxConnections: number;
  pace?: EnginePace;
}>;

/** A team and the keys that its callers use. */
export type Team = Readonly<{
  id: TeamId;
  keys: readonly string[];
  rank?: number;
}>;

/** What clients may send, and how long they may take. */
export type ClientLimits = Readonly<{
  headBytes: number;
  bodyBytes: number;
  headMs: Millis;
  idleMs: Millis;
}>;

/** One version of what is served. */
export type ServingConfig = Readonly<{
  version: ConfigVersion;
  routes: readonly Route[];
  services: ReadonlyMap<ServiceId, Service>;
  /** Absent: no keys are needed. */
  teams?: readonly Team[];
  limits: ClientLimits;
}>;

/** Whether an attempt may be repeated although an upstream may have run it. */
export function isRepeatable(route: Route): boolean {
  return route.kind === "repeatable" ||
    (route.kind === "stream" && route.resumable);
}
