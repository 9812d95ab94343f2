import type { Problem } from "../../core/problem.ts";
import type { UpstreamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import type { AnswerRelay } from "./answer_relay.ts";
import type { ExchangePort, ExchangeRequest } from "./exchange_port.ts";
import type { AttemptFailure } from "./retry_rule.ts";
import type { TryHistory } from "./try_history.ts";

/** What a line about an answer says of its times. */
export type AnsweredTimes = Readonly<{
  expectMs: Millis;
  firstMs: Millis;
  longestPauseMs: Millis;
}>;

/** Writes a line for each decision on one request. */
export class ExchangeLog {
  readonly #port: ExchangePort;
  readonly #req: ExchangeRequest;
  readonly #state: Readonly<{ tries: TryHistory; relay: AnswerRelay }>;

  private constructor(
    port: ExchangePort,
    req: ExchangeRequest,
    state: Readonly<{ tries: TryHistory; relay: AnswerRelay }>,
  ) {
    this.#port = port;
    this.#req = req;
    this.#state = state;
  }

  static create(
    port: ExchangePort,
    req: ExchangeRequest,
    state: Readonly<{ tries: TryHistory; relay: AnswerRelay }>,
  ): ExchangeLog {
    return new ExchangeLog(port, req, state);
  }

  answered(upstream: UpstreamId | undefined, times: AnsweredTimes): void {
    const { relay, tries } = this.#state;
    this.line("answered", {
      upstream,
      status: relay.status,
      ms: this.#ageMs(),
      expect_ms: Math.round(times.expectMs),
      first_ms: Math.round(times.firstMs),
      longest_pause_ms: Math.round(times.longestPauseMs),
      events: relay.events,
      attempts: tries.placed,
      tokens: this.#req.head.promptTokens,
    });
  }

  attemptFailed(
    failure: AttemptFailure,
    one: Readonly<{
      upstream?: UpstreamId;
      culprit?: UpstreamId;
      leftMs: Millis;
      then: "retry" | "give_up";
    }>,
  ): void {
    const { leftMs, then, ...upstreams } = one;
    this.line("attempt_failed", {
      ...upstreams,
      cause: failure.cause,
      verdict: failure.verdict,
      detail: failure.detail,
      content: this.#req.digest,
      left_ms: Math.round(leftMs),
      events: this.#state.relay.events,
      then,
    });
  }

  refused(err: Problem): void {
    const { relay, tries } = this.#state;
    this.line("refused", {
      code: err.code,
      verdict: err.verdict,
      detail: err.detail,
      retry_after_ms: err.retryAfterMs,
      ms: this.#ageMs(),
      attempts: tries.placed,
      events: relay.events,
    });
  }

  clientLeft(): void {
    const { relay, tries } = this.#state;
    this.line("client_left", { placed: tries.placed, events: relay.events });
  }

  /** Writes a line of any kind about the request. */
  line(kind: string, fields: Parameters<ExchangePort["line"]>[1]): void {
    const { head, admitted } = this.#req;
    const route = admitted.route.name;
    this.#port.line(kind, { req: head.id, route, ...fields });
  }

  #ageMs(): Millis {
    return Math.round(this.#port.now() - this.#req.arrivedAt);
  }
}
