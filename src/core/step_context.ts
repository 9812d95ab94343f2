import type { Counters } from "./counters.ts";
import type { Event } from "./event.ts";
import type { Intent } from "./intent.ts";
import type { Random } from "./random.ts";
import type { Timestamp } from "./time.ts";

/** Input and callbacks of a controller in one step, besides the blackboard. */
export type StepContext = Readonly<{
  now: Timestamp;
  /** The events of this step; empty in the repeat passes of the same step. */
  events: readonly Event[];
  random: Random;
  counters: Counters;
  emit: (intent: Intent) => void;
  /** Requests one more pass over all controllers in this step. */
  repeat: () => void;
  /** Requests the next step at this time at the latest. */
  wakeAt: (time: Timestamp) => void;
}>;
