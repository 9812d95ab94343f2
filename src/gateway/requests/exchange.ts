import type { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import type { ServiceId, UpstreamId } from "../../core/id.ts";
import { type Problem, problem } from "../../core/problem.ts";
import type { Millis } from "../../core/time.ts";
import { joinVerdicts } from "../../core/verdict.ts";
import { AttemptHistory } from "./attempt_history.ts";
import { AttemptSequence } from "./attempt_sequence.ts";
import type { ClientResponse } from "./client_response.ts";
import { type DrainGate, draining } from "./drain_gate.ts";
import { ExchangeLog } from "./exchange_log.ts";
import type { ExchangePort, ExchangeRequest } from "./exchange_port.ts";
import { chooseBackend, ResponseTimer } from "./exchange_util.ts";
import { ReadFirstTimer } from "../read_first_timer.ts";
import { ResponseRelay } from "./response_relay.ts";
import { RETRY_AFTER_MS } from "./retry_policy.ts";
import type { UnfinishedEvents } from "./unfinished_events.ts";

type ExchangeOptions = Readonly<{
  response: ClientResponse;
  gate: DrainGate;
  /** Account of what the streams of all requests hold. */
  unfinished?: UnfinishedEvents;
  /** Called with the time since the request's arrival when it was answered with success. */
  onAnswered: (ms: Millis) => void;
}>;

/** Handles one client request, from its placement on an upstream to its single final response. */
export class Exchange {
  readonly #port: ExchangePort;
  readonly #req: ExchangeRequest;
  readonly #response: ClientResponse;
  readonly #relay: ResponseRelay;
  readonly #service: ServiceId;
  readonly #history: AttemptHistory;
  readonly #log: ExchangeLog;
  readonly #attempts: AttemptSequence;
  readonly #gate: DrainGate;
  readonly #onAnswered: (ms: Millis) => void;
  readonly #responseTimer = ResponseTimer.create();
  /** When a head or data was last received, by `performance.now`. */
  #receivedAt: Millis = -Infinity;
  #deadlineTimer: ReadFirstTimer | undefined;
  /** Refuses the request during a planned stop when it is too late to send it. */
  #sendTimer: NodeJS.Timeout | undefined;
  #finished = false;

  private constructor(
    port: ExchangePort,
    req: ExchangeRequest,
    options: ExchangeOptions,
  ) {
    const { response, gate, onAnswered } = options;
    this.#gate = gate;
    this.#onAnswered = onAnswered;
    this.#port = port;
    this.#req = req;
    this.#response = response;
    this.#history = AttemptHistory.create(req.admitted.route);
    this.#relay = ResponseRelay.create(response, {
      lastEventId: req.head.lastEventId,
      unfinished: options.unfinished,
      onGivenUp: (failure) => this.#attempts.fail(failure),
    });
    const state = { history: this.#history, relay: this.#relay };
    this.#log = ExchangeLog.create(port, req, state);
    const backend = chooseBackend(req.admitted.route.backends, port.random());
    this.#service = backend.service;
    this.#attempts = AttemptSequence.create(port, req, {
      context: {
        backend,
        gate,
        ...state,
        log: this.#log,
        listener: {
          onHead: (status, responseHead) => this.#onHead(status, responseHead),
          onData: (chunk) => this.#onData(chunk),
          onEnd: () => this.#onEnd(),
          onExhausted: (err) => this.#refuse(err),
        },
      },
    });
  }

  static create(
    port: ExchangePort,
    req: ExchangeRequest,
    options: ExchangeOptions,
  ): Exchange {
    return new Exchange(port, req, options);
  }

  /** Whether the final response was given; the client may not have read all of it. */
  get finished(): boolean {
    return this.#finished;
  }

  /** Whether the request was passed on to no upstream, and may be refused as not run. */
  get unsent(): boolean {
    return !this.#finished && this.#attempts.sent === undefined &&
      !this.#response.started && this.#history.verdict === "not_run";
  }

  /** Refuses the request if it was passed on to no upstream. */
  refuseUnsent(err: Problem): void {
    if (this.unsent) this.#refuse(err);
  }

  /** Places the request; the final response is given by its deadline. */
  start(): void {
    this.#deadlineTimer = ReadFirstTimer.start(
      () => this.#expire(),
      this.#req.deadlineAt - this.#port.now(),
      () => this.#receivedAt,
    );
    this.limitWait();
    this.#port.recordFirstSend(this.#service);
    this.#attempts.start();
  }

  /** Stops all work, as the client has disconnected. */
  cancel(): void {
    if (this.#finished) return;
    this.#finish("left");
    this.#log.clientDisconnected();
  }

  /** During a planned stop, refuses the request as soon as it is too late to send it. */
  limitWait(): void {
    const now = this.#port.now();
    const latestAt = this.#gate.latestSendAt(this.#req, now);
    if (this.#finished || latestAt === undefined) return;
    clearTimeout(this.#sendTimer);
    const delayMs = Math.max(0, latestAt - now) + 1;
    this.#sendTimer = setTimeout(() => this.#refuseLate(), delayMs);
  }

  /** Gives the final response at once, as the daemon is about to exit. */
  cut(): void {
    if (this.#finished) return;
    this.#log.cut(this.#attempts.sent, { leftMs: this.#leftMs() });
    this.#abandon(draining("The daemon stops before the answer is complete"));
  }

  /** Fails an attempt at an upstream whose process was lost, as its connection may stay open without an error. */
  upstreamLost(id: UpstreamId): void {
    this.#attempts.failOnUpstreamLoss(id, "The upstream was restarted");
  }

  #leftMs(): Millis {
    return this.#gate.limitDeadline(this.#req.deadlineAt) - this.#port.now();
  }

  #refuseLate(): void {
    if (!this.unsent) return;
    const refusal = this.#gate.refusal(this.#req, this.#port.now());
    if (refusal !== undefined) this.#refuse(refusal);
  }

  #onHead(
    status: number,
    head: Parameters<ResponseRelay["receiveHead"]>[1],
  ): void {
    this.#receivedAt = performance.now();
    const { sent } = this.#attempts;
    // The address now belongs to another upstream, so its headers say nothing about this upstream.
    const isOther = head.misdirected;
    if (sent !== undefined && !isOther) {
      const { upstream, times: { sentAt } } = sent;
      this.#port.reportAvailability(upstream, head.availability, { sentAt });
    }
    const failure = this.#relay.receiveHead(status, head, {
      mayRetry: this.#history.mayRetryUpstreamError(this.#leftMs()),
    });
    if (failure === undefined) {
      // A head before the silence limit leaves the limit of the first data as it is.
      if (sent !== undefined && sent.silentMs > 0) this.#attempts.heard();
      return;
    }
    const culprit = head.culprit === undefined
      ? undefined
      : this.#port.upstreamAt(head.culprit);
    this.#attempts.fail(failure, culprit);
  }

  #onData(chunk: Buffer): void {
    const { sent } = this.#attempts;
    if (sent === undefined) return;
    this.#receivedAt = performance.now();
    sent.times.received(this.#port.now());
    const before = this.#relay.receivedCount;
    const result = this.#relay.receiveData(chunk, () => sent.resume());
    if (typeof result === "object") return this.#attempts.fail(result);
    if (this.#relay.receivedCount === before) return;
    this.#responseTimer.record(this.#port.now(), this.#req.arrivedAt);
    this.#attempts.heard();
    if (result === "full") sent.pause();
    if (before > 0) return;
    sent.started();
    const ms = this.#port.now() - this.#req.arrivedAt;
    this.#port.observe.firstEvent(this.#req.head.promptTokens, ms);
  }

  #onEnd(): void {
    const failure = this.#relay.finish();
    if (failure !== undefined) return this.#attempts.fail(failure);
    const { head, arrivedAt } = this.#req;
    const ms = this.#port.now() - arrivedAt;
    this.#port.observe.completed(head.promptTokens, ms);
    if (this.#relay.succeeded) this.#onAnswered(ms);
    const { sent } = this.#attempts;
    this.#log.answered(sent?.upstream, {
      expectMs: sent?.grant.expectMs ?? 0,
      firstMs: this.#responseTimer.firstMs,
      longestPauseMs: this.#responseTimer.longestPauseMs,
    });
    // A failed response doesn't prove that the upstream ran the content, nor does the empty rest of a resumed stream.
    const hasRun = this.#relay.succeeded && !this.#relay.isEmptyRest;
    this.#attempts.complete({ hasRun });
    this.#finish("answered");
  }

  #expire(): void {
    if (this.#finished) return;
    this.#abandon(problem("deadline_exceeded", "The deadline has passed", {
      retryAfterMs: RETRY_AFTER_MS,
    }));
  }

  /** Ends the request, at whatever point it is. */
  #abandon(err: Problem): void {
    const { sent } = this.#attempts;
    this.#history.mergeVerdict(sent?.verdict ?? "not_run");
    this.#refuse({ ...err, verdict: this.#history.verdict });
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

  #finish(ending: "answered" | "failed" | "left"): void {
    this.#finished = true;
    this.#deadlineTimer?.stop();
    clearTimeout(this.#sendTimer);
    this.#attempts.abandon();
    this.#port.observe.ended(ending);
  }
}
