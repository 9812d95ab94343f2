import type { Result } from "neverthrow";
import type { Offset, RecordId } from "../core/id.ts";
import {
  type ConfigDecision,
  ConfigFold,
  type ConfigState,
} from "../fold/config_fold.ts";
import { CONFIG_STREAM } from "../fold/streams.ts";
import type { LogClient, LogError } from "../platform/log_client.ts";
import { StreamReader } from "./stream_reader.ts";

const MAX_HISTORY = 50_000;

/** The records of the configuration stream read so far, folded in the same way as in the daemons. */
export class ConfigLog {
  readonly #reader: StreamReader;
  readonly #fold = ConfigFold.create();
  #history: ConfigDecision[] = [];
  #start = 0 as Offset;

  private constructor(log: LogClient) {
    this.#reader = StreamReader.create(log, CONFIG_STREAM);
  }

  static create(log: LogClient): ConfigLog {
    return new ConfigLog(log);
  }

  /** The configuration in force; absent after a gap until a checkpoint has been read. */
  get state(): ConfigState | undefined {
    return this.#fold.state;
  }

  /** Decided changes that the log still has, oldest first. */
  get history(): readonly ConfigDecision[] {
    return this.#history;
  }

  /** The oldest offset that the log still has. */
  get startOffset(): Offset {
    return this.#start;
  }

  /** Returns the decision on a change, if that change has been read. */
  decision(id: RecordId): ConfigDecision | undefined {
    return this.#history.find((decision) => decision.change.id === id);
  }

  /** Reads up to the newest record. */
  async catchUp(): Promise<Result<void, LogError>> {
    const read = await this.#reader.catchUp({
      entry: (entry) => {
        this.#history.push(...this.#fold.foldRecord(entry));
      },
      gap: (_, found) => this.#restart(found),
    });
    this.#history = this.#history.slice(-MAX_HISTORY);
    return read;
  }

  #restart(first: Offset): void {
    this.#start = first;
    this.#fold.restart(first);
    this.#history = [];
  }
}
