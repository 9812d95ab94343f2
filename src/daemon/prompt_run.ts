import type { Result } from "neverthrow";
import type { Event } from "../core/event.ts";
import type { Intent } from "../core/intent.ts";
import type { Counters } from "../core/counters.ts";
import type { Incarnation, UpstreamId } from "../core/id.ts";
import type { Retry } from "../core/reason.ts";
import type { Outcome, Placement } from "../core/request.ts";
import { StreamCheck } from "../core/stream_check.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import type {
  EngineClient,
  EngineError,
  EngineStream,
} from "../engine/engine_client.ts";
import {
  type PlanEngine,
  type PlanFailure,
  PlanRun,
} from "../engine/plan_run.ts";
import type { EngineEvent, GenerateHead } from "../wire/engine.ts";
import { type PromptExchange, receivedTokenCount } from "./exchange.ts";
import { sha256 } from "./sha256.ts";

/** Tokens between two `attempt_progress` events to the core. */
const PROGRESS_INTERVAL_TOKENS = 64;

/** Intent to start an attempt of a prompt or a call. */
export type StartAttempt = Extract<Intent, { type: "start_attempt" }>;

/** Options of one attempt of a prompt. */
export type PromptRunOptions = Readonly<{
  intent: StartAttempt;
  exchange: PromptExchange;
  engine: EngineClient;
  /** Incarnation of the engine when the attempt starts. */
  incarnation: Incarnation;
  /** Finds an engine of a plan. */
  engineAt: (upstream: UpstreamId) => PlanEngine | undefined;
  counters: Counters;
  now: () => Timestamp;
  silenceMs: Millis;
  post: (event: Event) => void;
}>;

/** Runs one attempt of a prompt, checks the events of the engine's stream and relays its tokens to the client. */
export class PromptRun {
  readonly #options: PromptRunOptions;
  readonly #check: StreamCheck;
  #stream: EngineStream | undefined;
  #plan: PlanRun | undefined;
  #stopped = false;
  #firstTokenSent = false;

