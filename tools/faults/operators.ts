import type { CliContext } from "../../src/cli/context.ts";
import { ConfigLog } from "../../src/cli/config_log.ts";
import { publish, type PublishResult } from "../../src/cli/publish.ts";
import {
  NO_REVISION,
  type RecordId,
  type Revision,
} from "../../src/core/id.ts";
import type { Random } from "../../src/core/random.ts";
import type { Millis } from "../../src/core/time.ts";
import type { FakeLog } from "./fake_log.ts";
import { FakeLogClient } from "./fake_log_client.ts";
import type { Timeline } from "./timeline.ts";

const PUBLISH_MS: Millis = 10_000;

/** What an operator was told about a change. */
export type Told = Readonly<
  { change: string; base: Revision; result: PublishResult }
>;

/** Publishes changes as the command-line tool does, each against the revision it has read. */
export class Operators {
  readonly told: Told[] = [];
  readonly #log: FakeLog;
  readonly #timeline: Timeline;
  readonly #random: Random;

  private constructor(log: FakeLog, timeline: Timeline, random: Random) {
    this.#log = log;
    this.#timeline = timeline;
    this.#random = random;
  }

  static create(log: FakeLog, timeline: Timeline, random: Random): Operators {
    return new Operators(log, timeline, random);
  }

  async apply(text: string): Promise<void> {
    const log = FakeLogClient.create(this.#log, this.#timeline);
    const history = ConfigLog.create(log);
    const read = await history.catchUp();
    const { state } = history;
    if (read.isErr() || state === undefined) return;
    const id = this.#random.uuid(this.#timeline.now);
    const base = state.revision ?? NO_REVISION;
    const change = {
      type: "config_change" as const,
      id: id as RecordId,
      base,
      change: id,
      author: "operator",
      at: this.#timeline.now,
      text,
    };
    const options = { log, history, timeoutMs: PUBLISH_MS };
    const result = await publish(this.#context(), change, options);
    if (result.isErr()) return;
    this.told.push({ change: id, base, result: result.value });
  }

  #context(): CliContext {
    const timeline = this.#timeline;
    const sleep = (ms: Millis) =>
      new Promise<void>((resolve) =>
        timeline.after(ms, () => {
          timeline.unsettle();
          resolve();
        })
      );
    const now = () => timeline.now;
    return { now, sleep, progress: () => {} } as unknown as CliContext;
  }
}
