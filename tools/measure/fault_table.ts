import { MINUTE_MS, SECOND_MS, type Timestamp } from "../../src/core/time.ts";
import type { Fleet } from "./fleet.ts";
import type { Arrival } from "./workload.ts";

const CRASH_EVERY_MS = 2 * MINUTE_MS;
const CRASH_DOWN_MS = 20 * SECOND_MS;
const KILL_EVERY_MS = 3 * MINUTE_MS;
const KILL_DOWN_MS = 20 * SECOND_MS;
const LEAVE_EVERY_MS = 5 * MINUTE_MS;
const LEAVE_AWAY_MS = MINUTE_MS;
/** A poison prompt's client sends it again this often during one minute. */
const POISON_AGAIN_MS = 5 * SECOND_MS;
const POISON_MS = MINUTE_MS;

/** Sets the faults of docs/ENGINE_MODEL.md for the window that starts at `zero`. */
export function scheduleFaults(
  fleet: Fleet,
  zero: Timestamp,
  options: Readonly<{ windowMs: number; poison: Arrival }>,
): void {
  const { windowMs, poison } = options;
  every(CRASH_EVERY_MS, windowMs, (at) => {
    fleet.clock.at(zero + at, () => {
      fleet.crashEngine(pickEngine(fleet), CRASH_DOWN_MS);
    });
  });
  every(KILL_EVERY_MS, windowMs, (at) => {
    fleet.clock.at(zero + at, () => {
      const index = fleet.below(fleet.daemons.length);
      fleet.killDaemon(index, KILL_DOWN_MS);
    });
  });
  every(LEAVE_EVERY_MS, windowMs, (at) => {
    fleet.clock.at(zero + at, () => {
      fleet.leaveEngine(pickEngine(fleet), LEAVE_AWAY_MS);
    });
  });
  const poisonFrom = windowMs / 2;
  every(POISON_AGAIN_MS, POISON_MS, (at) => {
    fleet.clock.at(zero + poisonFrom + at, () => {
      fleet.arrive({ ...poison, client: poison.client + at });
    });
  });
}

function every(
  stepMs: number,
  endMs: number,
  schedule: (at: number) => void,
): void {
  for (let at = stepMs / 2; at < endMs; at += stepMs) schedule(at);
}

function pickEngine(fleet: Fleet) {
  const up = [...fleet.engines.values()].filter((one) => one.up);
  return up[fleet.below(up.length)]!.id;
}
