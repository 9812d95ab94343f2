import { err, ok, type Result } from "neverthrow";
import type { PlanId, UpstreamId } from "../core/id.ts";
import type { Segment } from "../core/request.ts";
import type { Millis } from "../core/time.ts";
import type { Verdict } from "../core/verdict.ts";
import type { EngineEvent, GenerateHead } from "../wire/engine.ts";
import type {
  EngineClient,
  EngineError,
  EngineStream,
  PromptBody,
} from "./engine_client.ts";

/** Limit of new connections to one running segment. */
const MAX_REATTACHES = 3;

/** One engine of a plan. */
export type PlanEngine = Readonly<{
  client: EngineClient;
  /** `host:port` at which the plan's other engines reach this engine. */
  address: string;
}>;

/** Why a plan failed before its answer began. */
export type PlanFailure = Readonly<{
  /** The engine that failed. */
  upstream: UpstreamId;
  /** Verdict for all segments together. */
  verdict: Verdict;
  /** Whether the connection broke, as it does when the engine crashes. */
  crashed: boolean;
  detail: string;
}>;

/** Parameters of one run of a plan whose memory is reserved on all engines. */
export type PlanRunOptions = Readonly<{
  plan: PlanId;
  /** In the order of the prompt; the last one decodes. */
  segments: readonly Segment[];
  engineAt: (upstream: UpstreamId) => PlanEngine | undefined;
  /** Builds the head of a call that starts now, without its segment. */
  head: () => GenerateHead;
  prompt: PromptBody;
  promptTokens: number;
  silenceMs: Millis;
}>;

/** Prefills a plan's segments in order and opens the answer stream at the last engine. */
export class PlanRun {
  readonly #options: PlanRunOptions;
  #stream: EngineStream | undefined;
  #stopped = false;

  private constructor(options: PlanRunOptions) {
    this.#options = options;
  }

  static create(options: PlanRunOptions): PlanRun {
    return new PlanRun(options);
  }

  /** Resolves with the answer stream once all earlier segments are complete. */
  async open(): Promise<Result<EngineStream, PlanFailure>> {
    const { segments } = this.#options;
    for (const [index, segment] of segments.entries()) {
      const verdict = index === 0 ? "not_run" : "may_have_run";
      const started = await this.#startSegment(index);
      if (started.isErr()) {
        return err(failure(segment.upstream, started.error, verdict));
      }
      if (index === segments.length - 1) return ok(started.value);
      const done = await this.#finishSegment(segment, started.value);
      if (done.isErr()) {
        return err(failure(segment.upstream, done.error, "may_have_run"));
      }
    }
    throw new RangeError("A plan has at least one segment");
  }

  /** Closes the connection to the running segment and starts no further one; memory is released with the plan. */
  stop(): void {
    this.#stopped = true;
    this.#stream?.close();
  }

  async #startSegment(
    index: number,
  ): Promise<Result<EngineStream, EngineError>> {
    const { segments, prompt, silenceMs } = this.#options;
    const { upstream } = segments[index]!;
    const engine = this.#options.engineAt(upstream);
    if (engine === undefined || this.#stopped) return err(engineGone(upstream));
    const head = this.#head(index);
    const started = await engine.client.generate(head, prompt, { silenceMs });
    return started.map((stream) => this.#setStream(stream));
  }

  #head(index: number): GenerateHead {
    const { plan, segments, promptTokens } = this.#options;
    const { from, to } = segments[index]!;
    const last = index === segments.length - 1;
    const peers = segments.slice(0, index).map((earlier) => ({
      address: this.#options.engineAt(earlier.upstream)?.address ?? "",
      from: earlier.from,
      to: earlier.to,
    }));
    const segment = { plan, from, to, last, total: promptTokens, peers };
    return { ...this.#options.head(), segment };
  }

  /** Waits for the end of a segment; reattaches after a lost connection while the engine still has the segment. */
  async #finishSegment(
    segment: Segment,
    started: EngineStream,
  ): Promise<Result<void, EngineError>> {
    let stream = started;
    for (let reattaches = 0;; reattaches += 1) {
      const done = await this.#readToEnd(stream);
      if (done.isOk() || this.#stopped) return done;
      if (reattaches >= MAX_REATTACHES || isFinal(done.error)) return done;
      const again = await this.#reattach(segment);
      if (again.isErr()) return err(done.error);
      stream = this.#setStream(again.value);
    }
  }

  async #reattach(
    segment: Segment,
  ): Promise<Result<EngineStream, EngineError>> {
    const engine = this.#options.engineAt(segment.upstream);
    if (engine === undefined) return err(engineGone(segment.upstream));
    const { attempt, answered } = this.#options.head();
    const { silenceMs } = this.#options;
    return await engine.client.resume(attempt, answered?.count ?? 0, {
      silenceMs,
    });
  }

  async #readToEnd(stream: EngineStream): Promise<Result<void, EngineError>> {
    for await (const item of stream.events) {
      if (!item.ok) return err(item.err);
      if (!this.#isOfThisAttempt(item.event)) continue;
      const wrong = this.#checkEnd(item.event);
      return wrong === undefined ? ok() : err(malformed(wrong));
    }
    return err({
      code: "truncated",
      verdict: "may_have_run",
      detail: "The segment's stream ended without its final event",
    });
  }

  #isOfThisAttempt(event: EngineEvent): boolean {
    const { request, attempt } = this.#options.head();
    return event.request === request && event.attempt === attempt;
  }

  /** Returns why an event is no valid end of a segment, or undefined. */
  #checkEnd(event: EngineEvent): string | undefined {
    if (event.type === "error") return `The engine reported: ${event.code}`;
    if (event.type !== "done" || event.finish !== "segment") {
      return "The segment did not end with finish reason `segment`";
    }
    const { model, version, adapter } = this.#options.head();
    const isSame = event.model === model && event.version === version &&
      event.adapter === adapter;
    return isSame ? undefined : "The engine ran other weights than requested";
  }

  #setStream(stream: EngineStream): EngineStream {
    this.#stream = stream;
    if (this.#stopped) stream.close();
    return stream;
  }
}

/** Whether reattaching can't succeed: the engine refused, or its response was invalid. */
function isFinal(error: EngineError): boolean {
  return error.code === "malformed" || error.code === "refused";
}

function failure(
  upstream: UpstreamId,
  error: EngineError,
  planVerdict: Verdict,
): PlanFailure {
  const detail = error.code === "refused" ? error.refusal.detail : error.detail;
  const verdict = planVerdict === "not_run" ? error.verdict : planVerdict;
  return { upstream, verdict, crashed: error.code === "broken", detail };
}

function malformed(detail: string): EngineError {
  return { code: "malformed", verdict: "may_have_run", detail };
}

function engineGone(upstream: UpstreamId): EngineError {
  const detail = `Upstream ${upstream} is no longer available.`;
  return { code: "connect_failed", verdict: "not_run", detail };
}