  private constructor(options: PromptRunOptions) {
    this.#options = options;
    const { intent, exchange } = options;
    this.#check = StreamCheck.create({
      request: intent.req,
      attempt: intent.attempt,
      weights: intent.weights!,
      receivedTokens: receivedTokenCount(exchange),
    });
  }

  static create(options: PromptRunOptions): PromptRun {
    return new PromptRun(options);
  }

  /** Resolves when the attempt has ended; posts `attempt_ended` unless it was stopped. */
  async run(): Promise<void> {
    const opened = await this.#open();
    if (opened.isErr()) return this.#post(await this.#reassess(opened.error));
    this.#stream = opened.value;
    if (this.#stopped) return this.#stream.close();
    this.#post(await this.#reassess(await this.#relay(this.#stream)));
  }

  /** Reports a broken stream instead of a crash if the engine still responds with the same incarnation, as then only the connection was lost. */
  async #reassess(outcome: Outcome): Promise<Outcome> {
    if (outcome.type === "ok" || !outcome.crashed || this.#stopped) {
      return outcome;
    }
    const { intent, engine, incarnation } = this.#options;
    const { upstream = intent.placement.upstream } = outcome;
    if (upstream !== intent.placement.upstream) return outcome;
    const state = await engine.state();
    const isAlive = state.isOk() && state.value.incarnation === incarnation;
    if (!isAlive) return outcome;
    return { ...outcome, crashed: false, cause: "answer_broken" };
  }

  /** Closes the connection; no further event is posted. */
  stop(): void {
    this.#stopped = true;
    this.#plan?.stop();
    this.#stream?.close();
  }

  async #open(): Promise<Result<EngineStream, Outcome>> {
    const { intent, exchange, engine, silenceMs } = this.#options;
    const { tokens } = this.#check;
    if (intent.mode === "resume") {
      const resumed = await engine.resume(intent.attempt, tokens, {
        silenceMs,
      });
      return resumed.mapErr((cause) => failure(cause, tokens));
    }
    if (intent.placement.plan !== undefined) {
      const opened = await this.#openPlan(intent.placement.plan);
      return opened.mapErr((cause) => planFailure(cause, tokens));
    }
    const prompt = exchange.prompt ?? [];
    const started = await engine.generate(this.#head(), prompt, { silenceMs });
    return started.mapErr((cause) => failure(cause, tokens));
  }

  #openPlan(
    plan: NonNullable<Placement["plan"]>,
  ): Promise<Result<EngineStream, PlanFailure>> {
    const { exchange, engineAt, silenceMs } = this.#options;
    this.#plan = PlanRun.create({
      plan: plan.id,
      segments: plan.segments,
      engineAt,
      head: () => this.#head(),
      prompt: exchange.prompt ?? [],
      promptTokens: exchange.req.promptTokens,
      silenceMs,
    });
    return this.#plan.open();
  }

  #head(): GenerateHead {
    const { intent, exchange, now } = this.#options;
    const answered = intent.mode === "continue"
      ? { text: exchange.relayedTokens.join(""), count: this.#check.tokens }
      : undefined;
    return {
      request: intent.req,
      attempt: intent.attempt,
      ...intent.weights!,
      max_tokens: exchange.req.maxTokens,
      priority: intent.placement.priority,
      deadline_ms: Math.max(0, intent.deadlineAt - now()),
      answered,
    };
  }

  async #relay(stream: EngineStream): Promise<Outcome> {
    for await (const item of stream.events) {
      if (this.#stopped) {
        this.#options.counters.add("answers_late");
        break;
      }
      if (!item.ok) return failure(item.err, this.#check.tokens);
      const outcome = this.#onEvent(item.event);
      if (outcome === undefined) continue;
      stream.close();
      return outcome;
    }
    return broken(
      "The stream ended without its final event.",
      this.#check.tokens,
    );
  }

  #onEvent(event: EngineEvent): Outcome | undefined {
    const checked = this.#check.checkEvent(event);
    if (checked.type === "drop") {
      this.#options.counters.add(
        checked.reason === "crossed" ? "answers_crossed" : "answers_doubled",
      );
      return undefined;
    }
    if (checked.type === "broken") {
      const outcome = broken(checked.detail, this.#check.tokens);
      const isPlan = event.type === "error" && event.code === "plan_broken";
      return isPlan ? { ...outcome, cause: "plan_broken" } : outcome;
    }
    if (event.type === "token") this.#relayToken(event.index, event.text);
    if (event.type === "done") return this.#finish(event);
    return undefined;
  }

  #relayToken(index: number, text: string): void {
    const { exchange, post, intent } = this.#options;
    exchange.relayedTokens.push(text);
    exchange.writer.writeToken(index, text);
    const { req, attempt } = intent;
    if (!this.#firstTokenSent) post({ type: "first_token", req, attempt });
    this.#firstTokenSent = true;
    const tokens = this.#check.tokens;
    if (tokens % PROGRESS_INTERVAL_TOKENS === 0) {
      post({ type: "attempt_progress", req, attempt, tokens });
    }
  }

  #finish(event: Extract<EngineEvent, { type: "done" }>): Outcome {
    this.#options.exchange.writer.end({
      finish: event.finish === "length" ? "length" : "stop",
      count: event.count,
      promptTokens: event.prompt_tokens,
      cachedTokens: event.cached_tokens,
    });
    const text = this.#options.exchange.relayedTokens.join("");
    const answerDigest = sha256(text);
    return { type: "ok", tokens: event.count, status: 200, answerDigest };
  }

  #post(outcome: Outcome): void {
    if (this.#stopped) return;
    const { intent, post } = this.#options;
    post({
      type: "attempt_ended",
      req: intent.req,
      attempt: intent.attempt,
      outcome,
    });
  }
}

const CAUSES: Readonly<Record<EngineError["code"], Retry>> = {
  refused: "upstream_refused",
  connect_failed: "connect_failed",
  broken: "upstream_crashed",
  silent: "upstream_silent",
  malformed: "answer_broken",
  truncated: "answer_broken",
};

function failure(err: EngineError, tokens: number): Outcome {
  const cause = causeOf(err);
  const detail = err.code === "refused" ? err.refusal.detail : err.detail;
  return {
    type: "failed",
    cause,
    verdict: err.verdict,
    tokens,
    crashed: err.code === "broken",
    detail,
  };
}

function causeOf(err: EngineError): Retry {
  if (err.code !== "refused") return CAUSES[err.code];
  if (err.refusal.code === "leaving") return "upstream_leaving";
  return err.refusal.code === "unknown_stream"
    ? "resume_failed"
    : "upstream_refused";
}

function planFailure(failed: PlanFailure, tokens: number): Outcome {
  return { type: "failed", cause: "plan_broken", tokens, ...failed };
}

function broken(
  detail: string,
  tokens: number,
): Extract<Outcome, { type: "failed" }> {
  return {
    type: "failed",
    cause: "answer_broken",
    verdict: "may_have_run",
    tokens,
    crashed: false,
    detail,
  };
}
