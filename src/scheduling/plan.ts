import type { UpstreamId } from "../core/id.ts";
import type { Segment } from "../core/request.ts";

/** KV memory in tokens that a plan needs on one engine. */
export type PlanMemory = Readonly<{ upstream: UpstreamId; tokens: number }>;

/** KV memory in tokens that one engine has free for a plan. */
export type PlanRoom = Readonly<{ upstream: UpstreamId; tokens: number }>;

/** Size of the prompt and its answer, and the largest plan allowed. */
export type PlanRequirements = Readonly<{
  promptTokens: number;
  maxTokens: number;
  /** Engines that one plan may use. */
  maxSegments: number;
}>;

/**
 * Cuts a prompt into as few segments as the rooms allow. The largest room comes last, because the engine that
 * decodes needs room for the longest answer as well. Undefined if the prompt does not fit.
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

/** Assigns each engine as many tokens as it can hold, and leaves at least one token for each engine after it. */
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

/** Memory to reserve for a plan, sorted by upstream id; one order for all plans prevents deadlocks between them. */
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
