import { z } from "zod";

/** What daemons tell each other, and the store, of one content that may crash its upstreams. */
export const ContentRecordSchema = z.object({
  digest: z.string(),
  /** Counts how often the content was cleared; what is known of an earlier epoch is void. */
  epoch: z.number(),
  /** Upstream processes that have ended with it: id and Unix time in ms of the start. */
  lost: z.array(z.string()).readonly(),
  /** Requests that were let through although the content is quarantined. */
  trials: z.number(),
  /** Time since the last crash or trial, or since the content was cleared. */
  ageMs: z.number(),
}).readonly();
/** What daemons tell each other, and the store, of one content that may crash its upstreams. */
export type ContentRecord = z.infer<typeof ContentRecordSchema>;

/** What a daemon knows of contents; the mark changes with what it says of quarantined ones. */
export const ContentSyncSchema = z.object({
  mark: z.string(),
  /** Absent where the other one has the same mark. */
  records: z.array(ContentRecordSchema).readonly().optional(),
}).readonly();
/** What a daemon knows of contents; the mark changes with what it says of quarantined ones. */
export type ContentSync = z.infer<typeof ContentSyncSchema>;
