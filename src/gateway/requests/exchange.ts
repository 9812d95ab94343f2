import type { Buffer } from "node:buffer";
import type { UpstreamId } from "../../core/id.ts";
import { type Problem, problem } from "../../core/problem.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import { joinVerdicts } from "../../core/verdict.ts";
import type { JobId, PoolGrant } from "../../scheduling/pool/pool_job.ts";
import { AnswerRelay } from "./answer_relay.ts";
import { Attempt } from "./attempt.ts";
import type { ClientAnswer } from "./client_answer.ts";
import {
  type ContentReport,
  outcomeOfCancellation,
  outcomeOfFailure,
} from "../contents/content_report.ts";
import {
  AnswerTimes,
  askOf,
  chooseBackend,
  helpersOf,
  notOpen,
  notSent,
} from "./exchange_parts.ts";
import { ExchangeLog } from "./exchange_log.ts";
import type {
  ExchangePort,
  ExchangeRequest,
  JobUpdate,
} from "./exchange_port.ts";
import type { AttemptFailure } from "./retry_rule.ts";
import { type Backend, isRepeatable } from "../serving/serving_config.ts";
import { TicketKeeper } from "./ticket_keeper.ts";
import { TryHistory } from "./try_history.ts";
import { hasSigns } from "./upstream_signs.ts";
import { type SilenceLimits, silenceLimitsOf } from "./watchdog.ts";

/** Retry-After of a failure that may be over soon. */
const RETRY_AFTER_MS: Millis = 200;

/** One request of a client, from its place to its one final answer. */
export class Exchange {
  readonly #port: ExchangePort;
  readonly #req: ExchangeRequest;
  readonly #answer: ClientAnswer;
  readonly #relay: AnswerRelay;
  readonly #backend: Backend;
  readonly #tries: TryHistory;
  readonly #log: ExchangeLog;
  #job: JobId | undefined;
  #grant: PoolGrant | undefined;
  #tickets: TicketKeeper | undefined;
  #attempt: Attempt | undefined;
  #silenceLimits: SilenceLimits = { firstMs: 0, gapMs: 0 };
  #silence: NodeJS.Timeout | undefined;
  #expectMs: Millis = 0;
  readonly #times = AnswerTimes.create();
  #limit: NodeJS.Timeout | undefined;
  #over = false;
  /** When the upstream of the attempt was last heard, or was sent the request. */
  #heardAt = 0 as Timestamp;

