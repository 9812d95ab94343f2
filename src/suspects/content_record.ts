import { z } from "zod";
import { millisSchema } from "../wire/bounds.ts";
import { soundList } from "../wire/sound_list.ts";
import { QUARANTINE_CRASHES } from "./trial_schedule.ts";

/** Many times as many as fit into the time for which a record is kept; the delay that they give is finite. */
const MAX_TRIALS = 1_000;

/** Record of a request content that may crash its upstreams, as exchanged between daemons and kept in the store. */
export const ContentRecordSchema = z.object({
  digest: z.string(),
  /** How often the content was cleared; records of an earlier epoch are void. */
  epoch: z.number().int().nonnegative(),
  /** Upstream processes that ended while running the content, as `id/startedAt` with the start in Unix ms. */
  lost: z.array(z.string()).readonly(),
  /** Trials: requests let through although the content is quarantined. */
  trials: z.number().int().nonnegative().max(MAX_TRIALS),
  /** Time in ms since the last crash or trial, or since the content was cleared. */
  ageMs: millisSchema,
}).readonly();
/** Record of a request content that may crash its upstreams, as exchanged between daemons and kept in the store. */
export type ContentRecord = z.infer<typeof ContentRecordSchema>;

/** Records that a heartbeat carries; `mark` is the sender's summary of its quarantined contents. */
export const ContentSyncSchema = z.object({
  mark: z.string(),
  /** Absent where the recipient has the same mark. */
  records: soundList(ContentRecordSchema).optional(),
}).readonly();
/** Records that a heartbeat carries; `mark` is the sender's summary of its quarantined contents. */
export type ContentSync = z.infer<typeof ContentSyncSchema>;

/** Summary of the quarantined contents among records, for comparison: `digest:epoch:crashes:trials`, sorted. */
export function summarizeQuarantine(
  records: readonly Omit<ContentRecord, "ageMs">[],
): string {
  return records.filter(({ lost }) => lost.length >= QUARANTINE_CRASHES)
    .map(({ digest, epoch, lost, trials }) =>
      `${digest}:${epoch}:${lost.length}:${trials}`
    ).sort().join(" ");
}
