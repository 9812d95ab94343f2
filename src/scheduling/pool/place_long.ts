import type { Millis } from "../../core/time.ts";
import { type Candidate, handicapMs, type PromptChoice } from "./candidate.ts";
import { passMs, prefillMs } from "./engine_pace.ts";
import type { MemoryTicket } from "./pool_job.ts";

/** Engines that may prefill parts of one prompt besides the one that answers; the protocol's limit. */
export const MAX_HELPERS = 16;
/** What each further engine must save of the predicted time to be worth taking part. */
const HELPER_MS: Millis = 12;
/** What a prefill beside one tight stream costs, for each ms that its pass exceeds the stream's pause. */
const PAUSE_WEIGHT = 0.35;
/** Pause that a part may cause tight streams without making their events late, a pass of writing left out. */
const TIGHT_PART_MS: Millis = 150;
/** Fixed cost, in predicted time, of a part on an engine with tight streams. */
const TIGHT_MS: Millis = 60;
/** Part of an engine's memory that is planned with; the rest is for what is not known here. */
const MEMORY_SHARE = 0.94;

/** Engines for a long prompt, with the predicted time to its first event. */
export type LongPlace = Readonly<{
  engine: Candidate;
  helpers: readonly Candidate[];
  tickets: readonly MemoryTicket[];
  partMs: Millis;
  expectMs: Millis;
}>;

/**
 * Chooses the engines that prefill a long prompt in even parts.
 * Load pattern: a wave of long prompts beside short streams. More engines end the prefill sooner and keep each
 * part under the pauses of the streams beside it; engines whose streams bear no pause come last.
 */
export function placeLong(choice: PromptChoice): LongPlace | undefined {
  const { ask, pace, now } = choice;
  const total = prefillMs(pace, ask.promptTokens);
  const ranked = choice.candidates
    .map((engine) => ({
      engine,
      startMs: engine.load.waitMs(now) + handicapMs(choice, engine) +
        (engine.load.tight > 0 ? TIGHT_MS : 0),
    }))
    .sort((a, b) => a.startMs - b.startMs);
  let best: { count: number; cost: Millis; expectMs: Millis } | undefined;
  let tight = 0;
  const most = Math.min(ranked.length, MAX_HELPERS + 1);
  for (let count = 1; count <= most; count += 1) {
    const last = ranked[count - 1]!;
    tight += last.engine.load.tight;
    const partMs = total / count;
    const expectMs = last.startMs + partMs +
      passMs(pace, last.engine.load.own + 1, ask.promptTokens);
    const pauseMs = Math.max(0, partMs - TIGHT_PART_MS);
    const cost = expectMs + count * HELPER_MS + tight * pauseMs * PAUSE_WEIGHT;
    if (best === undefined || cost < best.cost) {
      best = { count, cost, expectMs };
    }
  }
  if (best === undefined) return undefined;
  const chosen = ranked.slice(0, best.count).map((one) => one.engine);
  const rest = ranked.slice(best.count).map((one) => one.engine);
  const memory = planMemory(choice, chosen, rest);
  if (memory === undefined) return undefined;
  const { engine, helpers, tickets } = memory;
  const partMs = total / (helpers.length + 1);
  return { engine, helpers, tickets, partMs, expectMs: best.expectMs };
}

type MemoryPlan = Readonly<{
  engine: Candidate;
  helpers: readonly Candidate[];
  tickets: readonly MemoryTicket[];
}>;

/** Chooses who answers and, where its memory is too small, which helpers hold the rest. */
function planMemory(
  choice: PromptChoice,
  chosen: readonly Candidate[],
  rest: readonly Candidate[],
): MemoryPlan | undefined {
  const { ask, pace } = choice;
  const need = ask.promptTokens + ask.answerTokens;
  const limit = pace.memoryTokens * MEMORY_SHARE;
  const free = (one: Candidate) => Math.max(0, limit - one.load.memoryTokens);
  const helpers = [...chosen].sort((a, b) =>
    answerCost(a) - answerCost(b) || free(b) - free(a)
  );
  const able = helpers.find((one) => free(one) >= need);
  const engine = able ?? [...helpers].sort((a, b) => free(b) - free(a))[0]!;
  const others = helpers.filter((one) => one !== engine);
  if (able !== undefined) return { engine, helpers: others, tickets: [] };
  let missing = need - free(engine);
  const tickets: MemoryTicket[] = [];
  const pool = [...others, ...rest].sort((a, b) => free(b) - free(a));
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
  return {
    engine,
    helpers: [...first, ...second].slice(0, MAX_HELPERS),
    tickets,
  };
}

/** A long prompt is answered where few streams write, as each of its steps reads a long context. */
function answerCost(one: Candidate): number {
  return one.load.tight * 4 + one.load.own;
}
