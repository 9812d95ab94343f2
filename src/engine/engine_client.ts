import type { ResultAsync } from "neverthrow";
import type { AttemptId, Incarnation, PlanId } from "../core/id.ts";
import type { Millis } from "../core/time.ts";
import type { Verdict } from "../core/verdict.ts";
import type {
  CacheEvents,
  EngineEvent,
  EngineOrder,
  EngineRefusal,
  EngineState,
  GenerateHead,
  LoadReport,
  Reservation,
} from "../wire/engine.ts";

/** Why a call of an engine failed. */
export type EngineError =
  /** The engine refused before it started. */
  | Readonly<
    {
      code: "refused";
      verdict: "not_run";
      refusal: EngineRefusal;
      retryAfterMs?: Millis;
    }
  >
  /** No connection was made; no byte was sent. */
  | Readonly<{ code: "connect_failed"; verdict: "not_run"; detail: string }>
  /** The connection broke after a byte may have been sent. */
  | Readonly<{ code: "broken"; verdict: Verdict; detail: string }>
  /** No bytes arrived within the silence limit. */
  | Readonly<{ code: "silent"; verdict: Verdict; detail: string }>
  /** The response does not match its schema. */
  | Readonly<{ code: "malformed"; verdict: Verdict; detail: string }>
  /** The stream ended without its final event. */
  | Readonly<{ code: "truncated"; verdict: Verdict; detail: string }>;

/** A running answer; if the stream breaks, the last item of `events` is an error. */
export type EngineStream = Readonly<{
  events: AsyncIterable<
    | Readonly<{ ok: true; event: EngineEvent }>
    | Readonly<{ ok: false; err: EngineError }>
  >;
  /** Closes the connection; the engine continues the attempt until `cancel`. */
  close: () => void;
}>;

/** A prompt's text as chunks of UTF-8; chunks are passed on without copying. */
export type PromptBody = readonly Uint8Array[];

/** Last cache event that was read from one run of an engine. */
export type CachePosition = Readonly<{ incarnation: Incarnation; seq: number }>;

/** Client of one model engine. */
export abstract class EngineClient {
  /** Starts an answer; resolves once the engine has accepted or refused the prompt. */
  abstract generate(
    head: GenerateHead,
    prompt: PromptBody,
    options: { silenceMs: Millis },
  ): ResultAsync<EngineStream, EngineError>;

  /** Reattaches to a running or finished answer; skips its first `after` tokens. */
  abstract resume(
    attempt: AttemptId,
    after: number,
    options: { silenceMs: Millis },
  ): ResultAsync<EngineStream, EngineError>;

  /** Ends an attempt and frees its memory; idempotent. */
  abstract cancel(attempt: AttemptId): ResultAsync<void, EngineError>;

  abstract load(): ResultAsync<LoadReport, EngineError>;
  abstract state(): ResultAsync<EngineState, EngineError>;
  /** Returns cache events after a position, or all events of the engine's present run without a position. */
  abstract cacheEvents(
    after?: CachePosition,
  ): ResultAsync<CacheEvents, EngineError>;
  abstract order(order: EngineOrder): ResultAsync<void, EngineError>;
  abstract reserve(
    plan: PlanId,
    reservation: Reservation,
  ): ResultAsync<void, EngineError>;
  abstract release(plan: PlanId): ResultAsync<void, EngineError>;
  /** Copies a plan's or attempt's KV cache from another engine, given as `host:port`. */
  abstract importKv(plan: PlanId, from: string): ResultAsync<void, EngineError>;
  abstract close(): Promise<void>;
}
