import type { Millis } from "../../core/time.ts";
import { type Candidate, penaltyMs, type PromptChoice } from "./candidate.ts";
import { passMs, prefillMs } from "./engine_pace.ts";

/** Part of the target within which a prediction is good enough to prefer an engine with more streams. */
const COMFORT = 0.6;
/** Slots that are left free on an engine that streams are gathered on, for those that were placed meanwhile. */
const SPARE_SLOTS = 4;
/** Predicted wait for each prompt beyond the slots: about the time in which one of a full batch ends. */
const SLOT_WAIT_MS: Millis = 150;

/** Engines of a failure domain that are a pool of their own: as many as the smallest deployment has. */
const DOMAIN_ENGINES = 16;

/** What a stream that pauses too long counts as in predicted time of the new one. */
const HARM_MS: Millis = 100;
/** What predictions may be off. */
const MARGIN_MS: Millis = 15;

/** An engine for a short prompt, with the predicted time to its first event. */
export type ShortPlace = Readonly<{ engine: Candidate; expectMs: Millis }>;

/**
 * Chooses an engine for a prompt that is answered by one engine alone.
 * Load pattern: many short prompts beside few long ones. Short prompts gather on engines that write already,
 * as long as their first event stays well inside its target, so that other engines stay free for long prefills.
 */
export function placeShort(choice: PromptChoice): ShortPlace | undefined {
  const rated = choice.candidates.map((engine) => ({
    engine,
    expectMs: predictMs(choice, engine),
    cost: 0,
  }));
  for (const one of rated) {
    one.cost = one.expectMs + penaltyMs(choice, one.engine) +
      harmMs(choice, one.engine) + ownHarmMs(choice, one.engine);
  }
  rated.sort((a, b) => a.cost - b.cost);
  const [best] = rated;
  if (best === undefined) return undefined;
  const comfortMs = choice.ask.targetMs * COMFORT;
  const gathered = rated.filter((one) =>
    one.cost <= comfortMs &&
    one.engine.load.own + SPARE_SLOTS <= one.engine.slots
  );
  const own = ownDomain(choice);
  gathered.sort((a, b) =>
    Number(own.has(b.engine)) - Number(own.has(a.engine)) ||
    b.engine.load.sensitive - a.engine.load.sensitive || a.cost - b.cost
  );
  return gathered[0] ?? best;
}

/**
 * The engines of the asking daemon's failure domain, where they are enough to gather streams on: bytes between domains
 * cost, but gathering on a few engines in each of several small domains would leave fewer for long prefills.
 */
function ownDomain(choice: PromptChoice): ReadonlySet<Candidate> {
  const { ask, candidates } = choice;
  const near = candidates.filter((one) => one.domain === ask.domain);
  return new Set(near.length >= DOMAIN_ENGINES ? near : []);
}

/** Predicted time to the first event: prefill before it, what is left of a pass, its own prefill and a pass. */
function predictMs(choice: PromptChoice, engine: Candidate): Millis {
  const { ask, pace, now } = choice;
  const { load } = engine;
  const context = load.contextTokens + ask.promptTokens;
  const pass = passMs(pace, load.own + 1, context);
  // On an engine without streams the first event follows the prefill at once.
  const passes = load.own > 0 ? 1.5 * pass : 0;
  const over = Math.max(0, load.own + 1 - engine.slots);
  const ownMs = passes + prefillMs(pace, ask.promptTokens) +
    over * SLOT_WAIT_MS;
  return load.waitMs(now) + ownMs * load.paceAt(now);
}

/** What the new stream itself loses on an engine that is too slow for its pauses. */
function ownHarmMs(choice: PromptChoice, engine: Candidate): Millis {
  const { ask, pace, now } = choice;
  const { load } = engine;
  const context = load.contextTokens + ask.promptTokens;
  const pauseMs = passMs(pace, load.own + 1, context) * load.paceAt(now);
  return pauseMs + MARGIN_MS > ask.pauseMs ? HARM_MS : 0;
}

/** What another prefill costs the streams beside it, where their next event would come too late. */
function harmMs(choice: PromptChoice, engine: Candidate): Millis {
  const { ask, pace, now } = choice;
  const { load } = engine;
  const context = load.contextTokens + ask.promptTokens;
  const ownMs = prefillMs(pace, ask.promptTokens) +
    passMs(pace, load.own + 1, context);
  const pauseMs = load.waitMs(now) + ownMs * load.paceAt(now) + MARGIN_MS;
  let streams = 0;
  for (const job of load.jobs.values()) {
    if (job.upstream === engine.id && job.pauseMs < pauseMs) streams += 1;
  }
  return streams * HARM_MS;
}
