import type { Offset } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";

/** A change and its place in the stream. */
export type Placed<Change> = Readonly<{
  offset: Offset;
  at: Timestamp;
  change: Change;
}>;

/** What the fold decided about a change: taken, refused against `state`, or not known yet. */
export type Decision<State, Change> =
  & Placed<Change>
  & Readonly<{ taken: boolean; state: State }>;

/** A state that holds after all records below `covers`. */
export type Checkpoint<State> = Readonly<{ covers: Offset; state: State }>;

const MAX_WAITING = 256;

/**
 * A deterministic fold over a stream whose old records expire. A reader that starts after offset 0 knows
 * nothing until it finds a checkpoint that covers its start; changes read before that wait for it. A reader
 * that knows the state takes nothing from a checkpoint, so that a late or doubled one has no effect.
 */
export abstract class CheckpointedFold<State, Change> {
  #start = 0 as Offset;
  #covers = 0 as Offset;
  #state: State | undefined;
  #waiting: Placed<Change>[] = [];

  protected constructor(initial: State) {
    this.#state = initial;
  }

  /** The state before any record. */
  protected abstract initial(): State;
  /** Returns the state after a change, or nothing where the change loses its compare-and-set. */
  protected abstract apply(
    state: State,
    placed: Placed<Change>,
  ): State | undefined;

  /** The state, once it is known. */
  get state(): State | undefined {
    return this.#state;
  }

  /** Starts over at the oldest record that is still kept. */
  restart(first: Offset): void {
    this.#start = first;
    this.#covers = first;
    this.#state = first === 0 ? this.initial() : undefined;
    this.#waiting = [];
  }

  /** Folds a change; while the state is unknown the change waits and nothing is decided. */
  change(placed: Placed<Change>): readonly Decision<State, Change>[] {
    if (placed.offset < this.#covers) return [];
    if (this.#state === undefined) {
      this.#wait(placed);
      return [];
    }
    return [this.#decide(this.#state, placed)];
  }

  /** Takes a checkpoint only where the state is unknown and nothing below it is missing. */
  checkpoint(
    checkpoint: Checkpoint<State>,
  ): readonly Decision<State, Change>[] {
    if (this.#state !== undefined || checkpoint.covers < this.#start) return [];
    this.#state = checkpoint.state;
    this.#covers = checkpoint.covers;
    const later = this.#waiting.filter((placed) =>
      placed.offset >= checkpoint.covers
    );
    this.#waiting = [];
    return later.map((placed) => this.#decide(this.#state as State, placed));
  }

  #decide(state: State, placed: Placed<Change>): Decision<State, Change> {
    const after = this.apply(state, placed);
    if (after !== undefined) this.#state = after;
    return { ...placed, taken: after !== undefined, state: after ?? state };
  }

  /** Forgetting the oldest waiting change moves the start past it, so that no gap is folded over. */
  #wait(placed: Placed<Change>): void {
    this.#waiting.push(placed);
    if (this.#waiting.length <= MAX_WAITING) return;
    const oldest = this.#waiting.shift();
    if (oldest !== undefined) this.#start = (oldest.offset + 1) as Offset;
  }
}
