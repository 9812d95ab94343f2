import type { UpstreamId } from "../core/id.ts";
import type { Segment } from "../core/request.ts";

/** Memory that a plan needs on one engine. */
export type PlanMemory = Readonly<{ upstream: UpstreamId; tokens: number }>;

/** Memory that an engine has for a plan. */
export type PlanRoom = Readonly<{ upstream: UpstreamId; tokens: number }>;

/** What a plan is made for. */
export type PlanRequirements = Readonly<{
  promptTokens: number;
  maxTokens: number;
  /** Engines that one plan may take. */
  maxSegments: number;
}>;

/**
 * Cuts a prompt into as few segments as the rooms allow. The largest room comes last, because the engine that
 * decodes needs room for the longest answer as well. Nothing where the prompt does not fit.
 */
export function cutPrompt(
  ask: PlanRequirements,
  rooms: readonly PlanRoom[],
): readonly Segment[] | undefined {
  const byRoom = [...rooms].sort((a, b) =>
    b.tokens - a.tokens || compareIds(a.upstream, b.upstream)
  );
  const need = ask.promptTokens + ask.maxTokens;
  const count = engineCountFor(need, byRoom);
  const [last, ...rest] = byRoom.slice(0, count);
  if (last === undefined || last.tokens <= ask.maxTokens) return undefined;
  if (count > Math.min(ask.maxSegments, ask.promptTokens)) return undefined;
  return assignSegments([...rest, last], ask.promptTokens);
}

/** Number of engines, largest rooms first, that together have room for `need` tokens. */
function engineCountFor(need: number, byRoom: readonly PlanRoom[]): number {
  let room = 0;
  for (const [index, { tokens }] of byRoom.entries()) {
    room += tokens;
    if (room >= need) return index + 1;
  }
  return Infinity;
}

/** Gives each engine what it can hold, and leaves one token at least for each that follows. */
function assignSegments(
  rooms: readonly PlanRoom[],
  promptTokens: number,
): Segment[] {
  let from = 0;
  return rooms.map(({ upstream, tokens }, index) => {
    const followingCount = rooms.length - 1 - index;
    const maxTokens = promptTokens - from - followingCount;
    const size = followingCount === 0 ? maxTokens : Math.min(tokens, maxTokens);
    const segment = { upstream, from, to: from + size };
    from = segment.to;
    return segment;
  });
}

/** Memory to reserve for a plan, in the one order over engines that all plans keep. */
export function planMemory(
  segments: readonly Segment[],
  maxTokens: number,
): readonly PlanMemory[] {
  const last = segments.length - 1;
  return segments.map(({ upstream, from, to }, index) => ({
    upstream,
    tokens: to - from + (index === last ? maxTokens : 0),
  })).sort((a, b) => compareIds(a.upstream, b.upstream));
}

function compareIds(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
