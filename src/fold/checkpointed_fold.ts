import type { Offset } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";

/** A change with its offset and time in the stream. */
export type LoggedChange<Change> = Readonly<{
  offset: Offset;
  at: Timestamp;
  change: Change;
}>;

/** Outcome of a change's compare-and-set, with the state after it, or against which it was rejected. */
export type Decision<State, Change> =
  & LoggedChange<Change>
  & Readonly<{ accepted: boolean; state: State }>;

/** The state after all records below `covers`. */
export type Checkpoint<State> = Readonly<{ covers: Offset; state: State }>;

const MAX_PENDING_CHANGES = 256;

/**
 * A deterministic fold over a stream whose old records expire. A reader that starts after offset 0 has no state until
 * it reads a checkpoint that covers its start; changes before that checkpoint are queued. Once the state is known,
 * checkpoints are ignored, so that a late or duplicate checkpoint has no effect.
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
  /** Returns the state after a change, or undefined if the change loses its compare-and-set. */
  protected abstract apply(
    state: State,
    logged: LoggedChange<Change>,
  ): State | undefined;

  /** The state, once it is known. */
  get state(): State | undefined {
    return this.#state;
  }

  /** Restarts at the oldest record that is still kept. */
  restart(first: Offset): void {
    this.#start = first;
    this.#covers = first;
    this.#state = first === 0 ? this.initial() : undefined;
    this.#pending = [];
  }

  /** Folds a change; while the state is unknown the change is queued and no decision returned. */
  foldChange(logged: LoggedChange<Change>): readonly Decision<State, Change>[] {
    if (logged.offset < this.#covers) return [];
    if (this.#state === undefined) {
      this.#addPending(logged);
      return [];
    }
    return [this.#decide(this.#state, logged)];
  }

  /** Applies a checkpoint only if the state is unknown and no record between it and the reader's start is missing. */
  applyCheckpoint(
    checkpoint: Checkpoint<State>,
  ): readonly Decision<State, Change>[] {
    if (this.#state !== undefined || checkpoint.covers < this.#start) return [];
    this.#state = checkpoint.state;
    this.#covers = checkpoint.covers;
    const later = this.#pending.filter((logged) =>
      logged.offset >= checkpoint.covers
    );
    this.#pending = [];
    return later.map((logged) => this.#decide(this.#state as State, logged));
  }

  #decide(state: State, logged: LoggedChange<Change>): Decision<State, Change> {
    const after = this.apply(state, logged);
    if (after !== undefined) this.#state = after;
    return { ...logged, accepted: after !== undefined, state: after ?? state };
  }

  /** Queues a change; dropping the oldest moves the start past it, so that no checkpoint below the gap is applied. */
  #addPending(logged: LoggedChange<Change>): void {
    this.#pending.push(logged);
    if (this.#pending.length <= MAX_PENDING_CHANGES) return;
    const oldest = this.#pending.shift();
    if (oldest !== undefined) this.#start = (oldest.offset + 1) as Offset;
  }
}
