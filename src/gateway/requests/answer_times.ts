import type { Millis } from "../../core/time.ts";
import type { Route } from "../serving/serving_config.ts";

/** Factor by which the longest time shrinks with each shorter answer, so that old peaks are forgotten. */
const DECAY = 0.98;
/** Allowance for answers that take longer than the recent ones. */
const MARGIN_FACTOR = 1.25;
/** Most routes that are tracked; those that were added first are dropped. */
const MAX_ROUTES = 4_096;

/** How long complete answers on each route have recently taken. */
export class AnswerTimes {
  readonly #longestMs = new Map<string, Millis>();

  static create(): AnswerTimes {
    return new AnswerTimes();
  }

  /** Records the time from a request's arrival to the end of its answer. */
  record(route: Route, ms: Millis): void {
    const longestMs = this.#longestMs.get(route.name) ?? 0;
    this.#longestMs.set(route.name, Math.max(ms, longestMs * DECAY));
    if (this.#longestMs.size <= MAX_ROUTES) return;
    const [oldest] = this.#longestMs.keys();
    this.#longestMs.delete(oldest!);
  }

  /** Time within which nearly all answers on a route end; undefined before the first answer. */
  usualMs(route: Route): Millis | undefined {
    const longestMs = this.#longestMs.get(route.name);
    return longestMs === undefined ? undefined : longestMs * MARGIN_FACTOR;
  }
}
