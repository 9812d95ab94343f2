import type { Random } from "../../src/core/random.ts";
import { addMs, type Millis, type Timestamp } from "../../src/core/time.ts";
import type { CacheEvent, LoadReport } from "../../src/wire/engine.ts";
import type { EngineModel } from "./engine_model.ts";
import type { ModelEvent } from "./job.ts";

/** Time between two load reports. */
export const LOAD_REPORT_MS: Millis = 500;
/** Least time after which a load report arrives. */
export const LOAD_DELAY_MIN_MS: Millis = 300;
/** Longest time after which a load report arrives. */
export const LOAD_DELAY_MAX_MS: Millis = 1_500;
/** Least time after which a cache event arrives. */
export const CACHE_DELAY_MIN_MS: Millis = 1_000;
/** Longest time after which a cache event arrives. */
export const CACHE_DELAY_MAX_MS: Millis = 5_000;
/** Share of cache events that are lost. */
export const CACHE_LOSS = 0.05;
/** Cache events that are kept for readers. */
export const MAX_CACHE_EVENTS = 4_096;

type Delayed<T> = Readonly<{ visibleAt: Timestamp; value: T }>;

/** What an engine lets others see: load reports that lag, cache events late and with gaps. */
export class LaggedReports {
  readonly #random: Random;
  #loads: Delayed<LoadReport>[] = [];
  #load: LoadReport | undefined;
  #reportAt: Timestamp;
  #cacheEvents: Delayed<CacheEvent>[] = [];
  #cacheVisibleAt: Timestamp;
  #seq = 0;

  private constructor(random: Random, now: Timestamp) {
    this.#random = random;
    this.#reportAt = now;
    this.#cacheVisibleAt = now;
  }

  /** Starts with a first report due at `now`. */
  static create(random: Random, now: Timestamp): LaggedReports {
    return new LaggedReports(random, now);
  }

  /** When `sample` is due next. */
  nextSampleAt(): Timestamp {
    return this.#reportAt;
  }

  /** Measures the load if it is due; the model must have advanced to `now`. */
  sample(now: Timestamp, model: EngineModel): void {
    if (now < this.#reportAt) return;
    const delay = this.#draw(LOAD_DELAY_MIN_MS, LOAD_DELAY_MAX_MS);
    const value = model.loadReport(now);
    this.#loads.push({ visibleAt: addMs(now, delay), value });
    this.#reportAt = addMs(now, LOAD_REPORT_MS);
    this.#settle(now);
  }

  /** Takes the cache events among a model's events. */
  publish(events: readonly ModelEvent[]): void {
    for (const event of events) {
      if (event.type !== "cache") continue;
      this.#seq += 1;
      const lost = this.#random.next() < CACHE_LOSS;
      const delay = this.#draw(CACHE_DELAY_MIN_MS, CACHE_DELAY_MAX_MS);
      if (lost) continue;
      const due = addMs(event.at, delay);
      if (due > this.#cacheVisibleAt) this.#cacheVisibleAt = due;
      const value: CacheEvent = {
        seq: this.#seq,
        at: Math.floor(event.at) as Timestamp,
        type: event.change,
        blocks: [...event.blocks],
      };
      this.#cacheEvents.push({ visibleAt: this.#cacheVisibleAt, value });
    }
    const excess = this.#cacheEvents.length - MAX_CACHE_EVENTS;
    if (excess > 0) this.#cacheEvents.splice(0, excess);
  }

  /** The newest report that has arrived by `now`. */
  load(now: Timestamp): LoadReport | undefined {
    this.#settle(now);
    return this.#load;
  }

  /** Cache events after a sequence number that have arrived by `now`, oldest first. */
  cacheEvents(now: Timestamp, after: number): CacheEvent[] {
    return this.#cacheEvents
      .filter((item) => item.visibleAt <= now && item.value.seq > after)
      .map((item) => item.value);
  }

  #settle(now: Timestamp): void {
    this.#loads = this.#loads.filter((item) => {
      if (item.visibleAt > now) return true;
      if (!this.#load || item.value.at > this.#load.at) {
        this.#load = item.value;
      }
      return false;
    });
  }

  #draw(min: Millis, max: Millis): Millis {
    return min + this.#random.next() * (max - min);
  }
}
