import { z } from "zod";
import type { Offset } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { countSchema } from "./brands.ts";

/** Largest body of an append, and most bytes of values in a read response, which has at least one record. */
export const MAX_LOG_BODY_BYTES = 4 * 1024 * 1024;
/** Most records of one append. */
export const MAX_APPEND_RECORDS = 1_000;

/** One record as the log service returns it; `at` is the service's clock. */
export const LogRecordSchema = z.object({
  offset: countSchema<Offset>(),
  at: countSchema<Timestamp>(),
  value: z.string(),
}).readonly();
/** One record as the log service returns it. */
export type LogRecord = z.infer<typeof LogRecordSchema>;

/** Response to `GET /streams/{stream}/records?from=&limit=&wait_ms=`. */
export const LogBatchSchema = z.object({
  records: z.array(LogRecordSchema),
  /** The oldest retained offset. */
  first_offset: countSchema<Offset>(),
  /** The offset of the next read. */
  next_offset: countSchema<Offset>(),
  /** The offset after the newest record. */
  end_offset: countSchema<Offset>(),
});
/** Response to a read of a stream. */
export type LogBatch = z.infer<typeof LogBatchSchema>;

/** Body of `POST /streams/{stream}/records`. */
export const LogAppendSchema = z.object({
  records: z.array(z.string()).min(1).max(MAX_APPEND_RECORDS),
});
/** Response to an append: the offset of its first record. */
export const LogAppendedSchema = z.object({
  first_offset: countSchema<Offset>(),
});
/** Response to a read below `first_offset`, with status 410. */
export const LogGoneSchema = z.object({ first_offset: countSchema<Offset>() });
