import type { UpstreamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import { type Candidate, penaltyMs, type PromptInput } from "./candidate.ts";
import { weighHolders } from "../held/held_saving.ts";
import { admissionLimitMs } from "./admission_limit.ts";
import { type RoomTerms, USUAL_TERMS } from "./room_terms.ts";
import { shortFit, type ShortRoom } from "./admission/short_room.ts";
import { savedPrefillMs } from "./held_prefill.ts";

/** Fraction of the target within which an engine with more streams is preferred to a faster one. */
const PACKING_TARGET_FRACTION = 0.6;
/** Slots left free on an engine that streams are packed on, for prompts that are placed meanwhile. */
const SPARE_SLOTS = 4;
/** Engines that a failure domain needs for packing within it: as many as the smallest deployment has. */
const MIN_DOMAIN_ENGINES = 16;

/** Predicted time that is added to the new stream for each stream that would pause too long. */
const LATE_STREAM_PENALTY_MS: Millis = 100;
/** Factor below which a team leaves a slot besides: it is over its share. */
const SLOT_FACTOR = 0.5;
/** Least error margin of predictions. */
const PREDICTION_MARGIN_MS: Millis = 15;

/** The engine for a short prompt, with the predicted time to the first event if all of it is read. */
export type ShortPlacement = Readonly<{
  engine: Candidate;
  expectMs: Millis;
  /** The room that no engine has for the prompt; it fits if undefined. */
  lacks: ShortRoom | "share" | "team_share" | undefined;
  /** Part of the prompt's prefill that the engine is expected to save. */
  savedMs: Millis;
  /** Streams that it makes late. */
  lateStreams: number;
}>;

/**
 * Chooses the engine for a prompt that a single engine serves.
 * Load pattern: many short prompts beside few long ones. Short prompts are packed on engines that already decode, as
 * long as the first event stays well within its target, so that other engines stay free for long prefills.
 */
export function placeShort(
  input: PromptInput,
  options: Readonly<{
    marginMs?: Millis;
    /** Engines for short prompts while room is short. */
    shortEngines?: ReadonlySet<UpstreamId> | undefined;
    terms?: RoomTerms;
  }> = {},
): ShortPlacement | undefined {
  const {
    marginMs = PREDICTION_MARGIN_MS,
    shortEngines,
    terms = USUAL_TERMS,
  } = options;
  const limitMs = admissionLimitMs(input.ask, input.pace, terms);
  const all = input.candidates.map((engine) => {
    const fit = shortFit(input, engine, { limitMs, marginMs });
    const cost = fit.firstMs + penaltyMs(input, engine) +
      fit.lateStreams * LATE_STREAM_PENALTY_MS;
    const lacks: ShortPlacement["lacks"] = fit.lacks ??
      (leavesRoom(input, engine, { limitMs, marginMs, ...terms })
        ? undefined
        : "team_share");
    const savedMs = savedPrefillMs(input, engine);
    const { firstMs: expectMs, lateStreams } = fit;
    return { engine, expectMs, savedMs, lacks, lateStreams, cost };
  });
  const fitting = all.filter((rating) =>
    rating.lacks === undefined && shortEngines?.has(rating.engine.id) !== false
  );
  const ratings = fitting.length > 0 ? fitting : all;
  ratings.sort((a, b) => a.cost - b.cost);
  const [best] = ratings;
  if (best === undefined) return undefined;
  if (all.some(({ lacks }) => lacks === "team_share") && fitting.length === 0) {
    return { ...best, lacks: "team_share" };
  }
  if (fitting.length === 0) return { ...best, lacks: best.lacks ?? "share" };
  const packingLimitMs = input.ask.targetMs * PACKING_TARGET_FRACTION;
  const early = ratings.filter(({ cost }) => cost <= packingLimitMs);
  const packable = early.filter(({ engine }) =>
    engine.load.ownJobs + SPARE_SLOTS <= engine.slots
  );
  const ownDomain = enginesInOwnDomain(input);
  packable.sort((a, b) =>
    Number(ownDomain.has(b.engine)) - Number(ownDomain.has(a.engine)) ||
    b.engine.load.sensitiveStreams - a.engine.load.sensitiveStreams ||
    a.cost - b.cost
  );
  return weighHolders(packable[0] ?? best, early);
}

/**
 * Whether a prompt leaves the room on an engine that its team has to leave to others.
 * Load pattern: more short prompts than room, most of them of one team. Prompts of teams below their share still find
 * room when those of teams over it don't, and next to none of it is unused.
 */
function leavesRoom(
  input: PromptInput,
  engine: Candidate,
  options: Readonly<
    { limitMs: Millis; marginMs: Millis; factor: number; spareTokens: number }
  >,
): boolean {
  const { factor, spareTokens } = options;
  if (spareTokens === 0) return true;
  const promptTokens = input.ask.promptTokens + spareTokens;
  const both = { ...input, ask: { ...input.ask, promptTokens } };
  const slots = engine.slots - (factor < SLOT_FACTOR ? 1 : 0);
  return shortFit(both, { ...engine, slots }, options).lacks === undefined;
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
