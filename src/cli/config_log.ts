import { err, ok, type Result } from "neverthrow";
import type { Offset, RecordId } from "../core/id.ts";
import { HOUR_MS } from "../core/time.ts";
import {
  type ConfigDecision,
  ConfigFold,
  type ConfigState,
} from "../fold/config_fold.ts";
import { LogReader } from "../fold/log_reader.ts";
import { CONFIG_STREAM } from "../fold/streams.ts";
import type { LogClient, LogError } from "../platform/log_client.ts";

const READ_LIMIT = 500;
const MAX_HISTORY = 50_000;
const ID_MEMORY = { idMemoryMs: 168 * HOUR_MS, maxIds: 100_000 };

/** The configuration stream as far as it was read, folded as every daemon folds it. */
export class ConfigLog {
  readonly #log: LogClient;
  readonly #reader = LogReader.create(ID_MEMORY);
  readonly #fold = ConfigFold.create();
  #history: ConfigDecision[] = [];
  #start = 0 as Offset;

  private constructor(log: LogClient) {
    this.#log = log;
  }

  static create(log: LogClient): ConfigLog {
    return new ConfigLog(log);
  }

  /** The configuration in force; absent while no checkpoint has been found after a gap. */
  get state(): ConfigState | undefined {
    return this.#fold.state;
  }

  /** Decided changes that the log still has, oldest first. */
  get history(): readonly ConfigDecision[] {
    return this.#history;
  }

  /** The oldest offset that the log still had. */
  get start(): Offset {
    return this.#start;
  }

  /** Returns what was decided about a change, if it has been read. */
  decision(id: RecordId): ConfigDecision | undefined {
    return this.#history.find((decision) => decision.change.id === id);
  }

  /** Reads up to the newest record. */
  async catchUp(): Promise<Result<void, LogError>> {
    for (;;) {
      const batch = await this.#log.read(CONFIG_STREAM, this.#reader.next, {
        limit: READ_LIMIT,
        waitMs: 0,
      });
      if (batch.isErr()) {
        if (batch.error.code !== "gone") return err(batch.error);
        this.#restart(batch.error.firstOffset);
        continue;
      }
      const read = this.#reader.read({
        records: batch.value.records,
        nextOffset: batch.value.next_offset,
        endOffset: batch.value.end_offset,
      });
      if (read.type === "gap") {
        this.#restart(read.found);
        continue;
      }
      for (const entry of read.entries) {
        this.#history.push(...this.#fold.take(entry));
      }
      this.#history = this.#history.slice(-MAX_HISTORY);
      if (this.#reader.caughtUp) return ok(undefined);
    }
  }

  #restart(first: Offset): void {
    this.#start = first;
    this.#reader.restart(first);
    this.#fold.restart(first);
    this.#history = [];
  }
}
