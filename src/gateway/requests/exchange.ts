import type { Buffer } from "node:buffer";
import type { UpstreamId } from "../../core/id.ts";
import { type Problem, problem } from "../../core/problem.ts";
import { type Millis, timerMs, type Timestamp } from "../../core/time.ts";
import { joinVerdicts } from "../../core/verdict.ts";
import type { JobId, PoolGrant } from "../../scheduling/pool/pool_job.ts";
import { ResponseRelay } from "./response_relay.ts";
import { Attempt } from "./attempt.ts";
import { AttemptTimes } from "./attempt_times.ts";
import type { ClientResponse } from "./client_response.ts";
import {
  type ContentReport,
  outcomeOfCancellation,
  outcomeOfFailure,
} from "../contents/content_report.ts";
import {
  chooseBackend,
  helpersOf,
  notOpen,
  notSent,
  placementRequestOf,
  ResponseTimer,
} from "./exchange_util.ts";
import { ExchangeLog } from "./exchange_log.ts";
import type {
  ExchangePort,
  ExchangeRequest,
  JobUpdate,
} from "./exchange_port.ts";
import type { AttemptFailure } from "./retry_policy.ts";
import { type Backend, isRepeatable } from "../serving/serving_config.ts";
import { TicketManager } from "./ticket_manager.ts";
import { AttemptHistory } from "./attempt_history.ts";
import { type SilenceLimits, silenceLimitsOf } from "./silence_limits.ts";

/** Retry-After of a failure that may be transient. */
const RETRY_AFTER_MS: Millis = 200;

/** Handles one client request, from its placement on an upstream to its single final response. */
export class Exchange {
  readonly #port: ExchangePort;
  readonly #req: ExchangeRequest;
  readonly #response: ClientResponse;
  readonly #relay: ResponseRelay;
  readonly #backend: Backend;
  readonly #history: AttemptHistory;
  readonly #log: ExchangeLog;
  #job: JobId | undefined;
  #grant: PoolGrant | undefined;
  #tickets: TicketManager | undefined;
  #attempt: Attempt | undefined;
  #silenceLimits: SilenceLimits = { firstMs: 0, gapMs: 0 };
  #silenceTimer: NodeJS.Timeout | undefined;
  #expectMs: Millis = 0;
  readonly #responseTimer = ResponseTimer.create();
  #deadlineTimer: NodeJS.Timeout | undefined;
  #finished = false;
  #times = AttemptTimes.create(0 as Timestamp);

