import type { Incarnation } from "../../src/core/id.ts";
import type { Millis } from "../../src/core/time.ts";
import { BLOCK_TOKENS, type Loaded, type Role } from "../../src/wire/engine.ts";

/** Time of a step without any work in it. */
export const STEP_MS: Millis = 8;
/** Time of one prefill token at context position 0. */
export const PREFILL_TOKEN_MS: Millis = 0.05;
/** Context position at which a prefill token costs twice as much as at 0. */
export const PREFILL_CONTEXT_TOKENS = 200_000;
/** Time that each decoding stream adds to a step. */
export const DECODE_STREAM_MS: Millis = 0.02;
/** Prefill tokens in one step, all prompts together. */
export const PREFILL_STEP_TOKENS = 512;
/** Streams that run at a time. */
export const MAX_RUNNING = 64;
/** Requests that wait inside the engine; more are refused. */
export const MAX_WAITING = 1_024;
/** Tokens that the KV memory holds. */
export const KV_CAPACITY_TOKENS = 450_000;
/** Tokens of KV cache that are exported or imported in a millisecond. */
export const KV_TRANSFER_TOKENS_PER_MS = 100;
/** Cost factor of prefill over KV cache that lies on another engine. */
export const REMOTE_KV_FACTOR = 1.3;
/** Plans that may hold memory at a time. */
export const MAX_RESERVATIONS = 256;

/** Figures of one engine; the defaults are those of docs/ENGINE_MODEL.md. */
export type EngineModelConfig = Readonly<{
  incarnation: Incarnation;
  loaded: readonly Loaded[];
  role: Role;
  stepMs: Millis;
  prefillTokenMs: Millis;
  prefillContextTokens: number;
  decodeStreamMs: Millis;
  prefillStepTokens: number;
  maxRunning: number;
  maxWaiting: number;
  kvCapacityTokens: number;
  blockTokens: number;
  kvTransferTokensPerMs: number;
  remoteKvFactor: number;
  maxReservations: number;
}>;

/** Figures that have a default, and the two that have none. */
export type EngineModelOptions =
  & Partial<EngineModelConfig>
  & Pick<EngineModelConfig, "incarnation" | "loaded">;

/** Fills in the defaults. */
export function createModelConfig(
  options: EngineModelOptions,
): EngineModelConfig {
  return {
    role: "mixed",
    stepMs: STEP_MS,
    prefillTokenMs: PREFILL_TOKEN_MS,
    prefillContextTokens: PREFILL_CONTEXT_TOKENS,
    decodeStreamMs: DECODE_STREAM_MS,
    prefillStepTokens: PREFILL_STEP_TOKENS,
    maxRunning: MAX_RUNNING,
    maxWaiting: MAX_WAITING,
    kvCapacityTokens: KV_CAPACITY_TOKENS,
    blockTokens: BLOCK_TOKENS,
    kvTransferTokensPerMs: KV_TRANSFER_TOKENS_PER_MS,
    remoteKvFactor: REMOTE_KV_FACTOR,
    maxReservations: MAX_RESERVATIONS,
    ...options,
  };
}

/**
 * Time to prefill `count` tokens from context position `from`: the sum over positions `c` of
 * `prefillTokenMs * (1 + c / prefillContextTokens)`.
 */
export function prefillMs(
  cfg: EngineModelConfig,
  from: number,
  count: number,
): Millis {
  const meanPosition = from + (count - 1) / 2;
  return cfg.prefillTokenMs * count *
    (1 + meanPosition / cfg.prefillContextTokens);
}
