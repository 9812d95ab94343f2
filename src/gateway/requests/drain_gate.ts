import { type Problem, problem } from "../../core/problem.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import { isRepeatable, type Route } from "../serving/serving_config.ts";
import type { AnswerTimes } from "./answer_times.ts";

/** How long a draining daemon still accepts new requests, as clients may use stale responses of the directory. */
const ACCEPT_MS: Millis = 3_000;
/** Retry-After while draining; short, as another daemon can serve the request. */
const RETRY_AFTER_MS: Millis = 50;

/** A planned stop: when it began, and when each request still open gets its final response. */
export type Drain = Readonly<{ since: Timestamp; endsAt: Timestamp }>;

/** A request's route and deadline. */
export type DrainingRequest = Readonly<
  { admitted: Readonly<{ route: Route }>; deadlineAt: Timestamp }
>;

/** Decides during a planned stop which requests can still be finished. */
export class DrainGate {
  readonly #drain: () => Drain | undefined;
  readonly #times: AnswerTimes;

  private constructor(drain: () => Drain | undefined, times: AnswerTimes) {
    this.#drain = drain;
    this.#times = times;
  }

  static create(
    drain: () => Drain | undefined,
    times: AnswerTimes,
  ): DrainGate {
    return new DrainGate(drain, times);
  }

  /** The stop in progress, if any. */
  get drain(): Drain | undefined {
    return this.#drain();
  }

  /** Deadline of a request, which is not later than the end of the stop. */
  limitDeadline(deadlineAt: Timestamp): Timestamp {
    const drain = this.#drain();
    return drain === undefined || drain.endsAt > deadlineAt
      ? deadlineAt
      : drain.endsAt;
  }

  /** The refusal of every new request once clients have had time to learn of the stop. */
  closed(now: Timestamp): Problem | undefined {
    const drain = this.#drain();
    if (drain === undefined || now - drain.since <= ACCEPT_MS) return undefined;
    return draining("This daemon is draining");
  }

  /** The refusal of a request that may not end before the stop does; undefined if it can be sent to an upstream. */
  refusal(req: DrainingRequest, now: Timestamp): Problem | undefined {
    const latestAt = this.latestSendAt(req, now);
    if (latestAt === undefined || now <= latestAt) return undefined;
    const needMs = Math.round(this.needMs(req, now));
    const leftMs = Math.round(this.#drain()!.endsAt - now);
    return draining(
      `It may take ${needMs} ms, and the daemon stops in ${leftMs} ms`,
    );
  }

  /** Latest time at which a request may be sent to an upstream; undefined while no stop is in progress. */
  latestSendAt(req: DrainingRequest, now: Timestamp): Timestamp | undefined {
    const drain = this.#drain();
    if (drain === undefined) return undefined;
    if (!isRepeatable(req.admitted.route)) {
      return req.deadlineAt <= drain.endsAt ? drain.endsAt : drain.since;
    }
    return addMs(drain.endsAt, -this.needMs(req, now));
  }

  /**
   * Time that a request may take: its time limit where it may not be repeated, as a cut would leave it open
   * whether it has run; otherwise what recent answers on its route took.
   */
  needMs(req: DrainingRequest, now: Timestamp): Millis {
    const limitMs = Math.max(0, req.deadlineAt - now);
    const { route } = req.admitted;
    if (!isRepeatable(route)) return limitMs;
    const usualMs = this.#times.usualMs(route, now);
    return usualMs === undefined ? limitMs : Math.min(limitMs, usualMs);
  }
}

/** A refusal because of a planned stop; the request has not run. */
export function draining(detail: string): Problem {
  return problem("draining", detail, { retryAfterMs: RETRY_AFTER_MS });
}
