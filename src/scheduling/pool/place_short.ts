import type { Millis } from "../../core/time.ts";
import { type Candidate, penaltyMs, type PromptInput } from "./candidate.ts";
import { weighHolders } from "../held/held_saving.ts";
import { passMs, prefillMs } from "./engine_pace.ts";
import { savedPrefillMs } from "./held_prefill.ts";

/** Fraction of the target within which an engine with more streams is preferred to a faster one. */
const PACKING_TARGET_FRACTION = 0.6;
/** Slots left free on an engine that streams are packed on, for prompts that are placed meanwhile. */
const SPARE_SLOTS = 4;
/** Predicted wait for each prompt beyond the slots: about the time until a stream of a full batch ends. */
const SLOT_WAIT_MS: Millis = 150;

/** Engines that a failure domain needs for packing within it: as many as the smallest deployment has. */
const MIN_DOMAIN_ENGINES = 16;

/** Predicted time that is added to the new stream for each stream that would pause too long. */
const LATE_STREAM_PENALTY_MS: Millis = 100;
/** Error margin of predictions. */
const PREDICTION_MARGIN_MS: Millis = 15;

/** The engine for a short prompt, with the predicted time to the first event. */
export type ShortPlacement = Readonly<{
  engine: Candidate;
  expectMs: Millis;
  /** Part of the prompt's prefill that the engine is expected to save. */
  savedMs: Millis;
}>;

/**
 * Chooses the engine for a prompt that a single engine serves.
 * Load pattern: many short prompts beside few long ones. Short prompts are packed on engines that already decode, as
 * long as the first event stays well within its target, so that other engines stay free for long prefills.
 */
export function placeShort(
  input: PromptInput,
): ShortPlacement | undefined {
  const ratings = input.candidates.map((engine) => {
    const savedMs = savedPrefillMs(input, engine);
    const expectMs = predictFirstEventMs(input, engine) -
      savedMs * engine.load.slowdownAt(input.now);
    return { engine, savedMs, expectMs, cost: 0 };
  });
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
  return weighHolders(packable[0] ?? best, ratings);
}

/**
 * The engines in the requesting daemon's failure domain, or none if there are too few to pack streams on: traffic
 * between domains has a cost, but packing within several small domains would leave fewer engines for long prefills.
 */
function enginesInOwnDomain(
  input: PromptInput,
): ReadonlySet<Candidate> {
  const { ask, candidates } = input;
  const local = candidates.filter((engine) => engine.domain === ask.domain);
  return new Set(local.length >= MIN_DOMAIN_ENGINES ? local : []);
}

/** Predicted time to the first event: prefill backlog, rest of the current pass, own prefill and one pass. */
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

/** Penalty for an engine whose passes are longer than the pause that the new stream accepts. */
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

/** Penalty for the streams on an engine whose next event the new prefill would make late. */
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
