import type { Millis, Timestamp } from "../core/time.ts";
import { BLOCK_TOKENS } from "../wire/engine.ts";
import type { Ask } from "./ask.ts";
import type { CostModel } from "./cost_model.ts";
import type { EngineView } from "./engine_view.ts";
import type { Policy } from "./policy.ts";
import type { PrefixIndex } from "./prefix_index.ts";

/** What the choice of an engine looks at. */
export type PlacementView = Readonly<{
  now: Timestamp;
  policy: Policy;
  cost: CostModel;
  prefixes: PrefixIndex;
  engines: readonly EngineView[];
}>;

/** An engine for a short prompt, and what is predicted there. */
export type ShortPlace = Readonly<{
  engine: EngineView;
  cachedTokens: number;
  prefillMs: Millis;
  /** Predicted time to the first token. */
  firstTokenMs: Millis;
  score: number;
}>;

/** Chooses the engine with the best predicted first token; none if no engine has room. */
export function placeShort(
  ask: Ask,
  view: PlacementView,
): ShortPlace | undefined {
  let best: ShortPlace | undefined;
  for (const engine of view.engines) {
    if (!hasRoom(ask, engine, view)) continue;
    const place = predictShort(ask, engine, view);
    if (best === undefined || place.score < best.score) best = place;
  }
  return best;
}

/** Returns the engines that may run this prompt at all. */
export function eligible(
  ask: Ask,
  engines: Iterable<EngineView>,
): readonly EngineView[] {
  return [...engines].filter((engine) =>
    engine.live && engine.serves(ask.weights) &&
    !ask.excluded.includes(engine.id) &&
    !(ask.suspect && engine.hasSuspect())
  );
}

/** Returns how many tokens of the prompt the engine is believed to have cached. */
export function cachedOn(
  ask: Ask,
  engine: EngineView,
  prefixes: PrefixIndex,
): number {
  const cached = prefixes.hits(engine.id, ask.blocks) * BLOCK_TOKENS;
  return Math.max(0, Math.min(cached, ask.promptTokens - 1));
}

function hasRoom(ask: Ask, engine: EngineView, view: PlacementView): boolean {
  return engine.jobs.size < view.policy.engineRequests &&
    engine.freeTokens() >= ask.promptTokens + ask.maxTokens;
}

function predictShort(
  ask: Ask,
  engine: EngineView,
  view: PlacementView,
): ShortPlace {
  const { policy, cost, now, prefixes } = view;
  const cachedTokens = cachedOn(ask, engine, prefixes);
  const prefillMs = cost.prefillMs(cachedTokens, ask.promptTokens);
  const firstTokenMs = engine.shortBacklogMs(now) + prefillMs;
  const busy = engine.longPrefill(now) !== undefined ||
    engine.strangePrefillTokens > policy.longPromptTokens;
  const score = Math.max(firstTokenMs, policy.firstTokenKneeMs) +
    policy.prefillWeight * prefillMs + (busy ? policy.spillMs : 0) +
    engine.jobs.size;
  return { engine, cachedTokens, prefillMs, firstTokenMs, score };
}
