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
/** Longest time that an engine leaves an open stream without an event or a comment, in milliseconds. */
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

/** What an engine is for: `mixed` takes all prompts. */
export const RoleSchema = z.enum(["mixed", "prefill", "decode"]);
/** What an engine is for. */
export type Role = z.infer<typeof RoleSchema>;

/** Answer to `GET /v1/load`: the newest report that has become visible. */
export const LoadReportSchema = z.object({
  incarnation: idSchema<Incarnation>(),
  /** When the engine measured it. */
  at: countSchema<Timestamp>(),
  running: nonNegativeInt,
  waiting: nonNegativeInt,
  decoding: nonNegativeInt,
  /** Prompt tokens that running and waiting prompts have still to prefill. */
  prefill_tokens: nonNegativeInt,
  kv_capacity_tokens: nonNegativeInt,
  /** Tokens neither used by prompts, nor reserved, nor imported; cached prefixes count as free. */
  kv_free_tokens: nonNegativeInt,
  loaded: z.array(LoadedSchema),
  role: RoleSchema,
  leaving: z.boolean(),
}).readonly();
/** An engine's load, some time ago. */
export type LoadReport = z.infer<typeof LoadReportSchema>;

/** One change of an engine's prefix cache; `seq` grows by one, so a gap shows. */
export const CacheEventSchema = z.object({
  seq: nonNegativeInt,
  at: countSchema<Timestamp>(),
  type: z.enum(["stored", "evicted", "cleared"]),
  blocks: z.array(idSchema<Digest>()),
}).readonly();
/** One change of an engine's prefix cache. */
export type CacheEvent = z.infer<typeof CacheEventSchema>;

/**
 * Answer to `GET /v1/cache_events?after=&incarnation=`. Each run of an engine counts `seq` from 1; for another
 * run than the one that answers, all its events are new.
 */
export const CacheEventsSchema = z.object({
  incarnation: idSchema<Incarnation>(),
  events: z.array(CacheEventSchema),
}).readonly();
/** Cache events of one run of an engine. */
export type CacheEvents = z.infer<typeof CacheEventsSchema>;

/** Answer to `GET /v1/state`: what is loaded now, without lag. */
export const EngineStateSchema = z.object({
  incarnation: idSchema<Incarnation>(),
  loaded: z.array(LoadedSchema),
  loading: z.array(LoadedSchema),
  role: RoleSchema,
  /** Highest fencing number taken; absent on engines that ignore them. */
  fencing: countSchema<FencingNumber>().optional(),
  leaving: z.boolean(),
}).readonly();
/** What an engine has loaded now. */
export type EngineState = z.infer<typeof EngineStateSchema>;

/** Body of `POST /v1/orders`: the whole desired state. Status 409 `stale_fencing` refuses an old number. */
export const EngineOrderSchema = z.object({
  fencing: countSchema<FencingNumber>(),
  loaded: z.array(LoadedSchema),
  role: RoleSchema,
}).readonly();
/** The whole desired state of an engine. */
export type EngineOrder = z.infer<typeof EngineOrderSchema>;

/**
 * Head of `POST /v1/generate`. The body is this JSON on one line, then the prompt as raw UTF-8 to the end.
 * Raw, so that a million tokens pass without being quoted and copied.
 */
export const GenerateHeadSchema = z.object({
  request: idSchema<RequestId>(),
  attempt: idSchema<AttemptId>(),
  model: idSchema<ModelId>(),
  version: idSchema<VersionId>(),
  adapter: idSchema<AdapterId>().optional(),
  max_tokens: nonNegativeInt,
  /** Lower runs first. */
  priority: z.number().int(),
  /** Milliseconds that are left; the engine drops the work afterwards. */
  deadline_ms: nonNegativeInt,
  /** Answer text already delivered; generation goes on after it, and `index` starts at its count. */
  answered: z.object({ text: z.string(), count: nonNegativeInt }).optional(),
  /** This engine's part of a plan; `last` decodes. Without it the prompt runs here alone. */
  segment: z.object({
    plan: idSchema<PlanId>(),
    from: nonNegativeInt,
    to: nonNegativeInt,
    last: z.boolean(),
    /** Tokens of the whole prompt. */
    total: nonNegativeInt,
    /** Engines that hold the tokens before `from`, as `host:port`; the engine refuses if one of them does not. */
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
 * A stream without a `done` event is not an answer.
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
    /** Number of tokens of the whole answer. */
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
/** One event of an engine's answer. */
export type EngineEvent = z.infer<typeof EngineEventSchema>;

/** Body of every refusal of an engine (4xx, 5xx): nothing was run. */
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
/** Refusal of an engine. */
export type EngineRefusal = z.infer<typeof EngineRefusalSchema>;

/**
 * Body of `PUT /v1/reservations/{plan}`: memory for one plan. Repeating it renews the time limit;
 * after `ttl_ms` without renewal the engine frees the memory and whatever ran in it.
 */
export const ReservationSchema = z.object({
  owner: z.string(),
  tokens: nonNegativeInt,
  ttl_ms: nonNegativeInt,
}).readonly();
/** Memory for one plan. */
export type Reservation = z.infer<typeof ReservationSchema>;

/** Answer to `GET /v1/kv/{plan}`: what an engine holds of a plan. */
export const KvInfoSchema = z.object({
  incarnation: idSchema<Incarnation>(),
  owner: z.string(),
  /** Tokens reserved, and those of them in use. */
  tokens: nonNegativeInt,
  used: nonNegativeInt,
  /** Tokens from the prompt's start that were imported. */
  imported: nonNegativeInt,
  /** Segments whose prefill is complete. */
  segments: z.array(z.object({ from: nonNegativeInt, to: nonNegativeInt })),
}).readonly();
/** What an engine holds of a plan. */
export type KvInfo = z.infer<typeof KvInfoSchema>;

/** Body of `POST /v1/kv/{plan}/import`; the answer comes when the copy is complete. */
export const KvImportSchema = z.object({ from: z.string() }).readonly();

/**
 * One line of the answer to `GET /v1/kv/{plan}/export`: first `head`, last `end`.
 * An export without `end` is broken.
 */
export const KvExportLineSchema = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("head"),
    plan: idSchema<PlanId>(),
    tokens: nonNegativeInt,
  }),
  z.object({ type: z.literal("end"), tokens: nonNegativeInt }),
]);
