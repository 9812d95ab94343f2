import type { Problem } from "../../core/problem.ts";
import type { UpstreamId } from "../../core/id.ts";
import type { Refusal } from "../../core/reason.ts";
import type { Millis } from "../../core/time.ts";
import { partListFields } from "../../suspects/suspect_key.ts";
import type { ResponseRelay } from "./response_relay.ts";
import type { ExchangePort, ExchangeRequest } from "./exchange_port.ts";
import type { AttemptFailure } from "./retry_policy.ts";
import type { AttemptHistory, ReplacementObstacle } from "./attempt_history.ts";
import type { SentAttempt } from "./sent_attempt.ts";

/** Times of a response that its log line contains. */
export type ResponseTimings = Readonly<{
  expectMs: Millis;
  firstMs: Millis;
  longestPauseMs: Millis;
}>;

/** Writes a log line for each decision on one request. */
export class ExchangeLog {
  readonly #port: ExchangePort;
  readonly #req: ExchangeRequest;
  readonly #state: Readonly<{ history: AttemptHistory; relay: ResponseRelay }>;

  readonly #silenceDecisions = new Set<string>();

  private constructor(
    port: ExchangePort,
    req: ExchangeRequest,
    state: Readonly<{ history: AttemptHistory; relay: ResponseRelay }>,
  ) {
    this.#port = port;
    this.#req = req;
    this.#state = state;
  }

  static create(
    port: ExchangePort,
    req: ExchangeRequest,
    state: Readonly<{ history: AttemptHistory; relay: ResponseRelay }>,
  ): ExchangeLog {
    return new ExchangeLog(port, req, state);
  }

  answered(upstream: UpstreamId | undefined, times: ResponseTimings): void {
    const { relay, history } = this.#state;
    const { sent, announced } = relay.bodyBytes;
    this.line("answered", {
      upstream,
      status: relay.status,
      bytes: sent,
      announced_bytes: announced,
      ms: this.#elapsedMs(),
      expect_ms: Math.round(times.expectMs),
      first_ms: Math.round(times.firstMs),
      longest_pause_ms: Math.round(times.longestPauseMs),
      events: relay.eventsSent,
      attempts: history.placed,
      tokens: this.#req.head.promptTokens,
      ...this.#partFields(),
    });
  }

  attemptFailed(
    failure: AttemptFailure,
    context: Readonly<{
      upstream?: UpstreamId;
      culprit?: UpstreamId;
      leftMs: Millis;
      /** `wait`: a place could not be used, and the silent attempt goes on. */
      then: "retry" | "give_up" | "wait";
    }>,
  ): void {
    const { leftMs, then, ...upstreams } = context;
    this.line("attempt_failed", {
      ...upstreams,
      cause: failure.cause,
      verdict: failure.verdict,
      detail: failure.detail,
      content: this.#req.digest,
      ...this.#partFields(),
      left_ms: Math.round(leftMs),
      events: this.#state.relay.eventsSent,
      then,
    });
  }

  /** Writes what follows from an upstream's silence; a decision is written once until the upstream is heard again. */
  silence(
    sent: SentAttempt,
    decision: Readonly<{
      then: "seek_other" | "wait";
      limitMs?: Millis;
      /** Why no other attempt is sent. */
      reason?: ReplacementObstacle | Refusal;
    }>,
  ): void {
    const { then, limitMs, reason } = decision;
    const { relay, history } = this.#state;
    const key = `${sent.grant.job.id} ${then} ${reason ?? ""}`;
    if (this.#silenceDecisions.has(key)) return;
    this.#silenceDecisions.add(key);
    const leftMs = this.#req.deadlineAt - this.#port.now();
    this.line("attempt_silent", {
      upstream: sent.upstream,
      silent_ms: Math.round(sent.silentMs),
      ...(limitMs === undefined ? {} : { limit_ms: Math.round(limitMs) }),
      left_ms: Math.round(leftMs),
      attempts: history.placed,
      possible_runs: history.possibleRuns,
      events: relay.eventsSent,
      then,
      ...(reason === undefined ? {} : { reason }),
    });
  }

  /** Writes that a silent upstream was heard again, and whether a placement beside it was withdrawn. */
  silenceEnded(
    sent: SentAttempt,
    options: Readonly<{ withdrew: boolean }>,
  ): void {
    this.#silenceDecisions.clear();
    this.line("attempt_resumed", {
      upstream: sent.upstream,
      silent_ms: Math.round(sent.times.silentMs(this.#port.now())),
      ...options,
    });
  }

  refused(err: Problem): void {
    const { relay, history } = this.#state;
    this.line("refused", {
      code: err.code,
      verdict: err.verdict,
      detail: err.detail,
      retry_after_ms: err.retryAfterMs,
      ms: this.#elapsedMs(),
      attempts: history.placed,
      events: relay.eventsSent,
    });
  }

  clientDisconnected(): void {
    const { relay, history } = this.#state;
    this.line("client_left", {
      placed: history.placed,
      events: relay.eventsSent,
    });
  }

  /** The daemon exits before the request has ended: where it was, and how long its upstream has been silent. */
  cut(
    sent: Pick<SentAttempt, "upstream" | "times"> | undefined,
    context: Readonly<{ leftMs: Millis }>,
  ): void {
    const { relay, history } = this.#state;
    const silentMs = sent?.times.silentMs(this.#port.now());
    this.line("cut", {
      state: sent === undefined ? "waiting" : "sent",
      upstream: sent?.upstream,
      silent_ms: silentMs === undefined ? undefined : Math.round(silentMs),
      left_ms: Math.round(context.leftMs),
      ms: this.#elapsedMs(),
      attempts: history.placed,
      events: relay.eventsSent,
    });
  }

  /** Writes a log line of any kind, with the request's id and route. */
  line(kind: string, fields: Parameters<ExchangePort["line"]>[1]): void {
    const { head, admitted } = this.#req;
    const route = admitted.route.name;
    this.#port.line(kind, { req: head.id, route, ...fields });
  }

  #partFields(): Parameters<ExchangePort["line"]>[1] {
    return partListFields(this.#req.head.sharedParts);
  }

  #elapsedMs(): Millis {
    return Math.round(this.#port.now() - this.#req.arrivedAt);
  }
}
