import { createHash } from "node:crypto";
import { z } from "zod";
import type { PromptPartId } from "../core/id.ts";
import { millisSchema } from "../wire/bounds.ts";
import { soundList } from "../wire/sound_list.ts";
import { groupParts, partKey, partOfKey } from "./suspect_key.ts";
import { QUARANTINE_CRASHES } from "./trial_schedule.ts";

/** Many times as many as fit into the time for which a record is kept; the delay that they give is finite. */
const MAX_TRIALS = 1_000;
/** Records sent at a time, and the length of the further parts in them: together they fit into one message. */
const MAX_RECORDS = 64;
const MAX_MORE_PARTS_CHARS = 32 * 1_024;
/** A longer summary is replaced by its hash. */
const MAX_SUMMARY_CHARS = 96;
/** Separates ids of parts, which are members of such a list where requests name them. */
const PART_SEPARATOR = ",";

/** Record of a request content that may crash its upstreams, as exchanged between daemons and kept in the store. */
export const ContentRecordSchema = z.object({
  digest: z.string(),
  /** Further parts of which all else in the record holds too, separated by commas; earlier builds ignore it. */
  moreParts: z.string().optional(),
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

/** Text that is the same for records of the same quarantined contents, with the same crashes and trials. */
export function summarizeQuarantine(
  records: readonly Omit<ContentRecord, "ageMs">[],
): string {
  const lines = splitRecords(records)
    .filter(({ lost }) => lost.length >= QUARANTINE_CRASHES)
    .map(({ digest, epoch, lost, trials }) =>
      `${digest}:${epoch}:${lost.length}:${trials}`
    );
  const summary = lines.sort().join(" ");
  if (summary.length <= MAX_SUMMARY_CHARS) return summary;
  const hash = createHash("sha256").update(summary).digest("hex");
  return `${lines.length}:${hash}`;
}

/**
 * Joins records of parts that differ in the part alone, as those of one prompt do, and leaves out what doesn't fit into
 * one message. Earlier records go first.
 */
export function joinRecords(
  records: readonly ContentRecord[],
): readonly ContentRecord[] {
  let leftChars = MAX_MORE_PARTS_CHARS;
  return groupParts(records, "digest").slice(0, MAX_RECORDS)
    .map(({ entry, keys }) => {
      const more: string[] = [];
      for (const key of keys.slice(1)) {
        const part = partOfKey(key) ?? key;
        leftChars -= part.length + PART_SEPARATOR.length;
        if (leftChars < 0) break;
        more.push(part);
      }
      return more.length === 0
        ? entry
        : { ...entry, moreParts: more.join(PART_SEPARATOR) };
    });
}

/** Records of one content or part each. */
export function splitRecords<T extends Omit<ContentRecord, "ageMs">>(
  records: readonly T[],
): readonly Omit<T, "moreParts">[] {
  return records.flatMap(({ moreParts, ...record }) => {
    if (moreParts === undefined) return [record];
    const parts = moreParts.split(PART_SEPARATOR) as PromptPartId[];
    return [
      record,
      ...parts.map((part) => ({ ...record, digest: partKey(part) })),
    ];
  });
}
