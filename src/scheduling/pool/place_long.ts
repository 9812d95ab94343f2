import type { Millis } from "../../core/time.ts";
import { streamTimeoutMs } from "./caller_timeout.ts";
import { type Candidate, penaltyMs, type PromptChoice } from "./candidate.ts";
import { passMs, prefillMs } from "./engine_pace.ts";
import { MAX_HELPERS, planMemory } from "./plan_memory.ts";
import type { MemoryTicket } from "./pool_job.ts";
import { isSlow } from "./upstream_load.ts";

/** Prefill that may still be left on an engine that counts as free; a part that ends well within a pass. */
const FREE_MS: Millis = 20;
/** Part of the engines without sensitive streams that are enough for the longest prompt. */
const ENOUGH_FREE = 0.5;
/** Prefill for which one engine more is waited for. */
const WAIT_PART_MS: Millis = 500;
/** Part of the engines that is kept free of larger parts, for short prompts that come meanwhile. */
const SPARE_ENGINES = 0.125;
/** A part that a short prompt can wait for. */
const SMALL_PART_MS: Millis = 150;
/** Costs, in tokens that are late, of each ms until the first event, and of each ms of prefill beside a stream. */
const FINISH_COST = 30;
const BESIDE_COST = 1;
/** Tokens that any stream counts at least, as short ones are worth more than their size. */
const STREAM_TOKENS = 5_000;
/** Part of the time that waiting for more engines has to leave of a late answer. */
const WORTH_WAITING = 0.8;
/** How much worse a stream that is given up for its silence is than a late one: all of it is read and written again. */
const BROKEN = 3;
/** What predictions may be off. */
const MARGIN_MS: Millis = 20;

/** Engines for a long prompt, with the predicted time to its first event. */
export type LongPlace = Readonly<{
  engine: Candidate;
  helpers: readonly Candidate[];
  tickets: readonly MemoryTicket[];
  partMs: Millis;
  expectMs: Millis;
}>;

/** Why a long prompt gets no place now. */
export type NoLongPlace = "busy" | "no_memory";

/**
 * Chooses the engines that prefill a long prompt in even parts, out of those that are free.
 * Load pattern: a wave of long prompts beside short streams. More engines end the prefill sooner; but a part that
 * is longer than the pause which the streams beside it accept makes them late, so that engines with such streams
 * take small parts or none.
 */
export function placeLong(
  choice: PromptChoice,
  options: Readonly<{ dueInMs: Millis; endsInMs: Millis }>,
): LongPlace | NoLongPlace {
  const { ask, pace, now } = choice;
  const candidates = trusted(choice).filter(mayHelp);
  const free = candidates.filter((one) => one.load.waitMs(now) <= FREE_MS);
  const tolerant = (one: Candidate) => one.load.sensitive === 0;
  const tolerantFree = free.filter(tolerant).length;
  const total = prefillMs(pace, ask.promptTokens);
  const wanted = enginesWanted(candidates.filter(tolerant).length, total);
  if (free.length === 0 || tolerantFree < wanted) return "busy";
  const ranked = [...free].sort((a, b) =>
    a.load.sensitive - b.load.sensitive ||
    penaltyMs(choice, a) - penaltyMs(choice, b) || a.load.own - b.load.own
  );
  let best:
    | { chosen: readonly Candidate[]; cost: number; expectMs: Millis }
    | undefined;
  const all = Math.min(ranked.length, MAX_HELPERS + 1);
  const spare = enginesToSpare(candidates);
  const most = total / all <= SMALL_PART_MS
    ? all
    : Math.max(1, Math.min(all, ranked.length - spare));
  for (let count = 1; count <= most; count += 1) {
    const partMs = total / count;
    const pass = passMs(pace, ranked[0]!.load.own + 1, ask.promptTokens);
    const chosen = leastHarmed(ranked, { count, partMs, pass });
    const faults = Math.max(...chosen.map((one) => penaltyMs(choice, one)));
    const expectMs = FREE_MS / 2 + partMs + pass + faults;
    if (expectMs > options.endsInMs) continue;
    const late = expectMs > options.dueInMs ? ask.promptTokens : 0;
    let harm = 0;
    for (const one of chosen) harm += harmOf(one, partMs, pass);
    const cost = late + harm + expectMs * FINISH_COST;
    if (best === undefined || cost < best.cost) {
      best = { chosen, cost, expectMs };
    }
  }
  if (best === undefined) return "busy";
  if (best.expectMs > options.dueInMs) {
    const waitedMs = waitedExpectMs(choice, { total, spare });
    if (waitedMs < best.expectMs * WORTH_WAITING) return "busy";
  }
  const { chosen } = best;
  const memory = planMemory(choice, {
    chosen,
    rest: candidates.filter((one) => !chosen.includes(one)),
  });
  if (memory === undefined) return "no_memory";
  const partMs = total / (memory.helpers.length + 1);
  return { ...memory, partMs, expectMs: best.expectMs };
}

