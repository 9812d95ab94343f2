import type { Candidate, PromptInput } from "./candidate.ts";
import type { MemoryTicket } from "./pool_job.ts";

/** Engines that may prefill parts of one prompt besides the one that answers; the protocol's limit. */
export const MAX_HELPERS = 16;
/** Part of an engine's memory that is planned with; the rest is for what is not known here. */
export const PLANNED_MEMORY_FRACTION = 0.94;
/** A stream that accepts only short pauses counts as much as these others where a long prompt is answered. */
const SENSITIVE_WEIGHT = 4;

/** Streams that are gathered on one engine; more of them would make each of its steps slower. */
const MAX_PACKED_STREAMS = 3;

/** Who answers a long prompt, who helps, and what memory they set aside. */
export type MemoryPlan = Readonly<{
  engine: Candidate;
  helpers: readonly Candidate[];
  tickets: readonly MemoryTicket[];
}>;

/**
 * Chooses who answers and, where its memory is too small, which other engines hold the rest; nothing where all
 * memory together is too small.
 */
export function planMemory(
  input: PromptInput,
  engines: Readonly<{
    /** Engines that prefill a part. */
    chosen: readonly Candidate[];
    /** Engines that may only help with their memory. */
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
 * A long prompt is answered beside a few streams like its own rather than on an empty engine.
 * Load pattern: a wave of long prompts. Each answer that has an engine to itself is one engine fewer whose parts
 * make no one wait.
 */
function answerCost(candidate: Candidate): number {
  const { sensitiveStreams: sensitive, ownJobs: own } = candidate.load;
  const packs = own > sensitive && own < MAX_PACKED_STREAMS;
  return sensitive * SENSITIVE_WEIGHT + (packs ? -own : own);
}
