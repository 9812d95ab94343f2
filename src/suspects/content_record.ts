import { z } from "zod";

/** Record of a request content that may crash its upstreams, as exchanged between daemons and kept in the store. */
export const ContentRecordSchema = z.object({
  digest: z.string(),
  /** How often the content was cleared; records of an earlier epoch are void. */
  epoch: z.number(),
  /** Upstream processes that ended while running the content, as `id/startedAt` with the start in Unix ms. */
  lost: z.array(z.string()).readonly(),
  /** Trials: requests let through although the content is quarantined. */
  trials: z.number(),
  /** Time in ms since the last crash or trial, or since the content was cleared. */
  ageMs: z.number(),
}).readonly();
/** Record of a request content that may crash its upstreams, as exchanged between daemons and kept in the store. */
export type ContentRecord = z.infer<typeof ContentRecordSchema>;

/** Records that a heartbeat carries; `mark` is the sender's summary of its quarantined contents. */
export const ContentSyncSchema = z.object({
  mark: z.string(),
  /** Absent where the recipient has the same mark. */
  records: z.array(ContentRecordSchema).readonly().optional(),
}).readonly();
/** Records that a heartbeat carries; `mark` is the sender's summary of its quarantined contents. */
export type ContentSync = z.infer<typeof ContentSyncSchema>;
