import type { Event } from "../core/event.ts";
import type { Intent } from "../core/intent.ts";
import type { RequestId } from "../core/id.ts";
import type { Random } from "../core/random.ts";
import type { CallRequest, Outcome } from "../core/request.ts";
import { type Millis, SECOND_MS } from "../core/time.ts";
import type { VirtualTime } from "./virtual_time.ts";

type AttemptEnded = Extract<Event, { type: "attempt_ended" }>;
type StartAttempt = Extract<Intent, { type: "start_attempt" }>;

const RESPONSE_TIMEOUT_MS: Millis = 2 * SECOND_MS;

/** Whether all calls succeed, or one in ten is refused and one in ten loses its response. */
export type ServiceMode = "runs" | "mixed";

/** A plain service that counts the calls it ran. */
export class FakeService {
  /** Runs by team and key. */
  readonly runsByKey = new Map<string, number>();
  /** Runs by request. */
  readonly runsByRequest = new Map<RequestId, number>();
  readonly #time: VirtualTime;
  readonly #random: Random;
  readonly #mode: ServiceMode;

  private constructor(
    time: VirtualTime,
    random: Random,
    mode: ServiceMode,
  ) {
    this.#mode = mode;
    this.#time = time;
    this.#random = random;
  }

  static create(
    time: VirtualTime,
    random: Random,
    mode: ServiceMode = "mixed",
  ): FakeService {
    return new FakeService(time, random, mode);
  }

  /** Runs one call after a random delay; a call past its deadline is not sent, as with the daemon's adapter. */
  call(
    start: StartAttempt,
    req: CallRequest,
    deliver: (event: AttemptEnded) => void,
  ): void {
    const end = (outcome: Outcome) =>
      deliver({
        type: "attempt_ended",
        req: req.id,
        attempt: start.attempt,
        outcome,
      });
    if (this.#time.now >= start.deadlineAt) return end(failed("not_run"));
    const fault = this.#mode === "runs" ? 9 : this.#random.below(10);
    if (fault === 0) return end(failed("not_run"));
    this.#time.schedule(1 + this.#random.below(300), () => {
      const name = `${req.team}/${req.key}`;
      increment(this.runsByKey, name);
      increment(this.runsByRequest, req.id);
      if (fault === 1) {
        return this.#time.schedule(
          RESPONSE_TIMEOUT_MS,
          () => end(failed("may_have_run")),
        );
      }
      const body = callBody(req);
      end({
        type: "ok",
        tokens: 0,
        status: 200,
        answer: { contentType: "text/plain", body },
      });
    });
  }
}

/** Response body of a call. */
export function callBody(req: CallRequest): string {
  return `${req.team} ${req.key} ${req.digest}`;
}

function increment<Key>(counts: Map<Key, number>, key: Key): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

function failed(verdict: "not_run" | "may_have_run"): Outcome {
  return {
    type: "failed",
    cause: verdict === "not_run" ? "connect_failed" : "upstream_silent",
    verdict,
    tokens: 0,
    crashed: false,
    detail: "",
  };
}
