import { z } from "zod";
import type {
  AdapterId,
  AttemptId,
  Digest,
  FencingNumber,
  Incarnation,
  ModelId,
  PlanId,
  RequestId,
  VersionId,
} from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { countSchema, idSchema } from "./brands.ts";

/** Tokens in one block of an engine's prefix cache. */
export const BLOCK_TOKENS = 256;
/** Bytes of UTF-8 text that count as one token. */
export const BYTES_PER_TOKEN = 4;

/** Largest number of engines in one plan. */
export const MAX_SEGMENTS = 64;
/** Longest time between events or comments on an open stream, in milliseconds. */
export const STREAM_PING_MS = 2_000;

const nonNegativeInt = z.number().int().nonnegative();

/** A loaded model version with its adapters. */
export const LoadedSchema = z.object({
  model: idSchema<ModelId>(),
  version: idSchema<VersionId>(),
  adapters: z.array(idSchema<AdapterId>()),
}).readonly();
/** A loaded model version with its adapters. */
export type Loaded = z.infer<typeof LoadedSchema>;

/** Work that an engine is assigned; `mixed` runs all prompts. */
export const RoleSchema = z.enum(["mixed", "prefill", "decode"]);
/** Work that an engine is assigned. */
export type Role = z.infer<typeof RoleSchema>;

/** Response to `GET /v1/load`: the newest visible report. */
export const LoadReportSchema = z.object({
  incarnation: idSchema<Incarnation>(),
  /** When the engine measured this load. */
  at: countSchema<Timestamp>(),
  running: nonNegativeInt,
  waiting: nonNegativeInt,
  decoding: nonNegativeInt,
  /** Tokens of running and waiting prompts that are not yet prefilled. */
  prefill_tokens: nonNegativeInt,
  kv_capacity_tokens: nonNegativeInt,
  /** Tokens neither used by prompts, nor reserved, nor imported; cached prefixes count as free. */
  kv_free_tokens: nonNegativeInt,
  loaded: z.array(LoadedSchema),
  role: RoleSchema,
  leaving: z.boolean(),
}).readonly();
/** An engine's load at the time `at`. */
export type LoadReport = z.infer<typeof LoadReportSchema>;

/** One change of an engine's prefix cache; `seq` increases by one, so a gap reveals missed events. */
export const CacheEventSchema = z.object({
  seq: nonNegativeInt,
  at: countSchema<Timestamp>(),
  type: z.enum(["stored", "evicted", "cleared"]),
  blocks: z.array(idSchema<Digest>()),
}).readonly();
/** One change of an engine's prefix cache. */
export type CacheEvent = z.infer<typeof CacheEventSchema>;

/**
 * Response to `GET /v1/cache_events?after=&incarnation=`. Each incarnation counts `seq` from 1; if the query names
 * another incarnation than the current one, the response holds all events of the current one.
 */
export const CacheEventsSchema = z.object({
  incarnation: idSchema<Incarnation>(),
  events: z.array(CacheEventSchema),
}).readonly();
/** Cache events of one incarnation of an engine. */
export type CacheEvents = z.infer<typeof CacheEventsSchema>;

/** Response to `GET /v1/state`: the current state, without lag. */
export const EngineStateSchema = z.object({
  incarnation: idSchema<Incarnation>(),
  loaded: z.array(LoadedSchema),
  loading: z.array(LoadedSchema),
  role: RoleSchema,
  /** Highest fencing number accepted; absent on engines that ignore fencing numbers. */
  fencing: countSchema<FencingNumber>().optional(),
  leaving: z.boolean(),
}).readonly();
/** Current state of an engine. */
export type EngineState = z.infer<typeof EngineStateSchema>;

/** Body of `POST /v1/orders`: the whole desired state. An old fencing number is refused with 409 `stale_fencing`. */
export const EngineOrderSchema = z.object({
  fencing: countSchema<FencingNumber>(),
  loaded: z.array(LoadedSchema),
  role: RoleSchema,
}).readonly();
/** The whole desired state of an engine. */
export type EngineOrder = z.infer<typeof EngineOrderSchema>;

/**
 * Head of `POST /v1/generate`. The body is this JSON on one line, then the prompt as raw UTF-8 to the end.
 * The prompt is raw so that a million tokens need no JSON escaping and no copy.
 */
