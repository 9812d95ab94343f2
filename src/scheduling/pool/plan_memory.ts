import type { Candidate, PromptChoice } from "./candidate.ts";
import type { MemoryTicket } from "./pool_job.ts";

/** Engines that may prefill parts of one prompt besides the one that answers; the protocol's limit. */
export const MAX_HELPERS = 16;
/** Part of an engine's memory that is planned with; the rest is for what is not known here. */
export const MEMORY_SHARE = 0.94;
/** A stream that accepts only short pauses counts as much as these others where a long prompt is answered. */
const SENSITIVE_WEIGHT = 4;

/** Streams that are gathered on one engine; more of them would make each of its steps slower. */
const GATHERED_STREAMS = 3;

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
  choice: PromptChoice,
  engines: Readonly<{
    /** Engines that prefill a part. */
    chosen: readonly Candidate[];
    /** Engines that may only help with their memory. */
    rest: readonly Candidate[];
  }>,
): MemoryPlan | undefined {
  const { ask, pace } = choice;
  const need = ask.promptTokens + ask.answerTokens;
  const limit = pace.memoryTokens * MEMORY_SHARE;
  const free = (one: Candidate) => Math.max(0, limit - one.load.memoryTokens);
  const byFree = (a: Candidate, b: Candidate) => free(b) - free(a);
  const ranked = [...engines.chosen].sort((a, b) =>
    answerCost(a) - answerCost(b) || byFree(a, b)
  );
  const able = ranked.find((one) => free(one) >= need);
  const engine = able ?? [...ranked].sort(byFree)[0];
  if (engine === undefined) return undefined;
  const others = ranked.filter((one) => one !== engine);
  if (able !== undefined) {
    return { engine, helpers: others.slice(0, MAX_HELPERS), tickets: [] };
  }
  let missing = need - free(engine);
  const tickets: MemoryTicket[] = [];
  const pool = [...others, ...engines.rest].sort(byFree);
  for (const one of pool) {
    if (missing <= 0 || tickets.length === MAX_HELPERS) break;
    const tokens = Math.floor(Math.min(missing, free(one)));
    if (tokens <= 0) break;
    tickets.push({ upstream: one.id, tokens });
    missing -= tokens;
  }
  if (missing > 0) return undefined;
  const holders = new Set(tickets.map((ticket) => ticket.upstream));
  const first = pool.filter((one) => holders.has(one.id));
  const second = others.filter((one) => !holders.has(one.id));
  const helpers = [...first, ...second].slice(0, MAX_HELPERS);
  return { engine, helpers, tickets };
}

/**
 * A long prompt is answered beside a few streams like its own rather than on an empty engine.
 * Load pattern: a wave of long prompts. Each answer that has an engine to itself is one engine fewer whose parts
 * make no one wait.
 */
function answerCost(one: Candidate): number {
  const { sensitive, own } = one.load;
  const gathers = own > sensitive && own < GATHERED_STREAMS;
  return sensitive * SENSITIVE_WEIGHT + (gathers ? -own : own);
}
