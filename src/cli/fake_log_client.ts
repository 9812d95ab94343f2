import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import type { Offset, StreamName } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { LogClient, type LogError } from "../platform/log_client.ts";
import type { LogBatch } from "../wire/log.ts";

/** Fault of one append: refused, lost, or stored with the response lost. */
export type AppendFault = "refused" | "lost" | "answer_lost";

/** A log of one stream in memory. */
export class FakeLogClient extends LogClient {
  readonly values: string[] = [];
  /** Faults of the next appends, in order; later appends succeed. */
  faults: AppendFault[] = [];
  /** The oldest offset that the log still has. */
  firstOffset = 0;
  /** Reads that succeed before the log stops responding. */
  readsLeft = Infinity;

  override append(
    _stream: StreamName,
    values: readonly string[],
  ): ResultAsync<Offset, LogError> {
    const fault = this.faults.shift();
    if (fault === "refused") {
      return errAsync({ code: "refused", detail: "the log is down" });
    }
    const offset = this.values.length as Offset;
    if (fault !== "lost") this.values.push(...values);
    if (fault === undefined) return okAsync(offset);
    return errAsync({ code: "unknown", detail: "no answer" });
  }

  override read(
    _stream: StreamName,
    from: Offset,
    options: { limit: number; waitMs: number },
  ): ResultAsync<LogBatch, LogError> {
    this.readsLeft -= 1;
    if (this.readsLeft < 0) {
      return errAsync({ code: "unknown", detail: "no answer" });
    }
    if (from < this.firstOffset) {
      const firstOffset = this.firstOffset as Offset;
      return errAsync({ code: "gone", detail: "expired", firstOffset });
    }
    const records = this.values.slice(from, from + options.limit).map((
      value,
      index,
    ) => ({
      offset: (from + index) as Offset,
      at: 0 as Timestamp,
      value,
    }));
    return okAsync({
      records,
      first_offset: this.firstOffset as Offset,
      next_offset: (from + records.length) as Offset,
      end_offset: this.values.length as Offset,
    });
  }
}