  private constructor(
    port: ExchangePort,
    req: ExchangeRequest,
    answer: ClientAnswer,
  ) {
    this.#port = port;
    this.#req = req;
    this.#answer = answer;
    this.#tries = TryHistory.create(req.admitted.route);
    this.#backend = chooseBackend(req.admitted.route.backends, port.draw());
    this.#relay = AnswerRelay.create(answer, {
      lastEventId: req.head.lastEventId,
    });
    const state = { tries: this.#tries, relay: this.#relay };
    this.#log = ExchangeLog.create(port, req, state);
  }

  static create(
    port: ExchangePort,
    req: ExchangeRequest,
    options: Readonly<{ answer: ClientAnswer }>,
  ): Exchange {
    return new Exchange(port, req, options.answer);
  }

  /** Starts; the final answer comes within the request's time. */
  start(): void {
    const left = this.#leftMs();
    this.#limit = setTimeout(() => this.#expire(), Math.max(0, left));
    this.#port.firstSend(this.#backend.service);
    this.#place();
  }

  /** The client has gone: nothing more is done for it. */
  abandon(): void {
    if (this.#over) return;
    this.#finish("left", this.#outcomeOfGivingUp());
    this.#log.clientLeft();
  }

  /** The upstream's process is gone, although its connection may not show it. */
  upstreamLost(id: UpstreamId): void {
    this.#loseUpstream(id, "The upstream was started anew");
  }

  #loseUpstream(id: UpstreamId, detail: string): void {
    if (this.#over || this.#grant?.job.upstream !== id) return;
    if (this.#attempt === undefined) return;
    const { verdict } = this.#attempt;
    const cause = "upstream_crashed";
    this.#failAttempt({ cause, verdict, detail, blamed: true });
  }

  #leftMs(): Millis {
    return this.#req.endsAt - this.#port.now();
  }

  #place(): void {
    const { head } = this.#req;
    const job = `${head.id}.${this.#tries.place()}` as JobId;
    this.#job = job;
    const askedAt = this.#port.now();
    const ask = askOf(this.#req, this.#port.self, {
      job,
      backend: this.#backend,
      leftMs: this.#leftMs(),
      avoid: this.#tries.failedOn,
      closed: this.#port.closed(this.#backend.service),
    });
    this.#port.place(ask, (reply) => {
      if (this.#over || this.#job !== job) return;
      this.#port.observe.placed(head.promptTokens, this.#port.now() - askedAt);
      if (reply.isErr()) return this.#refuse(reply.error);
      void this.#send(reply.value);
    });
  }

  async #send(grant: PoolGrant): Promise<void> {
    const { upstream, tickets } = grant.job;
    this.#grant = grant;
    const closed = this.#closedOf(grant);
    if (closed !== undefined) return this.#failAttempt(closed);
    if (tickets.length > 0) {
      const keeper = TicketKeeper.create(this.#port.orders, grant, {
        report: (err) => this.#log.line("ticket", { ...err }),
      });
      this.#tickets = keeper;
      const reserved = await keeper.reserve(() =>
        this.#loseUpstream(upstream, "It no longer answers")
      );
      if (this.#over || this.#grant !== grant) return keeper.release();
      if (reserved.isErr()) {
        return this.#failAttempt(notSent("plan_broken", reserved.error.detail));
      }
    }
    this.#dispatch(grant);
  }

  /** Why a grant can't be used any more: it was on its way, or waited for memory, while an upstream closed. */
  #closedOf({ job }: PoolGrant): AttemptFailure | undefined {
    for (const id of [job.upstream, ...job.helpers]) {
      const closure = this.#port.closure(id);
      if (closure !== undefined) return notOpen(id, closure, this.#port.now());
    }
    return undefined;
  }

  #dispatch(grant: PoolGrant): void {
    const { head, body, admitted } = this.#req;
    const closed = this.#closedOf(grant);
    if (closed !== undefined) return this.#failAttempt(closed);
    const address = grant.addresses[grant.job.upstream];
    if (address === undefined) {
      return this.#failAttempt(
        notSent("connect_failed", "Its address is unknown"),
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
        head: (status, answer) => this.#onHead(status, answer),
        data: (chunk) => this.#onData(chunk),
        end: () => this.#onEnd(),
        fail: (failure) => this.#failAttempt(failure),
      },
    );
    this.#attempt = attempt;
    this.#heardAt = this.#port.now();
    this.#watch(this.#silenceLimits.firstMs);
    attempt.start();
  }

  #onHead(status: number, head: Parameters<AnswerRelay["head"]>[1]): void {
    const upstream = this.#grant?.job.upstream;
    // Another upstream has the address by now.
    const isOther = head.misdirected;
    if (upstream !== undefined && hasSigns(head.signs) && !isOther) {
      this.#port.said(upstream, head.signs);
    }
    const refused = this.#relay.head(status, head, {
      mayRetry: this.#tries.mayReplaceFailure(this.#leftMs()),
    });
    if (refused === undefined) return;
    const culprit = head.culprit === undefined
      ? undefined
      : this.#port.upstreamAt(head.culprit);
    this.#failAttempt(refused, culprit);
  }

  #onData(chunk: Buffer): void {
    const attempt = this.#attempt;
    this.#heardAt = this.#port.now();
    const before = this.#relay.progress;
    const result = this.#relay.data(chunk, () => attempt?.resume());
    if (result === "broken") {
      return this.#failAttempt({
        cause: "answer_broken",
        verdict: "may_have_run",
        detail: "The events are out of order or no events",
        blamed: true,
      });
    }
    if (result === "full") attempt?.pause();
    if (this.#relay.progress === before) return;
    this.#times.note(this.#port.now(), this.#req.arrivedAt);
    if (before === 0) this.#onFirst();
    this.#watch(this.#silenceLimits.gapMs);
  }

  #onFirst(): void {
    const { head, arrivedAt } = this.#req;
    const job = this.#grant?.job;
    if (job === undefined) return;
    this.#port.progress(job.id, job.upstream, { phase: "started" });
    const ms = this.#port.now() - arrivedAt;
    this.#port.observe.firstEvent(head.promptTokens, ms);
  }

  #onEnd(): void {
    const failure = this.#relay.end();
    if (failure !== undefined) return this.#failAttempt(failure);
    const { head, arrivedAt } = this.#req;
    const ms = this.#port.now() - arrivedAt;
    this.#port.observe.whole(head.promptTokens, ms);
    this.#log.answered(this.#grant?.job.upstream, {
      expectMs: this.#expectMs,
      firstMs: this.#times.firstMs,
      longestPauseMs: this.#times.longestPauseMs,
    });
    // Upstreams that fail may do so without running the content.
    this.#finish("answered", this.#relay.succeeded ? "answered" : undefined);
  }

  #failAttempt(failure: AttemptFailure, culprit?: UpstreamId): void {
    const grant = this.#grant;
    const wasSent = this.#attempt !== undefined;
    this.#endAttempt({
      phase: failure.blamed ? "failed" : "ended",
      unreachable: failure.cause === "connect_failed" ? true : undefined,
      content: this.#report(outcomeOfFailure(failure)),
    }, culprit);
    const decision = this.#tries.fail(failure, {
      leftMs: this.#leftMs(),
      upstream: culprit ?? grant?.job.upstream,
    });
    const retry = decision.type === "retry" && !this.#relay.sealed &&
      // What was not sent is no arrival at the service.
      (!wasSent || this.#port.spendRepeat(this.#backend.service));
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
      verdict: this.#tries.verdict,
      retryAfterMs: failure.retryAfterMs ?? RETRY_AFTER_MS,
    }));
  }

  #watch(ms: Millis): void {
    clearTimeout(this.#silence);
    if (!isRepeatable(this.#req.admitted.route)) return;
    this.#silence = setTimeout(() => {
      this.#failAttempt({
        cause: "upstream_silent",
        verdict: this.#attempt?.verdict ?? "not_run",
        detail: `Nothing came for ${Math.round(ms)} ms`,
        blamed: true,
      });
    }, ms);
  }

  #expire(): void {
    if (this.#over) return;
    const sent = this.#attempt?.verdict ?? "not_run";
    this.#tries.weaken(sent);
    this.#endAttempt({
      phase: "ended",
      content: this.#report(this.#outcomeOfGivingUp()),
    });
    this.#refuse(problem("deadline_exceeded", "The time is used up", {
      verdict: this.#tries.verdict,
      retryAfterMs: RETRY_AFTER_MS,
    }));
  }

  #refuse(err: Problem): void {
    const joined = {
      ...err,
      verdict: joinVerdicts(err.verdict, this.#tries.verdict),
    };
    this.#port.observe.problem(joined.code, joined.verdict);
    this.#log.refused(joined);
    this.#finish("failed");
    if (this.#answer.begun) this.#answer.breakOff();
    else this.#answer.refuse(joined);
  }

  #outcomeOfGivingUp(): ContentReport["outcome"] | undefined {
    if (this.#attempt === undefined) return undefined;
    const silentMs = this.#port.now() - this.#heardAt;
    return outcomeOfCancellation(silentMs, this.#req.admitted.route);
  }

  #report(outcome?: ContentReport["outcome"]): ContentReport | undefined {
    if (outcome === undefined) return undefined;
    return { digest: this.#req.digest, outcome };
  }

  #endAttempt(update: JobUpdate, culprit?: UpstreamId): void {
    clearTimeout(this.#silence);
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
    this.#port.progress(job.id, culprit ?? job.upstream, update);
  }

  #finish(
    ending: "answered" | "failed" | "left",
    content?: ContentReport["outcome"],
  ): void {
    this.#over = true;
    clearTimeout(this.#limit);
    this.#endAttempt({ phase: "ended", content: this.#report(content) });
    this.#port.observe.ended(ending);
  }
}
