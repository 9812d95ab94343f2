import type { Blackboard } from "../board/blackboard.ts";
import type { Controller } from "./controller.ts";
import type { Event } from "./event.ts";
import type { Intent } from "./intent.ts";
import type { Random } from "./random.ts";
import { earliest, type Timestamp } from "./time.ts";

/** Passes over the controllers within one step; a bound, so that no step runs for ever. */
const MAX_PASSES = 8;

/** What one step decided, and when the next one is due without any event. */
export type StepResult = Readonly<
  { intents: readonly Intent[]; wakeAt: Timestamp | undefined }
>;

/** What a core is made of. */
export type CoreParts = Readonly<{
  board: Blackboard;
  controllers: readonly Controller[];
  random: Random;
}>;

/** All decisions of one daemon; it does no I/O and never reads a clock. */
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

  /** Folds events into the board at `now` and returns what is to be done. */
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
