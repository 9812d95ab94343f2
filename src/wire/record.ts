import { z } from "zod";
import type {
  AdapterId,
  ClassId,
  DaemonId,
  Digest,
  IdempotencyKey,
  ModelId,
  RecordId,
  RequestId,
  Revision,
  ServiceId,
  TeamId,
  VersionId,
} from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { VerdictSchema } from "../core/verdict.ts";
import { countSchema, idSchema } from "./brands.ts";

const whole = z.number().int().nonnegative();

/** One finished request: what was asked, under what it ran and how it ended; no content. */
export const RequestRecordSchema = z.object({
  request: idSchema<RequestId>(),
  team: idSchema<TeamId>(),
  class: idSchema<ClassId>(),
  /** Digest of the whole request. */
  request_digest: idSchema<Digest>(),
  /** Digest of the whole answer; absent where there was none. */
  answer_digest: idSchema<Digest>().optional(),
  revision: z.number().int().min(-1).transform((value) => value as Revision),
  /** What a prompt ran on. */
  model: idSchema<ModelId>().optional(),
  version: idSchema<VersionId>().optional(),
  adapter: idSchema<AdapterId>().optional(),
  /** What a call went to. */
  service: idSchema<ServiceId>().optional(),
  method: z.string().optional(),
  path: z.string().optional(),
  key: idSchema<IdempotencyKey>().optional(),
  /** `ok`, or the reason of the failure or refusal. */
  result: z.string(),
  verdict: VerdictSchema,
  attempts: whole,
  tokens: whole,
  arrived_at: countSchema<Timestamp>(),
  ended_at: countSchema<Timestamp>(),
}).readonly();
/** One finished request. */
export type RequestRecord = z.infer<typeof RequestRecordSchema>;

/** One link of a daemon's hash chain on the stream `records`. */
export const RecordBatchSchema = z.object({
  type: z.literal("record_batch"),
  id: idSchema<RecordId>(),
  daemon: idSchema<DaemonId>(),
  /** Grows by one from 0 with each batch of the daemon. */
  seq: whole,
  /** Digest of the daemon's batch before; empty in its first. */
  previous: z.string().max(64),
  records: z.array(RequestRecordSchema).min(1).max(1_000),
  /** SHA-256 of daemon, seq, previous and records. */
  digest: z.string().length(64),
}).readonly();
/** One link of a daemon's hash chain. */
export type RecordBatch = z.infer<typeof RecordBatchSchema>;
