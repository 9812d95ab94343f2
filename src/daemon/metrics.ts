import { clearInterval, setInterval } from "node:timers";
import { StatsD } from "hot-shots";
import type { Blackboard } from "../board/blackboard.ts";
import type { Timing } from "../core/measurement.ts";
import { type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";

const FLUSH_INTERVAL_MS: Millis = 10 * SECOND_MS;
const PREFIX = "parsleyfield.";

/** StatsD receiver of the metrics, and the tags of every metric. */
export type MetricsTarget = Readonly<
  { host: string; port: number; tags: Readonly<Record<string, string>> }
>;

/** Sends metrics over StatsD: the increases of the counters since the last flush, and gauges of the board. */
export class Metrics {
  readonly #board: Blackboard;
  readonly #client: StatsD;
  readonly #now: () => Timestamp;
  readonly #sentCounts = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;

  private constructor(
    board: Blackboard,
    target: MetricsTarget,
    now: () => Timestamp,
  ) {
    this.#board = board;
    this.#now = now;
    this.#client = new StatsD({
      host: target.host,
      port: target.port,
      prefix: PREFIX,
      globalTags: target.tags,
      // An unreachable receiver must not end the daemon.
      errorHandler: () => {},
    });
  }

  static create(
    board: Blackboard,
    target: MetricsTarget,
    options: { now: () => Timestamp },
  ): Metrics {
    return new Metrics(board, target, options.now);
  }

  start(): void {
    this.#timer = setInterval(() => this.flush(), FLUSH_INTERVAL_MS);
  }

  /** Sends one timing, in milliseconds. */
  sendTiming(timing: Timing): void {
    this.#client.timing(timing.name, timing.ms, { length: timing.length });
  }

  async close(): Promise<void> {
    clearInterval(this.#timer);
    this.flush();
    await new Promise<void>((resolve) => this.#client.close(() => resolve()));
  }

  /** Sends the counters that increased, and all gauges. */
  flush(): void {
    const { counters, config, requests, placement, members } = this.#board;
    this.#sendCounts("refused", "reason", counters.refused);
    this.#sendCounts("retried", "reason", counters.retried);
    this.#sendCounts("counted", "name", counters.counted);
    this.#client.gauge("revision", config.revision);
    this.#client.gauge("running", requests.byId.size);
    this.#client.gauge("queued", placement.queued);
    this.#client.gauge("peers", members.peers.size);
    this.#client.gauge("config_age_ms", this.#ageOf(config.confirmedAt));
    this.#client.gauge("log_lag_ms", this.#ageOf(config.readAt));
  }

  #ageOf(at: Timestamp | undefined): Millis {
    return at === undefined ? 0 : this.#now() - at;
  }

  #sendCounts(
    metric: string,
    tag: string,
    counts: Readonly<Record<string, number>>,
  ): void {
    for (const [name, count] of Object.entries(counts)) {
      const key = `${metric}/${name}`;
      const increase = count - (this.#sentCounts.get(key) ?? 0);
      if (increase === 0) continue;
      this.#sentCounts.set(key, count);
      this.#client.increment(metric, increase, { [tag]: name });
    }
  }
}
