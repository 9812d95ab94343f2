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

/** New connections to one running segment. */
const MAX_REATTACHES = 3;

/** One engine of a plan. */
export type PlanEngine = Readonly<{
  client: EngineClient;
  /** `host:port`, as the plan's other engines reach it. */
  address: string;
}>;

/** Why a plan did not come as far as its answer. */
export type PlanFailure = Readonly<{
  /** The engine that failed. */
  upstream: UpstreamId;
  /** Of all segments together. */
  verdict: Verdict;
  /** Whether the engine seems to have died. */
  crashed: boolean;
  detail: string;
}>;

/** What one run of a plan needs; all its memory is held already. */
export type PlanRunParts = Readonly<{
  plan: PlanId;
  /** In the order of the prompt; the last one decodes. */
  segments: readonly Segment[];
  engineAt: (upstream: UpstreamId) => PlanEngine | undefined;
  /** Head of a call that starts now, without its segment. */
  head: () => GenerateHead;
  prompt: PromptBody;
  promptTokens: number;
  silenceMs: Millis;
}>;

/** Prefills a plan's segments one after the other and opens the answer at the last engine. */
export class PlanRun {
  readonly #parts: PlanRunParts;
  #stream: EngineStream | undefined;
  #stopped = false;

  private constructor(parts: PlanRunParts) {
    this.#parts = parts;
  }

  static create(parts: PlanRunParts): PlanRun {
    return new PlanRun(parts);
  }

  /** Resolves with the running answer once all segments before it are complete. */
  async open(): Promise<Result<EngineStream, PlanFailure>> {
    const { segments } = this.#parts;
    for (const [index, segment] of segments.entries()) {
      const verdict = index === 0 ? "not_run" : "may_have_run";
      const started = await this.#start(index);
      if (started.isErr()) {
        return err(failure(segment.upstream, started.error, verdict));
      }
      if (index === segments.length - 1) return ok(started.value);
      const done = await this.#finish(segment, started.value);
      if (done.isErr()) {
        return err(failure(segment.upstream, done.error, "may_have_run"));
      }
    }
    throw new RangeError("A plan has at least one segment");
  }

  /** Drops the connection to the segment that runs; what it holds is released with the plan. */
  stop(): void {
    this.#stopped = true;
    this.#stream?.close();
  }

  async #start(index: number): Promise<Result<EngineStream, EngineError>> {
    const { segments, prompt, silenceMs } = this.#parts;
    const { upstream } = segments[index]!;
    const engine = this.#parts.engineAt(upstream);
    if (engine === undefined || this.#stopped) return err(gone(upstream));
    const head = this.#head(index);
    const started = await engine.client.generate(head, prompt, { silenceMs });
    return started.map((stream) => this.#keep(stream));
  }

  #head(index: number): GenerateHead {
    const { plan, segments, promptTokens } = this.#parts;
    const { from, to } = segments[index]!;
    const last = index === segments.length - 1;
    const peers = segments.slice(0, index).map((one) => ({
      address: this.#parts.engineAt(one.upstream)?.address ?? "",
      from: one.from,
      to: one.to,
    }));
    const segment = { plan, from, to, last, total: promptTokens, peers };
    return { ...this.#parts.head(), segment };
  }

  /** Waits for the end of a segment; a lost connection is replaced while the engine still has it. */
  async #finish(
    segment: Segment,
    started: EngineStream,
  ): Promise<Result<void, EngineError>> {
    let stream = started;
    for (let reattaches = 0;; reattaches += 1) {
      const done = await this.#read(stream);
      if (done.isOk() || this.#stopped) return done;
      if (reattaches >= MAX_REATTACHES || isFinal(done.error)) return done;
      const again = await this.#reattach(segment);
      if (again.isErr()) return err(done.error);
      stream = this.#keep(again.value);
    }
  }

  async #reattach(
    segment: Segment,
  ): Promise<Result<EngineStream, EngineError>> {
    const engine = this.#parts.engineAt(segment.upstream);
    if (engine === undefined) return err(gone(segment.upstream));
    const { attempt, answered } = this.#parts.head();
    const { silenceMs } = this.#parts;
    return await engine.client.resume(attempt, answered?.count ?? 0, {
      silenceMs,
    });
  }

  async #read(stream: EngineStream): Promise<Result<void, EngineError>> {
    for await (const item of stream.events) {
      if (!item.ok) return err(item.err);
      if (!this.#isOwn(item.event)) continue;
      const wrong = this.#judge(item.event);
      return wrong === undefined ? ok() : err(malformed(wrong));
    }
    return err({
      code: "truncated",
      verdict: "may_have_run",
      detail: "The segment's stream was closed",
    });
  }

  #isOwn(event: EngineEvent): boolean {
    const { request, attempt } = this.#parts.head();
    return event.request === request && event.attempt === attempt;
  }

  /** Says what is wrong with the end of a segment. */
  #judge(event: EngineEvent): string | undefined {
    if (event.type === "error") return `The engine reported: ${event.code}`;
    if (event.type !== "done" || event.finish !== "segment") {
      return "The segment ended in a way that the contract does not have";
    }
    const { model, version, adapter } = this.#parts.head();
    const isSame = event.model === model && event.version === version &&
      event.adapter === adapter;
    return isSame ? undefined : "Other weights ran than those asked for";
  }

  #keep(stream: EngineStream): EngineStream {
    this.#stream = stream;
    if (this.#stopped) stream.close();
    return stream;
  }
}

/** Whether the engine itself has ended the segment. */
function isFinal(error: EngineError): boolean {
  return error.code === "malformed" || error.code === "refused";
}

function failure(
  upstream: UpstreamId,
  error: EngineError,
  atLeast: Verdict,
): PlanFailure {
  const detail = error.code === "refused" ? error.refusal.detail : error.detail;
  const verdict = atLeast === "not_run" ? error.verdict : atLeast;
  return { upstream, verdict, crashed: error.code === "broken", detail };
}

function malformed(detail: string): EngineError {
  return { code: "malformed", verdict: "may_have_run", detail };
}

function gone(upstream: UpstreamId): EngineError {
  const detail = `Upstream ${upstream} is gone.`;
  return { code: "connect_failed", verdict: "not_run", detail };
}
