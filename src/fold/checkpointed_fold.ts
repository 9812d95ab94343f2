import type { Offset } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";

/** A change and its place in the stream. */
export type LoggedChange<Change> = Readonly<{
  offset: Offset;
  at: Timestamp;
  change: Change;
}>;

/** What the fold decided about a change: taken, refused against `state`, or not known yet. */
export type Decision<State, Change> =
  & LoggedChange<Change>
  & Readonly<{ accepted: boolean; state: State }>;

/** A state that holds after all records below `covers`. */
export type Checkpoint<State> = Readonly<{ covers: Offset; state: State }>;

const MAX_PENDING_CHANGES = 256;

/**
 * A deterministic fold over a stream whose old records expire. A reader that starts after offset 0 knows
 * nothing until it finds a checkpoint that covers its start; changes read before that wait for it. A reader
 * that knows the state takes nothing from a checkpoint, so that a late or doubled one has no effect.
 */
export abstract class CheckpointedFold<State, Change> {
  #start = 0 as Offset;
  #covers = 0 as Offset;
  #state: State | undefined;
  #pending: LoggedChange<Change>[] = [];

  protected constructor(initial: State) {
    this.#state = initial;
  }

  /** The state before any record. */
  protected abstract initial(): State;
  /** Returns the state after a change, or nothing where the change loses its compare-and-set. */
  protected abstract apply(
    state: State,
    logged: LoggedChange<Change>,
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
    this.#pending = [];
  }

  /** Folds a change; while the state is unknown the change waits and nothing is decided. */
  foldChange(logged: LoggedChange<Change>): readonly Decision<State, Change>[] {
    if (logged.offset < this.#covers) return [];
    if (this.#state === undefined) {
      this.#addPending(logged);
      return [];
    }
    return [this.#decide(this.#state, logged)];
  }

  /** Takes a checkpoint only where the state is unknown and nothing below it is missing. */
  checkpoint(
    checkpoint: Checkpoint<State>,
  ): readonly Decision<State, Change>[] {
    if (this.#state !== undefined || checkpoint.covers < this.#start) return [];
    this.#state = checkpoint.state;
    this.#covers = checkpoint.covers;
    const later = this.#pending.filter((logged) =>
      logged.offset >= checkpoint.covers
    );
    this.#pending = [];
    return later.map((placed) => this.#decide(this.#state as State, placed));
  }

  #decide(state: State, logged: LoggedChange<Change>): Decision<State, Change> {
    const after = this.apply(state, logged);
    if (after !== undefined) this.#state = after;
    return { ...logged, accepted: after !== undefined, state: after ?? state };
  }

  /** Forgetting the oldest waiting change moves the start past it, so that no gap is folded over. */
  #addPending(logged: LoggedChange<Change>): void {
    this.#pending.push(logged);
    if (this.#pending.length <= MAX_PENDING_CHANGES) return;
    const oldest = this.#pending.shift();
    if (oldest !== undefined) this.#start = (oldest.offset + 1) as Offset;
  }
}
