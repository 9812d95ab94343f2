import type { Blackboard } from "../board/blackboard.ts";
import type { Controller } from "./controller.ts";
import type { Event } from "./event.ts";
import type { Intent } from "./intent.ts";
import type { Random } from "./random.ts";
import { earliest, type Timestamp } from "./time.ts";

/** Limit of passes over the controllers within one step, so that every step ends; the next step is then due at once. */
const MAX_PASSES = 8;

/** Intents of one step, and when the next step is due if no event arrives before. */
export type StepResult = Readonly<
  { intents: readonly Intent[]; wakeAt: Timestamp | undefined }
>;

/** State, controllers and random source of a `Core`. */
export type CoreParts = Readonly<{
  board: Blackboard;
  controllers: readonly Controller[];
  random: Random;
}>;

/** Makes all decisions of one daemon; does no I/O and never reads a clock. */
export class Core {
  readonly #parts: CoreParts;

  private constructor(parts: CoreParts) {
    this.#parts = parts;
  }

  static create(parts: CoreParts): Core {
    return new Core(parts);
  }

  get board(): Blackboard {
    return this.#parts.board;
  }

  /** Folds events into the board at `now` and returns the resulting intents. */
  step(now: Timestamp, events: readonly Event[]): StepResult {
    const intents: Intent[] = [];
    let wakeAt: Timestamp | undefined;
    let repeat = true;
    for (let pass = 0; repeat && pass < MAX_PASSES; pass += 1) {
      repeat = false;
      const passEvents = pass === 0 ? events : [];
      for (const controller of this.#parts.controllers) {
        controller.step(this.#parts.board, {
          now,
          events: passEvents,
          random: this.#parts.random,
          counters: this.#parts.board.counters,
          emit: (intent) => intents.push(intent),
          repeat: () => repeat = true,
          wakeAt: (time) => wakeAt = earliest(wakeAt, time),
        });
      }
    }
    return { intents, wakeAt: repeat ? now : wakeAt };
  }
}
