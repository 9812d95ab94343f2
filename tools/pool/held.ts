import { Random } from "../../src/core/random.ts";
import type { PromptPartId } from "../../src/core/id.ts";
import {
  type EnginePace,
  passMs,
  prefillMs,
} from "../../src/scheduling/pool/engine_pace.ts";
import { ENGINE_PACE } from "../../src/testing/pool_fixtures.ts";
import { play, type Served } from "./play.ts";
import { ScheduledPolicy } from "./policies.ts";
import { type Arrival, drawArrivals, KINDS } from "./workload.ts";

const ENGINES = 16;
const HELD_MS = 10_000;
const PLAY_MS = 20_000;
/** Beginnings that prompts have in common; the i-th is drawn in proportion to 1 / i. */
const BEGINNINGS = 50;
const SHORT = KINDS[0]!;
const ANSWER_TOKENS = SHORT.events * ENGINE_PACE.stride;

/** Fraction of each prompt that others have in common, and the load relative to capacity without holding. */
export type HeldCase = Readonly<{ share: number; load: number }>;

/** Times to the first event of the prompts that were served, in ms, and the fraction that was served in time. */
export type HeldResult = Readonly<
  { p50: number; p99: number; inTime: number }
>;

/** Plays the same drawn loads with placement that knows what engines hold, and with one that doesn't. */
export function compareHeld(
  { share, load }: HeldCase,
  seeds: number,
): Readonly<{ with: HeldResult; without: HeldResult }> {
  const pace = { ...ENGINE_PACE, heldMs: HELD_MS };
  const served = (known: EnginePace) =>
    Array.from({ length: seeds }, (_, seed) => {
      const rate = load * capacityPerSecond(pace) / SHORT.perSecond;
      const phase = { ms: PLAY_MS, factors: [rate, 1e-9, 1e-9] };
      const arrivals = withBeginnings(drawArrivals([phase], seed + 1), {
        share,
        seed: seed + 1,
      });
      return play(arrivals, () => ScheduledPolicy.create(), {
        pool: { engines: ENGINES, pace: known },
        heldMs: HELD_MS,
      });
    }).flat();
  return {
    with: resultOf(served(pace)),
    without: resultOf(served(ENGINE_PACE)),
  };
}

/** Short prompts a second that the engines serve with full batches, without holding. */
function capacityPerSecond(pace: EnginePace): number {
  const tokens = pace.slots * (SHORT.meanTokens + ANSWER_TOKENS);
  const batchMs = SHORT.events * passMs(pace, pace.slots, tokens) +
    pace.slots * prefillMs(pace, SHORT.meanTokens);
  return ENGINES * pace.slots / batchMs * 1_000;
}

/** Gives each prompt a beginning of `share` of the mean size, and makes its own part so much smaller. */
function withBeginnings(
  arrivals: readonly Arrival[],
  options: Readonly<{ share: number; seed: number }>,
): readonly Arrival[] {
  const { share, seed } = options;
  const random = Random.create(seed);
  const common = Math.round(share * SHORT.meanTokens);
  return arrivals.map((arrival, i) => {
    const own = Math.max(1, Math.round(arrival.tokens * (1 - share)));
    const beginning = drawBeginning(random);
    const parts = [
      { id: beginning as PromptPartId, tokens: common },
      { id: `own-${i}` as PromptPartId, tokens: own },
    ].filter(({ tokens }) => tokens > 0);
    return { ...arrival, tokens: common + own, parts };
  });
}

function drawBeginning(random: Random): string {
  const weights = Array.from({ length: BEGINNINGS }, (_, i) => 1 / (i + 1));
  let left = random.next() * weights.reduce((a, b) => a + b, 0);
  const drawn = weights.findIndex((weight) => (left -= weight) <= 0);
  return `common-${drawn}`;
}

function resultOf(served: readonly Served[]): HeldResult {
  const first = served.map(({ firstMs }) => firstMs).filter((ms) => ms > 0)
    .sort((a, b) => a - b);
  const at = (part: number) =>
    first[Math.floor(part * (first.length - 1))] ?? 0;
  const inTime = served.filter(({ outcome }) => outcome === "in_time").length;
  return { p50: at(0.5), p99: at(0.99), inTime: inTime / served.length };
}
