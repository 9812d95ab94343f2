import type { UpstreamId } from "../../core/id.ts";
import { type Problem, problem } from "../../core/problem.ts";
import type { Millis } from "../../core/time.ts";
import type { JobId, PoolGrant } from "../../scheduling/pool/pool_job.ts";
import type { Backend } from "../serving/serving_config.ts";
import type { AttemptListener } from "./attempt.ts";
import type { AttemptHistory, ReplacementObstacle } from "./attempt_history.ts";
import { AttemptPlacement } from "./attempt_placement.ts";
import type { DrainGate } from "./drain_gate.ts";
import type { ExchangeLog } from "./exchange_log.ts";
import type { ExchangePort, ExchangeRequest } from "./exchange_port.ts";
import { placementRequestOf } from "./exchange_util.ts";
import type { ResponseRelay } from "./response_relay.ts";
import { type AttemptFailure, RETRY_AFTER_MS } from "./retry_policy.ts";
import { SentAttempt, type SentAttemptTarget } from "./sent_attempt.ts";

/** What the attempts at one request share. */
export type AttemptSequenceContext = Readonly<{
  backend: Backend;
  gate: DrainGate;
  history: AttemptHistory;
  relay: ResponseRelay;
  log: ExchangeLog;
  listener:
    & Omit<AttemptListener, "onFailure">
    & Readonly<{
      /** No attempt is left; called once at most. */
      onExhausted: (err: Problem) => void;
    }>;
}>;

/** The failed attempt that a decision is about. */
type FailedAttempt = Readonly<{
  upstream: UpstreamId | undefined;
  /** The upstream at fault, if it is another one. */
  culprit?: UpstreamId;
  /** Whether the attempt was sent, so that another one counts against the retry budget. */
  wasSent: boolean;
}>;

/**
 * The attempts at one request, one after the other. An attempt whose upstream is silent goes on until another one can
 * be sent in its place.
 */
export class AttemptSequence {
  readonly #port: ExchangePort;
  readonly #req: ExchangeRequest;
  readonly #context: AttemptSequenceContext;
  /** The place that is sought for the next attempt; beside `#sent` only while its upstream is silent. */
  #placement: AttemptPlacement | undefined;
  #sent: SentAttempt | undefined;

  private constructor(
    port: ExchangePort,
    req: ExchangeRequest,
    context: AttemptSequenceContext,
  ) {
    this.#port = port;
    this.#req = req;
    this.#context = context;
  }

  static create(
    port: ExchangePort,
    req: ExchangeRequest,
    options: Readonly<{ context: AttemptSequenceContext }>,
  ): AttemptSequence {
    return new AttemptSequence(port, req, options.context);
  }

  /** The attempt that is running. */
  get sent(): SentAttempt | undefined {
    return this.#sent;
  }

