import type { Millis, Timestamp } from "../core/time.ts";
import { BLOCK_TOKENS } from "../wire/engine.ts";
import type { CellPlacementRequest } from "./cell_placement.ts";
import type { CostModel } from "./cost_model.ts";
import type { EngineView } from "./engine_view.ts";
import { currentPart } from "./job.ts";
import type { Policy } from "./policy.ts";
import type { PrefixIndex } from "./prefix_index.ts";

/** Input of the choice of an engine. */
export type PlacementView = Readonly<{
  now: Timestamp;
  policy: Policy;
  cost: CostModel;
  prefixes: PrefixIndex;
  engines: readonly EngineView[];
  /** Engines reserved for prompts with long shared prefixes; other prompts would evict these from the cache. */
  prefixEngines: ReadonlySet<EngineView>;
  /** Engines reserved for short prompts: no long prefill starts there, and they decode the answers of short prompts. */
  shortEngines: ReadonlySet<EngineView>;
}>;

/** An engine for a short prompt, and the times predicted there. */
export type ShortPlacement = Readonly<{
  engine: EngineView;
  /** Engine that decodes instead, where a long prefill on `engine` would slow decoding. */
  decoder: EngineView | undefined;
  cachedTokens: number;
  prefillMs: Millis;
  /** Predicted time to the first token. */
  firstTokenMs: Millis;
  /** Engine priority; lower runs first. */
  priority: number;
  /** Predicted cost in milliseconds; the lowest is chosen. */
  score: number;
}>;

/** Engine priorities of short prompts; lower runs first, and long prompts run last. */
const SPLIT_PRIORITY = -1;
const DEFAULT_PRIORITY = 0;
const LATE_PRIORITY = 500;

/** Chooses the engine with the lowest score; undefined if no engine has room. */
export function placeShort(
  ask: CellPlacementRequest,
  view: PlacementView,
): ShortPlacement | undefined {
  let best: ShortPlacement | undefined;
  const decoder = chooseDecoder(ask, view);
  for (const engine of view.engines) {
    if (!hasRoom(ask, engine, view)) continue;
    const place = predictPlacement(ask, engine, { view, decoder });
    if (best === undefined || place.score < best.score) best = place;
  }
  return best;
}

/** Returns the engines that may run this prompt; unresponsive ones only if there are no others. */
export function eligibleEngines(
  ask: CellPlacementRequest,
  engines: Iterable<EngineView>,
): readonly EngineView[] {
  const capable = [...engines].filter((engine) =>
    engine.live && engine.serves(ask.weights) &&
    !ask.excluded.includes(engine.id) &&
    !(ask.suspect && engine.hasSuspect())
  );
  const responsive = capable.filter((engine) => !engine.unresponsive);
  return responsive.length > 0 ? responsive : capable;
}

/** Returns how many tokens of the prompt the engine has probably cached; at most all but the last. */
export function cachedTokensOn(
  ask: CellPlacementRequest,
  engine: EngineView,
  prefixes: PrefixIndex,
): number {
  const cached = prefixes.hits(engine.id, ask.blocks) * BLOCK_TOKENS;
  return Math.max(0, Math.min(cached, ask.promptTokens - 1));
}

function hasRoom(
  ask: CellPlacementRequest,
  engine: EngineView,
  view: PlacementView,
): boolean {
  return engine.streamCount() < view.policy.engineRequests &&
    engine.freeTokens() >= ask.promptTokens + ask.maxTokens;
}

function predictPlacement(
  ask: CellPlacementRequest,
  engine: EngineView,
  options: Readonly<{ view: PlacementView; decoder: EngineView | undefined }>,
): ShortPlacement {
  const { view, decoder } = options;
  const { policy, cost, now, prefixes } = view;
  const slow = stepSlowdown(engine, view);
  const splits = !canDecode(engine, view);
  const cachedTokens = splits ? 0 : cachedTokensOn(ask, engine, prefixes);
  const prefillMs = cost.prefillMs(cachedTokens, ask.promptTokens);
  const priority = priorityOf(prefillMs, { splits, policy });
  const backlogMs = engine.shortBacklogMs(now, priority);
  const firstTokenMs = backlogMs + prefillMs +
    (splits ? policy.splitMs + policy.longStepMs * slow : 0);
  const isMedium = ask.promptTokens > policy.mediumPromptTokens;
  const otherKind = isMedium !== view.prefixEngines.has(engine);
  const score = Math.max(firstTokenMs, policy.firstTokenKneeMs) +
    policy.prefillWeight * prefillMs + (otherKind ? policy.apartMs : 0) +
    (splits && decoder === undefined ? policy.spillMs * slow : 0) +
    policy.backlogWeight * backlogMs +
    (splits ? policy.spareMs : engine.streamCount() * policy.streamMs);
  return {
    engine,
    decoder: splits ? decoder : undefined,
    cachedTokens,
    prefillMs,
    firstTokenMs,
    priority,
    score,
  };
}

/** A prompt whose prefill alone exceeds the target for the first token runs after prompts that can meet it. */
function priorityOf(
  prefillMs: Millis,
  options: Readonly<{ splits: boolean; policy: Policy }>,
): number {
  if (prefillMs > options.policy.firstTokenTargetMs) return LATE_PRIORITY;
  return options.splits ? SPLIT_PRIORITY : DEFAULT_PRIORITY;
}

/** Returns the engine with the fewest streams that long prefill does not slow; undefined if none has room. */
export function chooseDecoder(
  ask: CellPlacementRequest,
  view: PlacementView,
): EngineView | undefined {
  let best: EngineView | undefined;
  let fewest: number = view.policy.engineRequests;
  for (const engine of view.engines) {
    const streams = engine.streamCount();
    if (streams >= fewest || engine.freeTokens() < 2 * ask.maxTokens) continue;
    if (!canDecode(engine, view)) continue;
    [best, fewest] = [engine, streams];
  }
  return best;
}

function canDecode(engine: EngineView, view: PlacementView): boolean {
  return view.shortEngines.has(engine) &&
    stepSlowdown(engine, view) <= view.policy.splitSlowness;
}

/** Relative growth of the step time by a long prefill on this engine since position 0; 0 without one. */
function stepSlowdown(engine: EngineView, view: PlacementView): number {
  if (engine.externalPrefillTokens > view.policy.longPromptTokens) return 1;
  const job = engine.longPrefillJob(view.now);
  if (job === undefined) return 0;
  const part = currentPart(job, view.now);
  const done = Math.min(1, (view.now - part.startsAt) / part.costMs);
  const position = part.from + done * (part.to - part.from);
  const tokenMs = view.cost.prefillMs(position, position + 1);
  return tokenMs / view.cost.prefillMs(0, 1) - 1;
}
