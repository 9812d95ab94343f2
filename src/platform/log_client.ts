import type { ResultAsync } from "neverthrow";
import type { Offset, StreamName } from "../core/id.ts";
import type { LogBatch } from "../wire/log.ts";

/** Why a call of the log service failed. */
export type LogError =
  /** The service refused the call, and appended nothing. */
  | Readonly<{ code: "refused"; detail: string; retryAfterMs?: number }>
  /** No valid response: an append may or may not have taken effect. */
  | Readonly<{ code: "unknown"; detail: string }>
  /** The offset to read from has expired. */
  | Readonly<{ code: "gone"; detail: string; firstOffset: Offset }>;

/** The platform's append-only log service. */
export abstract class LogClient {
  /** Appends values in order; returns the offset of the first. */
  abstract append(
    stream: StreamName,
    values: readonly string[],
  ): ResultAsync<Offset, LogError>;

  /** Reads from an offset; waits up to `waitMs` for a first record. */
  abstract read(
    stream: StreamName,
    from: Offset,
    options: { limit: number; waitMs: number },
  ): ResultAsync<LogBatch, LogError>;
}
