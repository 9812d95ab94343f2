import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import type { CellPlacementRequest } from "./cell_placement.ts";
import type { EngineView } from "./engine_view.ts";
import type { JobPart } from "./job.ts";
import { cachedTokensOn, type PlacementView } from "./short_placement.ts";

/** The parts of a long prompt in prefill order, and the tokens that are cached on its engine. */
export type LongPlacement = Readonly<{
  parts: readonly JobPart[];
  cachedTokens: number;
}>;

/** Least free memory for which an engine is given a part. */
const MIN_PART_TOKENS = 16_384;

/** Places a long prompt on one engine, else on several; undefined if none are free. */
export function placeLong(
  ask: CellPlacementRequest,
  view: PlacementView,
): LongPlacement | undefined {
  return placeOnOneEngine(ask, view) ?? placeOnSeveralEngines(ask, view);
}

/** Moves the prefill of the last token, and with it decoding, to `decoder`; no change if that already has a part. */
export function withDecoder(
  ask: CellPlacementRequest,
  parts: readonly JobPart[],
  decoder: EngineView | undefined,
): readonly JobPart[] {
  const last = parts[parts.length - 1]!;
  const hasPart = parts.some((part) => part.engine === decoder?.id);
  if (decoder === undefined || hasPart || last.to - last.from < 2) return parts;
  const shortened = {
    ...last,
    to: last.to - 1,
    memoryTokens: last.memoryTokens - ask.maxTokens - 1,
  };
  return [...parts.slice(0, -1), shortened, {
    engine: decoder.id,
    from: last.to - 1,
    to: last.to,
    memoryTokens: ask.maxTokens + 1,
    costMs: 0,
    startsAt: addMs(last.startsAt, last.costMs),
  }];
}

/** Tokens of free memory on an engine that long prompts may take. */
export function longPromptRoom(
  engine: EngineView,
  view: PlacementView,
): number {
  return engine.freeTokens() - view.policy.shortMemoryTokens;
}

/** Best fit: the available engine with the least room that holds the whole prompt. */
function placeOnOneEngine(
  ask: CellPlacementRequest,
  view: PlacementView,
): LongPlacement | undefined {
  const need = ask.promptTokens + ask.maxTokens;
  let best: LongPlacement | undefined;
  let bestRoom = Infinity;
  for (const engine of view.engines) {
    const room = wholePromptRoom(engine, view);
    if (room < need || room >= bestRoom) continue;
    const place = placementOn(ask, engine, view);
    if (!isFree(engine, view, place.parts[0]!)) continue;
    [best, bestRoom] = [place, room];
  }
  return best;
}

/** Tokens of memory on an engine for a whole prompt; the same as for a part. */
function wholePromptRoom(engine: EngineView, view: PlacementView): number {
  return longPromptRoom(engine, view);
}

function placementOn(
  ask: CellPlacementRequest,
  engine: EngineView,
  view: PlacementView,
): LongPlacement {
  const cachedTokens = cachedTokensOn(ask, engine, view.prefixes);
  const part = {
    engine: engine.id,
    from: 0,
    to: ask.promptTokens,
    memoryTokens: ask.promptTokens + ask.maxTokens,
    costMs: view.cost.prefillMs(cachedTokens, ask.promptTokens),
    startsAt: view.now,
  };
  return { parts: [part], cachedTokens };
}

/** Assigns parts to engines, largest room first; each engine must be available during the prefill of its part. */
function placeOnSeveralEngines(
  ask: CellPlacementRequest,
  view: PlacementView,
): LongPlacement | undefined {
  const byRoom = view.engines
    .map((engine) => ({ engine, room: longPromptRoom(engine, view) }))
    .filter(({ room }) => room >= MIN_PART_TOKENS)
    .sort((a, b) => b.room - a.room);
  const parts: JobPart[] = [];
  let from = 0;
  let startsAt = view.now;
  while (from < ask.promptTokens) {
    if (parts.length >= view.policy.planSegments) return undefined;
    const part = nextPart(ask, view, { from, startsAt, byRoom, parts });
    if (part === undefined) return undefined;
    parts.push(part);
    from = part.to;
    startsAt = addMs(startsAt, part.costMs);
  }
  return { parts, cachedTokens: 0 };
}

function nextPart(
  ask: CellPlacementRequest,
  view: PlacementView,
  options: Readonly<{
    from: number;
    startsAt: Timestamp;
    byRoom: readonly Readonly<{ engine: EngineView; room: number }>[];
    parts: readonly JobPart[];
  }>,
): JobPart | undefined {
  const { from, startsAt, byRoom, parts } = options;
  for (const { engine, room } of byRoom) {
    if (parts.some((part) => part.engine === engine.id)) continue;
    const remainingTokens = ask.promptTokens - from;
    const isLast = room >= remainingTokens + ask.maxTokens;
    const to = from +
      (isLast ? remainingTokens : Math.min(room, remainingTokens - 1));
    const part = {
      engine: engine.id,
      from,
      to,
      memoryTokens: to - from + (isLast ? ask.maxTokens : 0),
      costMs: partPrefillMs(view, from, to),
      startsAt,
    };
    if (isFree(engine, view, part)) return part;
  }
  return undefined;
}

function partPrefillMs(view: PlacementView, from: number, to: number): Millis {
  const factor = from === 0 ? 1 : view.policy.planCostFactor;
  return factor * view.cost.prefillMs(from, to);
}

function isFree(
  engine: EngineView,
  view: PlacementView,
  part: JobPart,
): boolean {
  const startsNow = part.startsAt <= view.now;
  if (startsNow && engine.longPrefillJob(view.now) !== undefined) return false;
  if (startsNow && engine.isDecoding()) return false;
  if (engine.externalPrefillTokens > view.policy.longPromptTokens) return false;
  return !engine.hasLongPrefillBetween(
    part.startsAt,
    addMs(part.startsAt, part.costMs),
  );
}
