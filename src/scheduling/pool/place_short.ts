import type { Millis } from "../../core/time.ts";
import { type Candidate, penaltyMs, type PromptInput } from "./candidate.ts";
import { passMs, prefillMs } from "./engine_pace.ts";

/** Part of the target within which a prediction is good enough to prefer an engine with more streams. */
const PACKING_TARGET_FRACTION = 0.6;
/** Slots that are left free on an engine that streams are gathered on, for those that were placed meanwhile. */
const SPARE_SLOTS = 4;
/** Predicted wait for each prompt beyond the slots: about the time in which one of a full batch ends. */
const SLOT_WAIT_MS: Millis = 150;

/** Engines of a failure domain that are a pool of their own: as many as the smallest deployment has. */
const MIN_DOMAIN_ENGINES = 16;

/** What a stream that pauses too long counts as in predicted time of the new one. */
const LATE_STREAM_PENALTY_MS: Millis = 100;
/** What predictions may be off. */
const PREDICTION_MARGIN_MS: Millis = 15;

/** An engine for a short prompt, with the predicted time to its first event. */
export type ShortPlacement = Readonly<{ engine: Candidate; expectMs: Millis }>;

/**
 * Chooses an engine for a prompt that is answered by one engine alone.
 * Load pattern: many short prompts beside few long ones. Short prompts gather on engines that write already,
 * as long as their first event stays well inside its target, so that other engines stay free for long prefills.
 */
export function placeShort(
  input: PromptInput,
): ShortPlacement | undefined {
  const ratings = input.candidates.map((engine) => ({
    engine,
    expectMs: predictFirstEventMs(input, engine),
    cost: 0,
  }));
  for (const rating of ratings) {
    rating.cost = rating.expectMs + penaltyMs(input, rating.engine) +
      interferencePenaltyMs(input, rating.engine) +
      ownPausePenaltyMs(input, rating.engine);
  }
  ratings.sort((a, b) => a.cost - b.cost);
  const [best] = ratings;
  if (best === undefined) return undefined;
  const packingLimitMs = input.ask.targetMs * PACKING_TARGET_FRACTION;
  const packable = ratings.filter((rating) =>
    rating.cost <= packingLimitMs &&
    rating.engine.load.ownJobs + SPARE_SLOTS <= rating.engine.slots
  );
  const ownDomain = enginesInOwnDomain(input);
  packable.sort((a, b) =>
    Number(ownDomain.has(b.engine)) - Number(ownDomain.has(a.engine)) ||
    b.engine.load.sensitiveStreams - a.engine.load.sensitiveStreams ||
    a.cost - b.cost
  );
  return packable[0] ?? best;
}

/**
 * The engines of the asking daemon's failure domain, where they are enough to gather streams on: bytes between domains
 * cost, but gathering on a few engines in each of several small domains would leave fewer for long prefills.
 */
function enginesInOwnDomain(
  input: PromptInput,
): ReadonlySet<Candidate> {
  const { ask, candidates } = input;
  const local = candidates.filter((engine) => engine.domain === ask.domain);
  return new Set(local.length >= MIN_DOMAIN_ENGINES ? local : []);
}

/** Predicted time to the first event: prefill before it, what is left of a pass, its own prefill and a pass. */
function predictFirstEventMs(
  input: PromptInput,
  engine: Candidate,
): Millis {
  const { ask, pace, now } = input;
  const { load } = engine;
  const contextTokens = load.contextTokens + ask.promptTokens;
  const passTimeMs = passMs(pace, load.ownJobs + 1, contextTokens);
  // On an engine without streams the first event follows the prefill at once.
  const passWaitMs = load.ownJobs > 0 ? 1.5 * passTimeMs : 0;
  const excess = Math.max(0, load.ownJobs + 1 - engine.slots);
  const ownMs = passWaitMs + prefillMs(pace, ask.promptTokens) +
    excess * SLOT_WAIT_MS;
  return load.backlogMs(now) + ownMs * load.slowdownAt(now);
}

/** What the new stream itself loses on an engine that is too slow for its pauses. */
function ownPausePenaltyMs(
  input: PromptInput,
  engine: Candidate,
): Millis {
  const { ask, pace, now } = input;
  const { load } = engine;
  const contextTokens = load.contextTokens + ask.promptTokens;
  const pauseMs = passMs(pace, load.ownJobs + 1, contextTokens) *
    load.slowdownAt(now);
  return pauseMs + PREDICTION_MARGIN_MS > ask.pauseMs
    ? LATE_STREAM_PENALTY_MS
    : 0;
}

/** What another prefill costs the streams beside it, where their next event would come too late. */
function interferencePenaltyMs(
  input: PromptInput,
  engine: Candidate,
): Millis {
  const { ask, pace, now } = input;
  const { load } = engine;
  const contextTokens = load.contextTokens + ask.promptTokens;
  const ownMs = prefillMs(pace, ask.promptTokens) +
    passMs(pace, load.ownJobs + 1, contextTokens);
  const pauseMs = load.backlogMs(now) + ownMs * load.slowdownAt(now) +
    PREDICTION_MARGIN_MS;
  let lateStreams = 0;
  for (const job of load.jobs.values()) {
    if (job.upstream === engine.id && job.pauseMs < pauseMs) lateStreams += 1;
  }
  return lateStreams * LATE_STREAM_PENALTY_MS;
}