/** The engines whose streams a part of this length makes late least, in the given order otherwise. */
function leastHarmed(
  ranked: readonly Candidate[],
  part: Readonly<{ count: number; partMs: Millis; pass: Millis }>,
): readonly Candidate[] {
  const { count, partMs, pass } = part;
  const harms = new Map(ranked.map((one) => [one, harmOf(one, partMs, pass)]));
  return [...ranked].sort((a, b) => harms.get(a)! - harms.get(b)!)
    .slice(0, count);
}

/** Leaves out engines that have just failed or are slow, unless most are: the slowest part holds up the whole prompt. */
function trusted(choice: PromptChoice): readonly Candidate[] {
  const { candidates, now } = choice;
  const rest = candidates.filter(({ load }) =>
    !load.isSuspect(now) && !isSlow(load.paceAt(now))
  );
  return rest.length >= candidates.length / 2 ? rest : candidates;
}

/** An engine rejects a part, and with it the whole prompt, while it helps as many others as it has slots. */
function mayHelp(one: Candidate): boolean {
  return one.load.helping < one.slots;
}

/** Engines without sensitive streams that are left to short prompts, where those have fewer than their part already. */
function enginesToSpare(candidates: readonly Candidate[]): number {
  const sensitive = candidates.filter((one) => one.load.sensitive > 0).length;
  return Math.max(0, Math.ceil(candidates.length * SPARE_ENGINES) - sensitive);
}

/** Free engines that a prompt waits for, of those that bear long parts. */
function enginesWanted(tolerant: number, totalMs: Millis): number {
  return Math.min(
    Math.ceil(tolerant * ENOUGH_FREE),
    Math.ceil(totalMs / WAIT_PART_MS),
  );
}

/** Times until the engines without sensitive streams are free, the shortest first. */
function tolerantWaits(choice: PromptChoice): readonly Millis[] {
  return trusted(choice).filter((one) => one.load.sensitive === 0)
    .map((one) => one.load.waitMs(choice.now)).sort((a, b) => a - b);
}

/** Time until enough engines are free for a prompt, as far as is known. */
export function freeInMs(choice: PromptChoice): Millis {
  const waits = tolerantWaits(choice);
  const total = prefillMs(choice.pace, choice.ask.promptTokens);
  const wanted = enginesWanted(waits.length, total);
  return waits[wanted - 1] ?? 0;
}

/**
 * Predicted time to the first event if the prompt waits until more engines are free.
 * Load pattern: a wave of long prompts, the largest of which comes while most engines read the one before it.
 */
function waitedExpectMs(
  choice: PromptChoice,
  options: Readonly<{ total: Millis; spare: number }>,
): Millis {
  const waits = tolerantWaits(choice);
  const most = Math.min(MAX_HELPERS + 1, waits.length - options.spare);
  const expects = waits.slice(0, Math.max(1, most))
    .map((wait, i) =>
      wait <= FREE_MS ? Infinity : wait + options.total / (i + 1)
    );
  return Math.min(...expects) + passMs(choice.pace, 1, choice.ask.promptTokens);
}

/** Tokens of the streams on an engine that a part makes late, and what a part costs beside others. */
function harmOf(one: Candidate, partMs: Millis, pass: Millis): number {
  let harm = 0;
  for (const job of one.load.jobs.values()) {
    if (job.upstream !== one.id || job.kind !== "prompt") continue;
    const silenceMs = partMs + pass + MARGIN_MS;
    const harmed = STREAM_TOKENS + job.tokens;
    if (silenceMs > streamTimeoutMs(job.pauseMs)) harm += harmed * BROKEN;
    else if (silenceMs > job.pauseMs) harm += harmed;
    else harm += partMs * BESIDE_COST;
  }
  return harm;
}
