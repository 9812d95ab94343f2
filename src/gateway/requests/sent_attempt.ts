import type { UpstreamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import type { Verdict } from "../../core/verdict.ts";
import type { PoolGrant } from "../../scheduling/pool/pool_job.ts";
import {
  type ContentReport,
  outcomeOfCancellation,
  outcomeOfFailure,
} from "../contents/content_report.ts";
import { isRepeatable } from "../serving/serving_config.ts";
import { Attempt, type AttemptListener } from "./attempt.ts";
import type { AttemptPlacement, UpstreamRoute } from "./attempt_placement.ts";
import { AttemptTimes } from "./attempt_times.ts";
import type {
  ExchangePort,
  ExchangeRequest,
  JobUpdate,
} from "./exchange_port.ts";
import { helpersOf } from "./exchange_util.ts";
import type { AttemptFailure } from "./retry_policy.ts";
import { silenceLimitsOf } from "./silence_limits.ts";
import { SilenceWatch } from "./silence_watch.ts";

/** Callbacks of a sent attempt; `onSilence` is called at each silence limit that the upstream reaches. */
export type SentAttemptListener =
  & AttemptListener
  & Readonly<{ onSilence: (limitMs: Millis) => void }>;

/** Where an attempt is sent, and after which event a stream goes on there. */
export type SentAttemptTarget = Readonly<{
  placement: AttemptPlacement;
  grant: PoolGrant;
  route: UpstreamRoute;
  lastEventId?: string;
}>;

/** An attempt that was sent to its upstream. Reports its outcome, and while it lasts the upstream's silence. */
export class SentAttempt {
  readonly grant: PoolGrant;
  readonly times: AttemptTimes;
  readonly #port: ExchangePort;
  readonly #req: ExchangeRequest;
  readonly #placement: AttemptPlacement;
  readonly #attempt: Attempt;
  /** Undefined if no other attempt may take the place of this one. */
  readonly #silence: SilenceWatch | undefined;
  #paused = false;
  #ended = false;

  private constructor(
    port: ExchangePort,
    req: ExchangeRequest,
    options: Readonly<
      { target: SentAttemptTarget; listener: SentAttemptListener }
    >,
  ) {
    const { target, listener } = options;
    const { grant, placement, route } = target;
    const { head, body, admitted } = req;
    const leftMs = req.deadlineAt - port.now();
    this.#port = port;
    this.#req = req;
    this.grant = grant;
    this.#placement = placement;
    this.times = AttemptTimes.create(port.now());
    const headers = port.dialect.encodeAttempt(head, {
      upstream: grant.job.upstream,
      team: admitted.team?.id,
      leftMs: Math.max(1, Math.floor(leftMs)),
      priority: grant.job.kind === "prompt" ? grant.priority : undefined,
      helpers: helpersOf(grant, placement.ticket),
      lastEventId: target.lastEventId,
      bodyBytes: body.length,
    });
    const attemptTarget = { ...route, head, headers, body };
    this.#attempt = Attempt.create(port.dialect, attemptTarget, listener);
    const { expectMs } = grant;
    if (!isRepeatable(admitted.route)) return;
    this.#silence = SilenceWatch.create(
      silenceLimitsOf(admitted.route, { expectMs, leftMs }),
      { onLimit: (limitMs) => this.#onSilence(limitMs, listener) },
    );
  }

  static create(
    port: ExchangePort,
    req: ExchangeRequest,
    options: Readonly<
      { target: SentAttemptTarget; listener: SentAttemptListener }
    >,
  ): SentAttempt {
    return new SentAttempt(port, req, options);
  }

  get upstream(): UpstreamId {
    return this.grant.job.upstream;
  }

  /** Whether a byte may have reached the upstream. */
  get verdict(): Verdict {
    return this.#attempt.verdict;
  }

  /** Length of the upstream's silence at the last limit that it reached; 0 if it is not silent. */
  get silentMs(): Millis {
    return this.#silence?.silentMs ?? 0;
  }

  start(): void {
    this.#silence?.start();
    this.#attempt.start();
  }

  /** Holds the response back, as the client's buffer is full; that is no silence of the upstream. */
  pause(): void {
    this.#paused = true;
    this.#silence?.stop();
    this.#attempt.pause();
  }

  /** Goes on after a pause; its silence counts from here. */
  resume(): void {
    if (this.#ended) return;
    this.#paused = false;
    this.times.received(this.#port.now());
    this.#silence?.heard();
    this.#attempt.resume();
  }

  /** Records data of the upstream; one that was silent is taken back for sound. */
  heard(): void {
    this.#reportSilenceEnded();
    this.#silence?.heard();
  }

  /** Records the first data of the response. */
  started(): void {
    this.times.receivedFirst(this.#port.now());
    this.#update({ phase: "started" });
  }

  completed(options: Readonly<{ hasRun: boolean }>): void {
    const outcome = options.hasRun ? "answered" : undefined;
    this.#reportSilenceEnded();
    this.#end({ phase: "ended", content: this.#contentReport(outcome) });
  }

  failed(failure: AttemptFailure, culprit?: UpstreamId): void {
    const outcome = outcomeOfFailure(failure);
    if (outcome !== "disconnected") this.#reportSilenceEnded();
    this.#end({
      phase: failure.upstreamAtFault ? "failed" : "ended",
      unreachable: failure.unreachable,
      content: this.#contentReport(outcome),
    }, culprit);
  }

  /** Ends the attempt, as its client or its deadline does, or another attempt that takes its place. */
  abandon(): void {
    if (this.silentMs > 0) {
      return this.#end({ phase: "failed", silence: "lasting" });
    }
    const silentMs = this.#paused ? 0 : this.times.silentMs(this.#port.now());
    const outcome = outcomeOfCancellation(silentMs, this.#req.admitted.route);
    this.#end({ phase: "ended", content: this.#contentReport(outcome) });
  }

  #onSilence(limitMs: Millis, listener: SentAttemptListener): void {
    const isFirst = this.#silence?.silentMs === limitMs;
    if (isFirst) {
      const outcome = this.verdict === "not_run" ? undefined : "silent";
      const content = this.#contentReport(outcome);
      this.#update({ phase: "started", silence: "begun", content });
    }
    listener.onSilence(limitMs);
  }

  #reportSilenceEnded(): void {
    if (this.silentMs === 0) return;
    this.#update({ phase: "started", silence: "ended" });
  }

  #update(update: JobUpdate): void {
    this.#port.updateJob(this.grant.job.id, this.upstream, update);
  }

  #end(
    update: JobUpdate,
    culprit?: UpstreamId,
  ): void {
    this.#ended = true;
    this.#silence?.stop();
    this.#attempt.abort();
    this.#placement.close(update, culprit);
  }

  #contentReport(
    outcome: ContentReport["outcome"] | undefined,
  ): ContentReport | undefined {
    if (outcome === undefined) return undefined;
    const { digest, head: { sharedParts } } = this.#req;
    const elapsed = this.times.elapsed(this.#port.now());
    return { digest, sharedParts, outcome, ...elapsed };
  }
}
