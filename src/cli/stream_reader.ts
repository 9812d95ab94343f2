import { err, ok, type Result } from "neverthrow";
import type { Offset, StreamName } from "../core/id.ts";
import { HOUR_MS } from "../core/time.ts";
import { type LogEntry, LogReader } from "../fold/log_reader.ts";
import type { LogClient, LogError } from "../platform/log_client.ts";

const READ_LIMIT = 500;
const ID_RETENTION = { idRetentionMs: 168 * HOUR_MS, maxIds: 100_000 };

/** Receives the entries and gaps of a stream. */
export type StreamListener = Readonly<{
  entry: (entry: LogEntry) => void;
  /** Records from `expected` up to `found` have expired. */
  gap: (expected: Offset, found: Offset) => void;
}>;

/** Reads one stream up to its newest record: every record once, in order, with gaps reported. */
export class StreamReader {
  readonly #log: LogClient;
  readonly #stream: StreamName;
  readonly #reader = LogReader.create(ID_RETENTION);

  private constructor(log: LogClient, stream: StreamName) {
    this.#log = log;
    this.#stream = stream;
  }

  static create(log: LogClient, stream: StreamName): StreamReader {
    return new StreamReader(log, stream);
  }

  /** Reads up to the newest record. */
  async catchUp(listener: StreamListener): Promise<Result<void, LogError>> {
    do {
      const from = this.#reader.next;
      const batch = await this.#log.read(this.#stream, from, {
        limit: READ_LIMIT,
        waitMs: 0,
      });
      if (batch.isErr()) {
        if (batch.error.code !== "gone") return err(batch.error);
        this.#restart(batch.error.firstOffset, listener);
        continue;
      }
      const read = this.#reader.read({
        records: batch.value.records,
        nextOffset: batch.value.next_offset,
        endOffset: batch.value.end_offset,
      });
      if (read.type === "gap") this.#restart(read.found, listener);
      else read.entries.forEach(listener.entry);
    } while (!this.#reader.caughtUp);
    return ok(undefined);
  }

  #restart(found: Offset, listener: StreamListener): void {
    listener.gap(this.#reader.next, found);
    this.#reader.restart(found);
  }
}
