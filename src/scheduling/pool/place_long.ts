import type { UpstreamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import { nextPass, predictPass } from "./admission/engine_passes.ts";
import { streamAbortMs } from "./caller_timeout.ts";
import { type Candidate, penaltyMs, type PromptInput } from "./candidate.ts";
import { passMs, prefillMs } from "./engine_pace.ts";
import { MAX_HELPERS, planMemory } from "./plan_memory.ts";
import type { MemoryTicket } from "./pool_job.ts";
import { isSlow } from "./upstream_load.ts";

/** Largest prefill backlog of an engine that counts as free; it ends well within one pass. */
const MAX_FREE_BACKLOG_MS: Millis = 20;
/** Fraction of the engines without sensitive streams that suffices for the longest prompt. */
const SUFFICIENT_FREE_FRACTION = 0.5;
/** A prompt requires one free engine for each such amount of prefill. */
const PREFILL_MS_PER_REQUIRED_ENGINE: Millis = 500;
/** Fraction of the engines that takes no larger parts, so that short prompts that arrive meanwhile find room. */
const RESERVED_ENGINE_FRACTION = 0.125;
/** Largest part that a short prompt can wait for. */
const SMALL_PART_MS: Millis = 150;
/** Costs in tokens of late streams: of each ms until the first event, and of each ms of prefill beside a stream. */
const FIRST_EVENT_COST_TOKENS_PER_MS = 30;
const DELAY_COST_TOKENS_PER_MS = 1;
/** Tokens that are added for every late stream, as short streams weigh more than their size. */
const STREAM_BASE_COST_TOKENS = 5_000;
/** A late prompt waits for more engines if that cuts the predicted time to less than this fraction. */
const WORTHWHILE_WAIT_RATIO = 0.8;
/** What a late answer brings its caller, relative to one in time. */
const LATE_FRACTION = 0.25;
/** Cost of an aborted stream relative to a late one: its prefill and decoding are repeated. */
const ABORT_FACTOR = 3;
/** Error margin of predictions. */
const PREDICTION_MARGIN_MS: Millis = 20;

/** Engines for a long prompt, with the predicted time to its first event. */
export type LongPlacement = Readonly<{
  engine: Candidate;
  helpers: readonly Candidate[];
  tickets: readonly MemoryTicket[];
  partMs: Millis;
  expectMs: Millis;
}>;

/** Why a long prompt can't be placed now. */
export type LongPlacementFailure = "busy" | "no_memory";

/**
 * Chooses free engines that prefill a long prompt in equal parts.
 * Load pattern: a wave of long prompts beside short streams. More engines shorten the prefill, but a part that exceeds
 * the pause accepted by streams on the same engine makes them late, so engines with such streams take small parts or
 * none.
 */
export function placeLong(
  input: PromptInput,
  options: Readonly<{
    dueInMs: Millis;
    timeoutInMs: Millis;
    /** Engines for short prompts while room is short. */
    shortEngines?: ReadonlySet<UpstreamId> | undefined;
  }>,
): LongPlacement | LongPlacementFailure {
  const { ask, pace, now } = input;
  const candidates = healthyCandidates(input).filter(hasFreeHelperSlot)
    .filter((candidate) =>
      options.shortEngines === undefined ||
      !options.shortEngines.has(candidate.id) &&
        candidate.load.sensitiveStreams === 0
    );
  const free = candidates.filter((candidate) =>
    candidate.load.backlogMs(now) <= MAX_FREE_BACKLOG_MS
  );
  const tolerant = (candidate: Candidate) =>
    candidate.load.sensitiveStreams === 0;
  const tolerantFree = free.filter(tolerant).length;
  const totalMs = prefillMs(pace, ask.promptTokens);
  const required = requiredFreeEngines(
    candidates.filter(tolerant).length,
    totalMs,
  );
  if (free.length === 0 || tolerantFree < required) return "busy";
  const ranked = [...free].sort((a, b) =>
    a.load.sensitiveStreams - b.load.sensitiveStreams ||
    penaltyMs(input, a) - penaltyMs(input, b) || a.load.ownJobs - b.load.ownJobs
  );
  const passes = new Map(
    ranked.map(({ load }) => [load.id, nextPass(load, pace, now)]),
  );
  let best:
    | {
      chosen: readonly Candidate[];
      cost: number;
      lateTokens: number;
      expectMs: Millis;
    }
    | undefined;
  const maxEngines = Math.min(ranked.length, MAX_HELPERS + 1);
  const reserved = reservedEngines(candidates);
  const maxCount = totalMs / maxEngines <= SMALL_PART_MS
    ? maxEngines
    : Math.max(1, Math.min(maxEngines, ranked.length - reserved));
  for (let count = 1; count <= maxCount; count += 1) {
    const partMs = totalMs / count;
    const passTimeMs = passMs(
      pace,
      ranked[0]!.load.ownJobs + 1,
      ask.promptTokens,
    );
    const chosen = leastAffected(ranked, { count, partMs, passTimeMs });
    const maxPenaltyMs = Math.max(
      ...chosen.map((candidate) => penaltyMs(input, candidate)),
    );
    const readMs = Math.max(...chosen.map(({ id, load }) => {
      const slowdown = load.slowdownAt(now);
      const options = { prefillMs: partMs, slowdown };
      return predictPass(passes.get(id)!, pace, options).firstMs;
    }));
    const expectMs = readMs + passTimeMs + maxPenaltyMs;
    if (expectMs > options.timeoutInMs) continue;
    const lateCost = expectMs > options.dueInMs ? ask.promptTokens : 0;
    let delay = 0;
    let lateTokens = 0;
    for (const engine of chosen) {
      delay += delayCost(engine, partMs, passTimeMs);
      lateTokens += lateTokensOn(engine, partMs + passTimeMs);
    }
    const cost = lateCost + delay +
      expectMs * FIRST_EVENT_COST_TOKENS_PER_MS;
    if (best === undefined || cost < best.cost) {
      best = { chosen, cost, lateTokens, expectMs };
    }
  }
  if (best === undefined) return "busy";
  const inTime = best.expectMs <= options.dueInMs;
  const gain = (STREAM_BASE_COST_TOKENS + ask.promptTokens) *
    (inTime ? 1 : LATE_FRACTION);
  if (best.lateTokens > gain) return "busy";
  if (options.shortEngines !== undefined && !inTime) return "busy";
  if (best.expectMs > options.dueInMs) {
    const delayedMs = delayedExpectMs(input, { totalMs, reserved });
    if (delayedMs < best.expectMs * WORTHWHILE_WAIT_RATIO) return "busy";
  }
  const { chosen } = best;
  const memory = planMemory(input, {
    chosen,
    rest: candidates.filter((candidate) => !chosen.includes(candidate)),
  });
  if (memory === undefined) return "no_memory";
  const partMs = totalMs / (memory.helpers.length + 1);
  return { ...memory, partMs, expectMs: best.expectMs };
}

/** The `count` engines with the lowest delay cost for a part of this length; ties keep the given order. */
function leastAffected(
  ranked: readonly Candidate[],
  part: Readonly<{ count: number; partMs: Millis; passTimeMs: Millis }>,
): readonly Candidate[] {
  const { count, partMs, passTimeMs } = part;
  const costs = new Map(
    ranked.map((
      candidate,
    ) => [candidate, delayCost(candidate, partMs, passTimeMs)]),
  );
  return [...ranked].sort((a, b) => costs.get(a)! - costs.get(b)!)
    .slice(0, count);
}

/** Excludes engines that failed recently or are slow, unless most are: the slowest part delays the whole prompt. */
function healthyCandidates(input: PromptInput): readonly Candidate[] {
  const { candidates, now } = input;
  const healthy = candidates.filter(({ load }) =>
    !load.hasFailedRecently(now) && !isSlow(load.slowdownAt(now))
  );
  return healthy.length >= candidates.length / 2 ? healthy : candidates;
}

/** An engine whose slots are all taken by helper jobs rejects further parts, which fails the whole prompt. */
function hasFreeHelperSlot(candidate: Candidate): boolean {
  return candidate.load.helperJobs < candidate.slots;
}

/** Number of engines without sensitive streams to reserve for short prompts; engines with such streams count towards the reserve. */
function reservedEngines(candidates: readonly Candidate[]): number {
  const sensitive =
    candidates.filter((candidate) => candidate.load.sensitiveStreams > 0)
      .length;
  return Math.max(
    0,
    Math.ceil(candidates.length * RESERVED_ENGINE_FRACTION) - sensitive,
  );
}

/** Number of free engines that a prompt waits for, given the number of engines without sensitive streams. */
function requiredFreeEngines(tolerant: number, totalMs: Millis): number {
  return Math.min(
    Math.ceil(tolerant * SUFFICIENT_FREE_FRACTION),
    Math.ceil(totalMs / PREFILL_MS_PER_REQUIRED_ENGINE),
  );
}

/** Prefill backlogs of the engines without sensitive streams, shortest first. */
function tolerantBacklogsMs(input: PromptInput): readonly Millis[] {
  return healthyCandidates(input).filter((candidate) =>
    candidate.load.sensitiveStreams === 0
  )
    .map((candidate) => candidate.load.backlogMs(input.now)).sort((a, b) =>
      a - b
    );
}

/** Predicted time until enough engines are free for a prompt. */
export function requiredEnginesFreeInMs(input: PromptInput): Millis {
  const backlogsMs = tolerantBacklogsMs(input);
  const totalMs = prefillMs(input.pace, input.ask.promptTokens);
  const required = requiredFreeEngines(backlogsMs.length, totalMs);
  return backlogsMs[required - 1] ?? 0;
}

/**
 * Predicted time to the first event if the prompt waits until more engines are free.
 * Load pattern: a wave of long prompts, the largest of which arrives while most engines prefill the previous one.
 */
function delayedExpectMs(
  input: PromptInput,
  options: Readonly<{ totalMs: Millis; reserved: number }>,
): Millis {
  const backlogsMs = tolerantBacklogsMs(input);
  const maxCount = Math.min(
    MAX_HELPERS + 1,
    backlogsMs.length - options.reserved,
  );
  const expectedMs = backlogsMs.slice(0, Math.max(1, maxCount))
    .map((backlogMs, i) =>
      backlogMs <= MAX_FREE_BACKLOG_MS
        ? Infinity
        : backlogMs + options.totalMs / (i + 1)
    );
  return Math.min(...expectedMs) +
    passMs(input.pace, 1, input.ask.promptTokens);
}

/** Tokens of the streams on an engine that a silence makes late. */
function lateTokensOn(candidate: Candidate, silenceMs: Millis): number {
  let tokens = 0;
  for (const job of candidate.load.jobs.values()) {
    if (job.upstream !== candidate.id || job.kind !== "prompt") continue;
    if (silenceMs + PREDICTION_MARGIN_MS <= job.pauseMs) continue;
    tokens += STREAM_BASE_COST_TOKENS + job.tokens;
  }
  return tokens;
}

/** Cost in tokens of the delay that a part causes to the streams on an engine. */
function delayCost(
  candidate: Candidate,
  partMs: Millis,
  passTimeMs: Millis,
): number {
  let cost = 0;
  for (const job of candidate.load.jobs.values()) {
    if (job.upstream !== candidate.id || job.kind !== "prompt") continue;
    const silenceMs = partMs + passTimeMs + PREDICTION_MARGIN_MS;
    const tokens = STREAM_BASE_COST_TOKENS + job.tokens;
    if (silenceMs > streamAbortMs(job.pauseMs)) cost += tokens * ABORT_FACTOR;
    else if (silenceMs > job.pauseMs) cost += tokens;
    else cost += partMs * DELAY_COST_TOKENS_PER_MS;
  }
  return cost;
}
