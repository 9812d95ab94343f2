import { z } from "zod";
import type { Branded } from "../../core/brand.ts";
import type { ServiceId, TeamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import {
  figureSchema,
  positiveCountSchema,
  positiveFigureSchema,
  timeLimitSchema,
} from "../../wire/bounds.ts";
import { countSchema, idSchema } from "../../wire/brands.ts";

/** Number of a configuration version; higher is newer. */
export type ConfigVersion = Branded<number, "ConfigVersion">;

/** Longest pause of a route that states none. */
export const NO_PAUSE_LIMIT_MS: Millis = 60_000;

/** A service behind a route, and its relative share of the route's requests. */
export const BackendSchema = z.object({
  service: idSchema<ServiceId>(),
  weight: positiveFigureSchema,
}).readonly();
/** A service behind a route, and its relative share of the route's requests. */
export type Backend = z.infer<typeof BackendSchema>;

/** Requests to one host below one path prefix. */
export const RouteSchema = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  /** What may be retried: calls always (`repeatable`), calls never (`once`), streams only if the route is resumable. */
  kind: z.enum(["repeatable", "once", "stream"]),
  backends: z.array(BackendSchema).min(1).readonly(),
  /** Time limit of a request, in ms. */
  timeoutMs: timeLimitSchema,
  /** Target time in ms to the response, or to the first event of a stream. */
  targetMs: timeLimitSchema,
  /** Longest acceptable pause in ms between events of a stream. */
  pauseMs: timeLimitSchema,
  /** Priority rank; 0 is the most urgent. */
  rank: figureSchema,
  /** Limit on the upstreams that may run one request. */
  maxAttempts: positiveCountSchema,
  /** Whether requests need no key. */
  open: z.boolean(),
  /** Whether a stream may be resumed on another upstream. */
  resumable: z.boolean(),
}).readonly();
/** Requests to one host below one path prefix. */
export type Route = z.infer<typeof RouteSchema>;
/** What may be retried: calls always (`repeatable`), calls never (`once`), streams only if the route is resumable. */
export type RouteKind = Route["kind"];

/** Timing and capacity of an engine, as `EnginePace` describes them. */
export const EnginePaceSchema = z.object({
  slots: positiveCountSchema,
  memoryTokens: figureSchema,
  stride: positiveFigureSchema,
  chunkTokens: positiveFigureSchema,
  stepMs: figureSchema,
  streamMs: figureSchema,
  contextMs: figureSchema,
  prefillTokensPerMs: positiveFigureSchema,
  pairsMs: figureSchema,
  heldMs: timeLimitSchema.optional(),
}).readonly();

/** A service; its upstreams are engines if `pace` is set. */
export const ServiceSchema = z.object({
  id: idSchema<ServiceId>(),
  /** Null in JSON where there is no limit. */
  maxConnections: z.number().positive().or(z.literal(Infinity)).nullable()
    .transform((count) => count ?? Infinity),
  /** Requests per second that a cold upstream accepts from all daemons together; absent for no limit. */
  coldRate: positiveFigureSchema.optional(),
  pace: EnginePaceSchema.optional(),
}).readonly();
/** A service; its upstreams are engines if `pace` is set. */
export type Service = z.infer<typeof ServiceSchema>;

/** A team, the keys of its callers, and its priority rank if it has one. */
export const TeamSchema = z.object({
  id: z.string().transform((id) => id as TeamId),
  keys: z.array(z.string()).readonly(),
  rank: figureSchema.optional(),
}).readonly();
/** A team, the keys of its callers, and its priority rank if it has one. */
export type Team = z.infer<typeof TeamSchema>;

/** Size limits in bytes and time limits in ms for client connections. */
export const ClientLimitsSchema = z.object({
  headBytes: z.number().positive(),
  bodyBytes: z.number().positive(),
  headMs: timeLimitSchema,
  idleMs: timeLimitSchema,
}).readonly();
/** Size limits in bytes and time limits in ms for client connections. */
export type ClientLimits = z.infer<typeof ClientLimitsSchema>;

/** One version of the serving configuration, with its services as a list. */
export const ServingListSchema = z.object({
  version: countSchema<ConfigVersion>(),
  routes: z.array(RouteSchema).readonly(),
  services: z.array(ServiceSchema).readonly(),
  /** Absent if no route needs a key. */
  teams: z.array(TeamSchema).readonly().optional(),
  limits: ClientLimitsSchema,
}).readonly();

/** One version of the serving configuration. */
export type ServingConfig =
  & Readonly<Omit<z.infer<typeof ServingListSchema>, "services">>
  & Readonly<{ services: ReadonlyMap<ServiceId, Service> }>;

/** Whether a request may be retried after an attempt that an upstream may have run. */
export function isRepeatable(route: Route): boolean {
  return route.kind === "repeatable" ||
    (route.kind === "stream" && route.resumable);
}