export const GenerateHeadSchema = z.object({
  request: idSchema<RequestId>(),
  attempt: idSchema<AttemptId>(),
  model: idSchema<ModelId>(),
  version: idSchema<VersionId>(),
  adapter: idSchema<AdapterId>().optional(),
  max_tokens: nonNegativeInt,
  /** Lower values run first. */
  priority: z.number().int(),
  /** Remaining time in milliseconds; the engine drops the request afterwards. */
  deadline_ms: nonNegativeInt,
  /** Output already delivered; generation continues after it, and `index` starts at its count. */
  answered: z.object({ text: z.string(), count: nonNegativeInt }).optional(),
  /** This engine's part of a plan; the `last` one decodes. If absent, the whole prompt runs on this engine. */
  segment: z.object({
    plan: idSchema<PlanId>(),
    from: nonNegativeInt,
    to: nonNegativeInt,
    last: z.boolean(),
    /** Tokens of the whole prompt. */
    total: nonNegativeInt,
    /** Engines (`host:port`) that hold the tokens before `from`; the request is refused if one lacks its range. */
    peers: z.array(z.object({
      address: z.string(),
      from: nonNegativeInt,
      to: nonNegativeInt,
    })).max(MAX_SEGMENTS).optional(),
  }).optional(),
}).readonly();
/** Head of a generate request. */
export type GenerateHead = z.infer<typeof GenerateHeadSchema>;

/**
 * One server-sent event of `POST /v1/generate` and of `GET /v1/streams/{attempt}?after=`.
 * A stream that ends without a `done` event is incomplete.
 */
export const EngineEventSchema = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("token"),
    request: idSchema<RequestId>(),
    attempt: idSchema<AttemptId>(),
    index: nonNegativeInt,
    text: z.string(),
  }),
  z.object({
    type: z.literal("done"),
    request: idSchema<RequestId>(),
    attempt: idSchema<AttemptId>(),
    /** Number of tokens of the whole output. */
    count: nonNegativeInt,
    finish: z.enum(["stop", "length", "cancelled", "segment"]),
    model: idSchema<ModelId>(),
    version: idSchema<VersionId>(),
    adapter: idSchema<AdapterId>().optional(),
    prompt_tokens: nonNegativeInt,
    cached_tokens: nonNegativeInt,
  }),
  z.object({
    type: z.literal("error"),
    request: idSchema<RequestId>(),
    attempt: idSchema<AttemptId>(),
    code: z.enum(["deadline", "no_memory", "plan_broken", "internal"]),
  }),
]);
/** One event of an engine's stream. */
export type EngineEvent = z.infer<typeof EngineEventSchema>;

/** Body of all 4xx and 5xx responses of an engine, which guarantee that nothing was run. */
export const EngineRefusalSchema = z.object({
  code: z.enum([
    "bad_request",
    "not_loaded",
    "too_long",
    "queue_full",
    "leaving",
    "stale_fencing",
    "no_memory",
    "unknown_stream",
    "unknown_plan",
    "import_failed",
  ]),
  detail: z.string(),
});
/** Body of an engine's refusal. */
export type EngineRefusal = z.infer<typeof EngineRefusalSchema>;

/**
 * Body of `PUT /v1/reservations/{plan}`: memory for one plan. Repeating the call renews the time limit;
 * after `ttl_ms` without renewal the engine frees the memory and stops all work that uses it.
 */
export const ReservationSchema = z.object({
  owner: z.string(),
  tokens: nonNegativeInt,
  ttl_ms: nonNegativeInt,
}).readonly();
/** Memory reserved for one plan. */
export type Reservation = z.infer<typeof ReservationSchema>;

/** Response to `GET /v1/kv/{plan}`: memory and KV cache that an engine holds for a plan. */
export const KvInfoSchema = z.object({
  incarnation: idSchema<Incarnation>(),
  owner: z.string(),
  /** Reserved tokens. */
  tokens: nonNegativeInt,
  /** Reserved tokens that are in use. */
  used: nonNegativeInt,
  /** Imported tokens, counted from the start of the prompt. */
  imported: nonNegativeInt,
  /** Segments whose prefill is complete. */
  segments: z.array(z.object({ from: nonNegativeInt, to: nonNegativeInt })),
}).readonly();
/** Memory and KV cache that an engine holds for a plan. */
export type KvInfo = z.infer<typeof KvInfoSchema>;

/** Body of `POST /v1/kv/{plan}/import`; the response is sent when the copy is complete. */
export const KvImportSchema = z.object({ from: z.string() }).readonly();

/**
 * One line of the response to `GET /v1/kv/{plan}/export`: first `head`, last `end`.
 * An export without `end` is incomplete.
 */
export const KvExportLineSchema = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("head"),
    plan: idSchema<PlanId>(),
    tokens: nonNegativeInt,
  }),
  z.object({ type: z.literal("end"), tokens: nonNegativeInt }),
]);