  private constructor(
    port: ExchangePort,
    req: ExchangeRequest,
    response: ClientResponse,
  ) {
    this.#port = port;
    this.#req = req;
    this.#response = response;
    this.#history = AttemptHistory.create(req.admitted.route);
    this.#backend = chooseBackend(req.admitted.route.backends, port.random());
    this.#relay = ResponseRelay.create(response, {
      lastEventId: req.head.lastEventId,
    });
    const state = { history: this.#history, relay: this.#relay };
    this.#log = ExchangeLog.create(port, req, state);
  }

  static create(
    port: ExchangePort,
    req: ExchangeRequest,
    options: Readonly<{ response: ClientResponse }>,
  ): Exchange {
    return new Exchange(port, req, options.response);
  }

  /** Places the request; the final response is given by its deadline. */
  start(): void {
    const waitMs = timerMs(this.#leftMs());
    this.#deadlineTimer = setTimeout(() => this.#expire(), waitMs);
    this.#port.recordFirstSend(this.#backend.service);
    this.#place();
  }

  /** Stops all work, as the client has disconnected. */
  cancel(): void {
    if (this.#finished) return;
    this.#finish("left", this.#cancelledOutcome());
    this.#log.clientDisconnected();
  }

  /** Fails an attempt at an upstream whose process was lost, as its connection may stay open without an error. */
  upstreamLost(id: UpstreamId): void {
    this.#failOnUpstreamLoss(id, "The upstream was restarted");
  }

  #failOnUpstreamLoss(id: UpstreamId, detail: string): void {
    if (this.#finished || this.#grant?.job.upstream !== id) return;
    if (this.#attempt === undefined) return;
    const { verdict } = this.#attempt;
    const cause = "upstream_crashed";
    this.#failAttempt({ cause, verdict, detail, upstreamAtFault: true });
  }

  #leftMs(): Millis {
    return this.#req.deadlineAt - this.#port.now();
  }

  #place(): void {
    const { head } = this.#req;
    const job = `${head.id}.${this.#history.countPlacement()}` as JobId;
    this.#job = job;
    const askedAt = this.#port.now();
    const ask = placementRequestOf(this.#req, this.#port.self, {
      job,
      backend: this.#backend,
      leftMs: this.#leftMs(),
      avoid: this.#history.failedUpstreams,
      closed: this.#port.closedUpstreams(this.#backend.service),
    });
    this.#port.place(ask, (reply) => {
      if (this.#finished || this.#job !== job) return;
      this.#port.observe.placed(head.promptTokens, this.#port.now() - askedAt);
      if (reply.isErr()) return this.#refuse(reply.error);
      void this.#reserveAndDispatch(reply.value);
    });
  }

  async #reserveAndDispatch(grant: PoolGrant): Promise<void> {
    const { upstream, tickets } = grant.job;
    this.#grant = grant;
    const closed = this.#closedFailureOf(grant);
    if (closed !== undefined) return this.#failAttempt(closed);
    if (tickets.length > 0) {
      const manager = TicketManager.create(this.#port.orders, grant, {
        onError: (err) => this.#log.line("ticket", { ...err }),
      });
      this.#tickets = manager;
      const reserved = await manager.reserve(() =>
        this.#failOnUpstreamLoss(upstream, "The upstream no longer responds")
      );
      if (this.#finished || this.#grant !== grant) return manager.release();
      if (reserved.isErr()) {
        return this.#failAttempt(notSent("plan_broken", reserved.error.detail));
      }
    }
    this.#dispatch(grant);
  }

  /** The failure if an upstream of the grant closed while the grant was in transit or memory was being reserved. */
  #closedFailureOf(grant: PoolGrant): AttemptFailure | undefined {
    const closure = this.#port.grantClosure(grant);
    return closure === undefined
      ? undefined
      : notOpen(closure.upstream, closure, this.#port.now());
  }

  #dispatch(grant: PoolGrant): void {
    const { head, body, admitted } = this.#req;
    const closed = this.#closedFailureOf(grant);
    if (closed !== undefined) return this.#failAttempt(closed);
    const address = grant.addresses[grant.job.upstream];
    if (address === undefined) {
      return this.#failAttempt(
        notSent("connect_failed", "The upstream's address is unknown"),
      );
    }
    const leftMs = this.#leftMs();
    const headers = this.#port.dialect.encodeAttempt(head, {
      upstream: grant.job.upstream,
      team: admitted.team?.id,
      leftMs: Math.max(1, Math.floor(leftMs)),
      priority: grant.job.kind === "prompt" ? grant.priority : undefined,
      helpers: helpersOf(grant, this.#tickets?.id),
      lastEventId: this.#relay.lastEventId,
      bodyBytes: body.length,
    });
    this.#expectMs = grant.expectMs;
    this.#silenceLimits = silenceLimitsOf(admitted.route, {
      expectMs: grant.expectMs,
      leftMs,
    });
    this.#relay.startAttempt();
    const attempt = Attempt.create(
      this.#port.dialect,
      { address, head, headers, body },
      {
        onHead: (status, responseHead) => this.#onHead(status, responseHead),
        onData: (chunk) => this.#onData(chunk),
        onEnd: () => this.#onEnd(),
        onFailure: (failure) => this.#failAttempt(failure),
      },
    );
    this.#attempt = attempt;
    this.#times = AttemptTimes.create(this.#port.now());
    this.#restartSilenceTimer(this.#silenceLimits.firstMs);
    attempt.start();
  }

  #onHead(
    status: number,
    head: Parameters<ResponseRelay["receiveHead"]>[1],
  ): void {
    const upstream = this.#grant?.job.upstream;
    // The address now belongs to another upstream, so its headers say nothing about this upstream.
    const isOther = head.misdirected;
    if (upstream !== undefined && !isOther) {
      const { sentAt } = this.#times;
      this.#port.reportAvailability(upstream, head.availability, { sentAt });
    }
    const failure = this.#relay.receiveHead(status, head, {
      mayRetry: this.#history.mayRetryUpstreamError(this.#leftMs()),
    });
    if (failure === undefined) return;
    const culprit = head.culprit === undefined
      ? undefined
      : this.#port.upstreamAt(head.culprit);
    this.#failAttempt(failure, culprit);
  }

  #onData(chunk: Buffer): void {
    const attempt = this.#attempt;
    this.#times.received(this.#port.now());
    const before = this.#relay.receivedCount;
    const result = this.#relay.receiveData(chunk, () => attempt?.resume());
    if (result === "broken") {
      return this.#failAttempt({
        cause: "answer_broken",
        verdict: "may_have_run",
        detail: "The event stream is invalid or out of order",
        upstreamAtFault: true,
      });
    }
    if (result === "full") attempt?.pause();
    if (this.#relay.receivedCount === before) return;
    this.#responseTimer.record(this.#port.now(), this.#req.arrivedAt);
    if (before === 0) this.#onFirstData();
    this.#restartSilenceTimer(this.#silenceLimits.gapMs);
  }

  #onFirstData(): void {
    this.#times.receivedFirst(this.#port.now());
    const { head, arrivedAt } = this.#req;
    const job = this.#grant?.job;
    if (job === undefined) return;
    this.#port.updateJob(job.id, job.upstream, { phase: "started" });
    const ms = this.#port.now() - arrivedAt;
    this.#port.observe.firstEvent(head.promptTokens, ms);
  }

  #onEnd(): void {
    const failure = this.#relay.finish();
    if (failure !== undefined) return this.#failAttempt(failure);
    const { head, arrivedAt } = this.#req;
    const ms = this.#port.now() - arrivedAt;
    this.#port.observe.completed(head.promptTokens, ms);
    this.#log.answered(this.#grant?.job.upstream, {
      expectMs: this.#expectMs,
      firstMs: this.#responseTimer.firstMs,
      longestPauseMs: this.#responseTimer.longestPauseMs,
    });
    // A failed response doesn't prove that the upstream ran the content, nor does the empty rest of a resumed stream.
    const hasRun = this.#relay.succeeded && !this.#relay.isEmptyRest;
    this.#finish("answered", hasRun ? "answered" : undefined);
  }

  #failAttempt(failure: AttemptFailure, culprit?: UpstreamId): void {
    const grant = this.#grant;
    const wasSent = this.#attempt !== undefined;
    this.#endAttempt({
      phase: failure.upstreamAtFault ? "failed" : "ended",
      unreachable: failure.unreachable,
      content: this.#contentReportOf(outcomeOfFailure(failure)),
    }, culprit);
    const decision = this.#history.recordFailure(failure, {
      leftMs: this.#leftMs(),
      upstream: culprit ?? grant?.job.upstream,
    });
    const retry = decision.type === "retry" && !this.#relay.committed &&
      // An attempt that was never sent doesn't count against the retry budget.
      (!wasSent || this.#port.spendRetry(this.#backend.service));
    this.#log.attemptFailed(failure, {
      upstream: grant?.job.upstream,
      culprit,
      leftMs: this.#leftMs(),
      then: retry ? "retry" : "give_up",
    });
    if (retry) {
      this.#port.observe.retried(failure.cause);
      this.#place();
      return;
    }
    const code = decision.type === "retry" ? "retry_budget" : decision.code;
    this.#refuse(problem(code, failure.detail, {
      verdict: this.#history.verdict,
      retryAfterMs: failure.retryAfterMs ?? RETRY_AFTER_MS,
    }));
  }

  #restartSilenceTimer(ms: Millis): void {
    clearTimeout(this.#silenceTimer);
    if (!isRepeatable(this.#req.admitted.route)) return;
    this.#silenceTimer = setTimeout(() => {
      this.#failAttempt({
        cause: "upstream_silent",
        verdict: this.#attempt?.verdict ?? "not_run",
        detail: `No data for ${Math.round(ms)} ms`,
        upstreamAtFault: true,
      });
    }, timerMs(ms));
  }

  #expire(): void {
    if (this.#finished) return;
    const attemptVerdict = this.#attempt?.verdict ?? "not_run";
    this.#history.mergeVerdict(attemptVerdict);
    this.#endAttempt({
      phase: "ended",
      content: this.#contentReportOf(this.#cancelledOutcome()),
    });
    this.#refuse(problem("deadline_exceeded", "The deadline has passed", {
      verdict: this.#history.verdict,
      retryAfterMs: RETRY_AFTER_MS,
    }));
  }

  #refuse(err: Problem): void {
    const joined = {
      ...err,
      verdict: joinVerdicts(err.verdict, this.#history.verdict),
    };
    this.#port.observe.problem(joined.code, joined.verdict);
    this.#log.refused(joined);
    this.#finish("failed");
    if (this.#response.started) this.#response.destroy();
    else this.#response.sendProblem(joined);
  }

  #cancelledOutcome(): ContentReport["outcome"] | undefined {
    if (this.#attempt === undefined) return undefined;
    const silentMs = this.#times.silentMs(this.#port.now());
    return outcomeOfCancellation(silentMs, this.#req.admitted.route);
  }

  #contentReportOf(
    outcome?: ContentReport["outcome"],
  ): ContentReport | undefined {
    if (outcome === undefined) return undefined;
    const { digest, head } = this.#req;
    const { sharedParts } = head;
    const elapsed = this.#times.elapsed(this.#port.now());
    return { digest, sharedParts, outcome, ...elapsed };
  }

  #endAttempt(update: JobUpdate, culprit?: UpstreamId): void {
    clearTimeout(this.#silenceTimer);
    this.#attempt?.abort();
    this.#attempt = undefined;
    this.#tickets?.release();
    this.#tickets = undefined;
    const job = this.#grant?.job;
    this.#grant = undefined;
    if (job === undefined) {
      if (this.#job !== undefined) this.#port.withdraw(this.#job);
      this.#job = undefined;
      return;
    }
    this.#job = undefined;
    this.#port.updateJob(job.id, culprit ?? job.upstream, update);
  }

  #finish(
    ending: "answered" | "failed" | "left",
    content?: ContentReport["outcome"],
  ): void {
    this.#finished = true;
    clearTimeout(this.#deadlineTimer);
    this.#endAttempt({
      phase: "ended",
      content: this.#contentReportOf(content),
    });
    this.#port.observe.ended(ending);
  }
}
