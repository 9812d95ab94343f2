import { clientSharesOf, type ProcessResources } from "./client_budget.ts";

/** What unfinished events may take, as a part of what is held for clients. */
const UNFINISHED_FRACTION = 1 / 4;

/** Bytes that the unfinished events of all upstreams may take of a process. */
export function unfinishedBytesOf(resources: ProcessResources): number {
  return Math.floor(clientSharesOf(resources).bytes * UNFINISHED_FRACTION);
}

/**
 * The unfinished event to give up when all of them together have `heldBytes`: the largest, of equal ones the first.
 * Undefined if they fit.
 *
 * Load pattern: many upstreams at once send bytes that complete no event. Sound streams have small events.
 */
export function chooseUnfinished<T extends Readonly<{ bytes: number }>>(
  events: Iterable<T>,
  state: Readonly<{ heldBytes: number; maxBytes: number }>,
): T | undefined {
  if (state.heldBytes <= state.maxBytes) return undefined;
  let chosen: T | undefined;
  for (const event of events) {
    if (event.bytes > (chosen?.bytes ?? 0)) chosen = event;
  }
  return chosen;
}

/** What the stream of one request holds of an event whose end has not arrived. */
export type UnfinishedEvent = {
  readonly bytes: number;
  /** Records the bytes that are held now; false if they are too many, and the stream is to be broken off. */
  hold: (bytes: number) => boolean;
};

/** Account of the unfinished events of all upstreams, which keeps them within a part of the process's memory. */
export class UnfinishedEvents {
  readonly #maxBytes: number;
  readonly #events = new Set<HeldEvent>();
  #heldBytes = 0;
  #givenUp = 0;

  private constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  static create(resources: ProcessResources): UnfinishedEvents {
    return new UnfinishedEvents(unfinishedBytesOf(resources));
  }

  /** Figures for the metrics. */
  get gauges(): Readonly<Record<string, number>> {
    return {
      unfinished_event_bytes: this.#heldBytes,
      unfinished_event_bytes_limit: this.#maxBytes,
      unfinished_events_given_up: this.#givenUp,
    };
  }

  /** Opens the account of one stream; `giveUp` breaks it off while the bytes of another stream are recorded. */
  open(giveUp: () => void): UnfinishedEvent {
    const event: HeldEvent = {
      bytes: 0,
      giveUp,
      hold: (bytes) => this.#hold(event, bytes),
    };
    return event;
  }

  #hold(event: HeldEvent, bytes: number): boolean {
    this.#set(event, bytes);
    for (;;) {
      const chosen = chooseUnfinished(this.#events, {
        heldBytes: this.#heldBytes,
        maxBytes: this.#maxBytes,
      });
      if (chosen === undefined) return true;
      this.#givenUp += 1;
      this.#set(chosen, 0);
      if (chosen === event) return false;
      chosen.giveUp();
    }
  }

  #set(event: HeldEvent, bytes: number): void {
    this.#heldBytes += bytes - event.bytes;
    event.bytes = bytes;
    if (bytes > 0) this.#events.add(event);
    else this.#events.delete(event);
  }
}

type HeldEvent = UnfinishedEvent & { bytes: number; giveUp: () => void };
