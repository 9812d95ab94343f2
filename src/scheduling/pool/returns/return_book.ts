import { evictOldest } from "../../../core/evict_oldest.ts";
import {
  addMs,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../../../core/time.ts";
import {
  keepsDeadline,
  type RefusalTimes,
} from "../admission/refused_callers.ts";
import { DemandMeter } from "../../demand_meter.ts";
import type { JobId, PlacementRequest } from "../pool_job.ts";
import { ReturnCounts } from "./return_counts.ts";

/** Shortest time that is told; a client can't retry sooner. */
const MIN_TOLD_MS: Millis = 50;
/** Largest part of its remaining time that a caller waits before it retries, as the platform specifies it. */
const MAX_WAIT_FRACTION = 1 / 3;
/** Time for which a booking is kept after the told time: the longest time that a client takes to connect. */
const KEPT_MS: Millis = SECOND_MS;
/** Accuracy of Retry-After, which is sent with two decimals. */
const TOLD_ACCURACY_MS: Millis = 10;
/** Time over which the demand of new callers is averaged; shorter than the wait until callers return. */
const DEMAND_WINDOW_MS: Millis = SECOND_MS;
/**
 * Least part of the engines that is booked. Returning callers are late; those who can be in time are to lose at most a
 * twentieth to them, of which half is booked, as the demand is an estimate.
 */
const MIN_BOOKED_PART = 0.025;
/** Bookings, and other told times, that are kept; a caller whose entry is gone returns as a new one. */
const MAX_ENTRIES = 4_096;
/** Bookings in one message to the deputy, so that it fits a datagram. */
const MAX_UNSENT = 256;

/** A refused prompt, with the engine time that it takes. */
export type RefusedPrompt = Readonly<{
  ask: Pick<PlacementRequest, "job" | "digest" | "leftMs">;
  engineMs: Millis;
  /** Number of engines of its service. */
  engines: number;
  /** Time until the present backlog would let it in. */
  freeInMs: Millis;
  /** Whether room may be booked for it. */
  mayBook: boolean;
}>;

/** The time that a refused caller is told to return in. */
export type ToldReturn = Readonly<{
  inMs: Millis;
  /** Whether room is booked for it; otherwise it returns as a new caller. */
  booked: boolean;
  /** Whether it was refused before. */
  isRepeat: boolean;
}>;

/** A booking for a caller, as the placing daemon sends it to its deputy. */
export type Booking = Readonly<
  { digest: string; leftMs: Millis; inMs: Millis; engineMs: Millis }
>;

/** Whether a caller who was told a time returned before it, or then; one who returns later is a new one. */
export type ReturnTime = "early" | "in_time";

/** What a caller was told when it was refused before. */
export type KnownReturn = Readonly<{ booked: boolean; came: ReturnTime }>;

type Caller = Pick<PlacementRequest, "digest" | "leftMs">;

type Entry =
  & RefusalTimes
  & Readonly<{
    job?: JobId;
    toldAt: Timestamp;
    booked: boolean;
    engineMs: Millis;
  }>;

/**
 * Books engine time for refused callers, and tells them when to return.
 * Load pattern: a crest of prompts beyond the engines' capacity, whose refused callers return once. Told the same time,
 * they return as a crest; told a time that follows from the room that new callers leave, they find that room, those
 * told first first.
 */
export class ReturnBook {
  readonly counts = ReturnCounts.create();
  readonly #bookings = new Map<string, Entry>();
  /** Told times without a booking. */
  readonly #unbooked = new Map<string, Entry>();
  readonly #demand = DemandMeter.create(DEMAND_WINDOW_MS);
  /** Digests of the bookings that the deputy doesn't know yet. */
  readonly #unsent = new Map<string, true>();
  #bookedUntil = 0 as Timestamp;
  /** How far ahead room is booked. */
  #horizonMs: Millis = Infinity;

  static create(): ReturnBook {
    return new ReturnBook();
  }

  /**
   * Sets the shortest time limit of the callers. Room is booked no further ahead than a third of it: otherwise callers
   * with more time would book all room before the others can.
   */
  setShortestTimeout(ms: Millis): void {
    this.#horizonMs = ms * MAX_WAIT_FRACTION;
  }

  /** Records the engine time that a new caller asks for. */
  recordDemand(engineMs: Millis, now: Timestamp): void {
    this.#demand.add(engineMs, now);
  }

  /** What a caller was told before, if it was. */
  known(caller: Caller, now: Timestamp): KnownReturn | undefined {
    const entry = this.#get(caller, now);
    if (entry === undefined) return undefined;
    const { booked, toldAt } = entry;
    return { booked, came: returnTimeOf(toldAt, now) };
  }

  /** Books room for a refused caller if there will be some in time, and returns what to tell it. */
  tell(prompt: RefusedPrompt, now: Timestamp): ToldReturn {
    const { ask, engineMs } = prompt;
    const known = this.#get(ask, now);
    // A repeat, or an ask whose answer was lost, gains no other time.
    if (
      known !== undefined &&
      (known.job === ask.job || returnTimeOf(known.toldAt, now) === "early")
    ) {
      if (known.job !== ask.job) this.#count(known, "refused", now);
      const inMs = Math.max(MIN_TOLD_MS, known.toldAt - now);
      return { inMs, booked: known.booked, isRepeat: true };
    }
    if (known !== undefined) this.#count(known, "refused", now);
    const { freeAt, endsAt } = this.#nextRoom(prompt, now);
    const limitMs = Math.min(this.#horizonMs, ask.leftMs * MAX_WAIT_FRACTION);
    const booked = prompt.mayBook && freeAt - now <= limitMs;
    const inMs = Math.ceil(
      booked ? freeAt - now : Math.max(freeAt - now, limitMs),
    );
    if (booked) {
      this.#bookedUntil = endsAt;
      this.#unsent.set(ask.digest, true);
      evictOldest(this.#unsent, MAX_UNSENT);
    }
    // A caller who is told more than a third of its time returns after that third.
    const waitMs = Math.min(inMs, ask.leftMs * MAX_WAIT_FRACTION);
    const toldAt = addMs(now, waitMs);
    const { job, digest, leftMs } = ask;
    const deadlineAt = addMs(now, leftMs);
    const refusedAt = now;
    this.#set(digest, {
      job,
      refusedAt,
      deadlineAt,
      toldAt,
      booked,
      engineMs,
    });
    return { inMs, booked, isRepeat: known !== undefined };
  }

  /** Records that a caller was admitted, which ends its booking. */
  admitted(caller: Caller, now: Timestamp): void {
    const entry = this.#get(caller, now);
    if (entry === undefined) return;
    this.#delete(caller.digest);
    this.#count(entry, "admitted", now);
  }

  /** Returns the bookings since the last call that are still open. */
  takeUnsent(now: Timestamp): readonly Booking[] {
    const bookings: Booking[] = [];
    for (const digest of this.#unsent.keys()) {
      const entry = this.#bookings.get(digest);
      if (entry === undefined) continue;
      const { deadlineAt, toldAt, engineMs } = entry;
      const inMs = Math.max(0, toldAt - now);
      bookings.push({ digest, leftMs: deadlineAt - now, inMs, engineMs });
    }
    this.#unsent.clear();
    return bookings;
  }

  /** Adds a booking that another daemon made. */
  addBooking(
    booking: Booking,
    options: Readonly<{ engines: number; now: Timestamp }>,
  ): void {
    const { engines, now } = options;
    const { digest, leftMs, inMs, engineMs } = booking;
    const deadlineAt = addMs(now, leftMs);
    const toldAt = addMs(now, inMs);
    const refusedAt = now;
    this.#set(digest, {
      refusedAt,
      deadlineAt,
      toldAt,
      booked: true,
      engineMs,
    });
    const endsAt = addMs(toldAt, engineMs / this.#roomPerMs(engines, now));
    this.#bookedUntil = Math.max(this.#bookedUntil, endsAt) as Timestamp;
  }

  /** The next room that is neither taken by the backlog nor booked. */
  #nextRoom(prompt: RefusedPrompt, now: Timestamp) {
    const { engineMs, engines, freeInMs } = prompt;
    const freeAt = Math.max(
      now + Math.max(MIN_TOLD_MS, freeInMs),
      this.#bookedUntil,
    ) as Timestamp;
    const takesMs = engineMs / this.#roomPerMs(engines, now);
    return { freeAt, endsAt: addMs(freeAt, takesMs) };
  }

  /** Engine time per ms that is left for returning callers. */
  #roomPerMs(engines: number, now: Timestamp): number {
    const count = Math.max(1, engines);
    const free = count - this.#demand.busyEngines(now);
    return Math.max(MIN_BOOKED_PART * count, free);
  }

  /** The entry of a caller whose return is still expected. */
  #get(caller: Caller, now: Timestamp): Entry | undefined {
    const { digest } = caller;
    const entry = this.#bookings.get(digest) ?? this.#unbooked.get(digest);
    if (entry === undefined) return undefined;
    if (now > entry.toldAt + KEPT_MS) {
      this.#delete(digest);
      return undefined;
    }
    return keepsDeadline(entry, caller, now) ? entry : undefined;
  }

  #delete(digest: string): void {
    this.#bookings.delete(digest);
    this.#unbooked.delete(digest);
  }

  #set(digest: string, entry: Entry): void {
    this.#delete(digest);
    const entries = entry.booked ? this.#bookings : this.#unbooked;
    entries.set(digest, entry);
    evictOldest(entries, MAX_ENTRIES);
  }

  #count(
    entry: Entry,
    outcome: "admitted" | "refused",
    now: Timestamp,
  ): void {
    const came = returnTimeOf(entry.toldAt, now);
    this.counts.add({ booked: entry.booked, came, outcome });
  }
}

function returnTimeOf(toldAt: Timestamp, now: Timestamp): ReturnTime {
  return now < toldAt - TOLD_ACCURACY_MS ? "early" : "in_time";
}