  /** Seeks a place for the next attempt, on another upstream than the silent one. */
  start(): void {
    const { history, backend, log } = this.#context;
    if (this.#sent === undefined && this.#refusesForDrain()) return;
    const job = `${this.#req.head.id}.${history.countPlacement()}` as JobId;
    const silent = this.#sent === undefined ? [] : [this.#sent.upstream];
    const placement = AttemptPlacement.create(this.#port, job, {
      // A silent attempt goes on if the other upstream can't be reached.
      connects: this.#sent !== undefined,
      listener: {
        onReady: (grant, route) => this.#send({ placement, grant, route }),
        onDenied: (err) => this.#onDenied(err),
        onUnusable: (failure) => this.#onUnusable(placement, failure),
        onUpstreamLost: (detail) =>
          this.failOnUpstreamLoss(placement.upstream, detail),
        onTicketError: (err) => log.line("ticket", { ...err }),
      },
    });
    this.#placement = placement;
    placement.request(placementRequestOf(this.#req, this.#port.self, {
      job,
      backend,
      leftMs: this.#leftMs(),
      avoid: [...history.failedUpstreams, ...silent],
      closed: this.#port.closedUpstreams(backend.service),
    }));
  }

  /** Fails the attempt if it runs on an upstream whose process has ended. */
  failOnUpstreamLoss(id: UpstreamId | undefined, detail: string): void {
    if (this.#sent === undefined || this.#sent.upstream !== id) return;
    const { verdict } = this.#sent;
    const cause = "upstream_crashed";
    this.fail({ cause, verdict, detail, upstreamAtFault: true });
  }

  /** Ends the attempt as failed, and decides what follows. */
  fail(failure: AttemptFailure, culprit?: UpstreamId): void {
    const upstream = this.#sent?.upstream;
    this.#sent?.failed(failure, culprit);
    this.#sent = undefined;
    this.#context.relay.endAttempt();
    this.#retry(failure, { upstream, culprit, wasSent: true });
  }

  /** Handles a sign of life of the upstream, which need not be replaced. */
  heard(): void {
    const sent = this.#sent;
    if (sent === undefined) return;
    if (sent.silentMs > 0) {
      const withdrew = this.#placement !== undefined;
      this.#context.log.silenceEnded(sent, { withdrew });
    }
    sent.heard();
    this.#dropPlacement();
  }

  /** Ends the attempt as answered. */
  complete(options: Readonly<{ hasRun: boolean }>): void {
    this.#sent?.completed(options);
    this.#sent = undefined;
    this.abandon();
  }

  /** Ends all attempts, as the client or the deadline does. */
  abandon(): void {
    this.#sent?.abandon();
    this.#sent = undefined;
    this.#context.relay.endAttempt();
    this.#placement?.closeUnsent(this.#req);
    this.#placement = undefined;
  }

  #leftMs(): Millis {
    const { gate } = this.#context;
    return gate.limitDeadline(this.#req.deadlineAt) - this.#port.now();
  }

  #spendRetry(): boolean {
    return this.#port.spendRetry(this.#context.backend.service);
  }

  #onDenied(err: Problem): void {
    const { listener, history, log } = this.#context;
    this.#placement = undefined;
    if (this.#sent === undefined) return listener.onExhausted(err);
    history.dropPlacement();
    log.silence(this.#sent, { then: "wait", reason: err.code });
  }

  #onUnusable(placement: AttemptPlacement, failure: AttemptFailure): void {
    const { upstream } = placement;
    const { history, log } = this.#context;
    this.#placement = undefined;
    placement.closeUnsent(this.#req, failure);
    if (this.#sent === undefined) {
      return this.#retry(failure, { upstream, wasSent: false });
    }
    history.dropPlacement();
    const leftMs = this.#leftMs();
    log.attemptFailed(failure, { upstream, leftMs, then: "wait" });
  }

  /** Sends the next attempt; a silent one ends first, so that only one is running. */
  #send(target: Omit<SentAttemptTarget, "lastEventId">): void {
    const { relay, listener } = this.#context;
    const maySend = this.#sent === undefined
      ? !this.#refusesForDrain()
      : this.#tryReplaceSilent(this.#sent, target.grant);
    if (!maySend) {
      target.route.connection?.destroy();
      return;
    }
    this.#placement = undefined;
    relay.startAttempt();
    const { lastEventId } = relay;
    this.#sent = SentAttempt.create(this.#port, this.#req, {
      target: { ...target, lastEventId },
      listener: {
        ...listener,
        onFailure: (failure) => this.fail(failure),
        onSilence: (limitMs) => this.#onSilence(limitMs),
      },
    });
    this.#sent.start();
  }

  /** Refuses a request that has not run and may not end before a planned stop does. */
  #refusesForDrain(): boolean {
    const { gate, history, listener } = this.#context;
    if (history.verdict !== "not_run") return false;
    const refusal = gate.refusal(this.#req, this.#port.now());
    if (refusal !== undefined) listener.onExhausted(refusal);
    return refusal !== undefined;
  }

  /** Ends a silent attempt in favour of another one, unless that may no longer be sent, or not to another upstream. */
  #tryReplaceSilent(silent: SentAttempt, { job }: PoolGrant): boolean {
    const { history, log } = this.#context;
    const reason = job.upstream === silent.upstream
      ? "no_other"
      : this.#replacementObstacle() ??
        (this.#spendRetry() ? undefined : "retry_budget");
    if (reason !== undefined) {
      this.#dropPlacement();
      log.silence(silent, { then: "wait", reason });
      return false;
    }
    const { upstream } = silent;
    const leftMs = this.#leftMs();
    const failure = silenceFailureOf(silent);
    silent.abandon();
    history.recordFailure(failure, { leftMs, upstream });
    log.attemptFailed(failure, { upstream, leftMs, then: "retry" });
    this.#port.observe.retried(failure.cause);
    return true;
  }

  /**
   * Seeks another upstream beside a silent one; an attempt that can't be replaced goes on, unless it reserves memory and
   * has sent nothing.
   */
  #onSilence(limitMs: Millis): void {
    if (this.#sent === undefined || this.#placement !== undefined) return;
    if (this.#holdsUnusedMemory(this.#sent)) {
      return this.#failSilent(this.#sent);
    }
    const reason = this.#replacementObstacle();
    const then = reason === undefined ? "seek_other" : "wait";
    this.#context.log.silence(this.#sent, { limitMs, then, reason });
    if (reason === undefined) this.start();
  }

  /** Whether memory is reserved for an attempt that has sent nothing, so that other prompts can't use it. */
  #holdsUnusedMemory(sent: SentAttempt): boolean {
    return sent.grant.job.tickets.length > 0 &&
      this.#context.relay.receivedCount === 0;
  }

  #failSilent(sent: SentAttempt): void {
    const { upstream } = sent;
    const failure = silenceFailureOf(sent);
    sent.abandon();
    this.#sent = undefined;
    this.#context.relay.endAttempt();
    this.#retry(failure, { upstream, wasSent: true });
  }

  #replacementObstacle(): ReplacementObstacle | undefined {
    const { relay, history, backend } = this.#context;
    if (relay.committed) return "committed";
    const obstacle = history.replacementObstacle(this.#leftMs(), {
      seeking: this.#placement !== undefined,
    });
    if (obstacle !== undefined) return obstacle;
    return this.#port.mayRetry(backend.service) ? undefined : "retry_budget";
  }

  /** Gives back the place beside an attempt that goes on. */
  #dropPlacement(): void {
    if (this.#placement === undefined) return;
    this.#placement.closeUnsent(this.#req);
    this.#placement = undefined;
    this.#context.history.dropPlacement();
  }

  #retry(failure: AttemptFailure, attempt: FailedAttempt): void {
    const { history, relay, log, listener } = this.#context;
    const { upstream, culprit, wasSent } = attempt;
    const leftMs = this.#leftMs();
    const decision = history.recordFailure(failure, {
      leftMs,
      upstream: culprit ?? upstream,
      seeking: this.#placement !== undefined,
    });
    const retry = decision.type === "retry" && !relay.committed &&
      (!wasSent || this.#spendRetry());
    const then = retry ? "retry" : "give_up";
    log.attemptFailed(failure, { upstream, culprit, leftMs, then });
    if (retry) {
      this.#port.observe.retried(failure.cause);
      if (this.#placement === undefined) this.start();
      return;
    }
    const code = decision.type === "retry" ? "retry_budget" : decision.code;
    listener.onExhausted(problem(code, failure.detail, {
      verdict: history.verdict,
      retryAfterMs: failure.retryAfterMs ?? RETRY_AFTER_MS,
    }));
  }
}

function silenceFailureOf(sent: SentAttempt): AttemptFailure {
  const { verdict, silentMs } = sent;
  return {
    cause: "upstream_silent",
    verdict,
    detail: `No data for ${Math.round(silentMs)} ms`,
    upstreamAtFault: true,
  };
}
