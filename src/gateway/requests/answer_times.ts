import type { Millis, Timestamp } from "../../core/time.ts";
import type { Route } from "../serving/serving_config.ts";

/** Span over which the longest time is kept; a time is forgotten after one to two spans. */
const SPAN_MS: Millis = 30_000;
/** Allowance for answers that take longer than the recent ones. */
const MARGIN_FACTOR = 1.25;
/** Most routes that are tracked; those that were added first are dropped. */
const MAX_ROUTES = 4_096;

/** The longest time in the current span, and in the one before it. */
type LongestTimes = Readonly<
  { since: Timestamp; longestMs: Millis; previousMs: Millis }
>;

/** How long successful answers on each route have recently taken. */
export class AnswerTimes {
  readonly #routes = new Map<string, LongestTimes>();

  static create(): AnswerTimes {
    return new AnswerTimes();
  }

  /** Records the time from a request's arrival to the end of its answer. */
  record(route: Route, ms: Millis, now: Timestamp): void {
    const times = this.#timesOf(route, now) ??
      { since: now, longestMs: 0, previousMs: 0 };
    const longestMs = Math.max(ms, times.longestMs);
    this.#routes.set(route.name, { ...times, longestMs });
    if (this.#routes.size <= MAX_ROUTES) return;
    const [oldest] = this.#routes.keys();
    this.#routes.delete(oldest!);
  }

  /** Time within which nearly all answers on a route end; undefined if none was recorded recently. */
  usualMs(route: Route, now: Timestamp): Millis | undefined {
    const times = this.#timesOf(route, now);
    if (times === undefined) return undefined;
    return Math.max(times.longestMs, times.previousMs) * MARGIN_FACTOR;
  }

  #timesOf(route: Route, now: Timestamp): LongestTimes | undefined {
    const times = this.#routes.get(route.name);
    if (times === undefined || now - times.since < SPAN_MS) return times;
    if (now - times.since >= 2 * SPAN_MS) return undefined;
    return { since: now, longestMs: 0, previousMs: times.longestMs };
  }
}
