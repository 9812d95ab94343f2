import type { Millis } from "../../src/core/time.ts";
import { MINUTE_MS, SECOND_MS } from "../../src/core/time.ts";

export const SCENARIO_NAMES = ["cooperative", "faro", "size"] as const;
/** A scenario of the measuring tool. */
export type ScenarioName = typeof SCENARIO_NAMES[number];

/** What a scenario's fleet and load look like. */
export type Scenario = Readonly<{
  name: ScenarioName;
  daemons: number;
  engines: number;
  domains: number;
  teams: number;
  /** Whether the teams share their prefixes. */
  sharedCatalogue: boolean;
  /** Whether one team sends half of the prompts during each swing. */
  flood: boolean;
  /** Offered rate over capacity, `at` milliseconds after the start of the measured window. */
  rate: (load: number, at: Millis, windowMs: Millis) => number;
}>;

/** Time in which a swing rises or falls. */
const RISE_MS = 2 * SECOND_MS;
const SWING_FACTOR = 5;
const SWING_MS = 6 * SECOND_MS;
const SWING_EVERY_MS = 2 * MINUTE_MS;
const CREST_RATE = 2;
const CREST_MS = MINUTE_MS;

const FLEET = { daemons: 15, domains: 3, teams: 10 };

/** The scenarios by name. */
export const SCENARIOS: Readonly<Record<ScenarioName, Scenario>> = {
  cooperative: {
    ...FLEET,
    name: "cooperative",
    engines: 16,
    sharedCatalogue: false,
    flood: true,
    rate: swingRate,
  },
  faro: {
    ...FLEET,
    name: "faro",
    engines: 16,
    sharedCatalogue: true,
    flood: false,
    rate: crestRate,
  },
  size: {
    ...FLEET,
    name: "size",
    engines: 52,
    sharedCatalogue: false,
    flood: false,
    rate: (load) => load,
  },
};

/** Returns whether a swing is under way. */
export function inSwing(at: Millis): boolean {
  const phase = swingPhase(at);
  return phase >= 0 && phase < SWING_MS + 2 * RISE_MS;
}

function swingRate(load: number, at: Millis): number {
  const height = plateau(swingPhase(at), SWING_MS);
  return load * (1 + (SWING_FACTOR - 1) * height);
}

function crestRate(load: number, at: Millis, windowMs: Millis): number {
  const height = plateau(at - windowMs / 3, CREST_MS);
  return load + (CREST_RATE - load) * height;
}

function swingPhase(at: Millis): Millis {
  const shifted = at - SWING_EVERY_MS / 2;
  if (shifted < 0) return -1;
  return shifted % SWING_EVERY_MS;
}

/** Returns 0 to 1: a rise, `holdMs` at the top, a fall. */
function plateau(phase: Millis, holdMs: Millis): number {
  const rise = phase / RISE_MS;
  const fall = (holdMs + 2 * RISE_MS - phase) / RISE_MS;
  return Math.max(0, Math.min(1, rise, fall));
}
