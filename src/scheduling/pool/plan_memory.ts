import type { Candidate, PromptInput } from "./candidate.ts";
import type { MemoryTicket } from "./pool_job.ts";

/** Most engines that may prefill parts of one prompt besides the decoding engine; limit of the protocol. */
export const MAX_HELPERS = 16;
/** Fraction of an engine's memory that is planned with; the rest covers use that this daemon can't see. */
export const PLANNED_MEMORY_FRACTION = 0.94;
/** Number of other streams that one sensitive stream equals in the choice of the decoding engine. */
const SENSITIVE_WEIGHT = 4;

/** Streams of long prompts are packed on an engine up to this number; more would slow down its steps. */
const MAX_PACKED_STREAMS = 3;

/** The decoding engine of a long prompt, its helpers, and the memory that they reserve. */
export type MemoryPlan = Readonly<{
  engine: Candidate;
  helpers: readonly Candidate[];
  tickets: readonly MemoryTicket[];
}>;

/**
 * Chooses the decoding engine and, if its memory is too small, the engines that hold the rest; undefined if the
 * memory of all engines is too small.
 */
export function planMemory(
  input: PromptInput,
  engines: Readonly<{
    /** Engines that prefill a part. */
    chosen: readonly Candidate[];
    /** Engines that may only contribute memory. */
    rest: readonly Candidate[];
  }>,
): MemoryPlan | undefined {
  const { ask, pace } = input;
  const neededTokens = ask.promptTokens + ask.answerTokens;
  const limitTokens = pace.memoryTokens * PLANNED_MEMORY_FRACTION;
  const freeTokens = (candidate: Candidate) =>
    Math.max(0, limitTokens - candidate.load.memoryTokens);
  const byFreeTokens = (a: Candidate, b: Candidate) =>
    freeTokens(b) - freeTokens(a);
  const ranked = [...engines.chosen].sort((a, b) =>
    answerCost(a) - answerCost(b) || byFreeTokens(a, b)
  );
  const fitting = ranked.find((candidate) =>
    freeTokens(candidate) >= neededTokens
  );
  const engine = fitting ?? [...ranked].sort(byFreeTokens)[0];
  if (engine === undefined) return undefined;
  const others = ranked.filter((candidate) => candidate !== engine);
  if (fitting !== undefined) {
    return { engine, helpers: others.slice(0, MAX_HELPERS), tickets: [] };
  }
  let missingTokens = neededTokens - freeTokens(engine);
  const tickets: MemoryTicket[] = [];
  const holderCandidates = [...others, ...engines.rest].sort(byFreeTokens);
  for (const candidate of holderCandidates) {
    if (missingTokens <= 0 || tickets.length === MAX_HELPERS) break;
    const tokens = Math.floor(Math.min(missingTokens, freeTokens(candidate)));
    if (tokens <= 0) break;
    tickets.push({ upstream: candidate.id, tokens });
    missingTokens -= tokens;
  }
  if (missingTokens > 0) return undefined;
  const holders = new Set(tickets.map((ticket) => ticket.upstream));
  const holderHelpers = holderCandidates.filter((candidate) =>
    holders.has(candidate.id)
  );
  const otherHelpers = others.filter((candidate) => !holders.has(candidate.id));
  const helpers = [...holderHelpers, ...otherHelpers].slice(0, MAX_HELPERS);
  return { engine, helpers, tickets };
}

/**
 * Rank of an engine as the decoding engine of a long prompt, lowest first: a few streams that accept long pauses rank
 * before an empty engine.
 * Load pattern: a wave of long prompts. Each answer on an otherwise empty engine takes away an engine on which parts
 * delay no stream.
 */
function answerCost(candidate: Candidate): number {
  const { sensitiveStreams: sensitive, ownJobs: own } = candidate.load;
  const packs = own > sensitive && own < MAX_PACKED_STREAMS;
  return sensitive * SENSITIVE_WEIGHT + (packs ? -own : own);
}
