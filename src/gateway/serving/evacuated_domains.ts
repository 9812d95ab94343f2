import { z } from "zod";
import type { DomainId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import { idSchema } from "../../wire/brands.ts";
import { soundList } from "../../wire/sound_list.ts";
import {
  isBefore,
  storeEraSchema,
  type StorePosition,
  UNKNOWN_ERA,
  UNREAD,
} from "../store/store_position.ts";

/** Evacuated failure domains as of an offset of the configuration's topic, as exchanged between daemons. */
export const EvacuationStateSchema = z.object({
  offset: z.number().int(),
  /** Absent in messages of earlier builds. */
  era: storeEraSchema.optional(),
  domains: soundList(idSchema<DomainId>()),
  /** What the store states, where the sender still holds to what it knew before a restore. */
  stated: soundList(idSchema<DomainId>()).optional(),
}).readonly();
/** Evacuated failure domains as of an offset of the configuration's topic, as exchanged between daemons. */
export type EvacuationState = z.infer<typeof EvacuationStateSchema>;

/** The operator's request to send nothing more to the upstreams of a failure domain, or its end. */
export type EvacuationChange = Readonly<
  { domain: DomainId; evacuated: boolean }
>;

/** Evacuations that a read of the store found: the changes since the last read, or all of them if `full`. */
export type EvacuationBatch = Readonly<
  { full: boolean; changes: readonly EvacuationChange[] }
>;

/**
 * The evacuated failure domains. Of two states, that of the later position is newer, wherever it was read. After a
 * restore of the store, those that were known before are held for some time where its older copy doesn't state them.
 */
export class EvacuatedDomains {
  /** What the store states. */
  #stated: ReadonlySet<DomainId> = new Set();
  #held: ReadonlySet<DomainId> = new Set();
  #heldUntil: Timestamp | undefined;
  #position = UNREAD;

  static create(): EvacuatedDomains {
    return new EvacuatedDomains();
  }

  get size(): number {
    return this.#inForce().size;
  }

  has(domain: DomainId): boolean {
    return this.#stated.has(domain) || this.#held.has(domain);
  }

  /** The state to send to other daemons; undefined while no evacuation is known to have been requested. */
  get state(): EvacuationState | undefined {
    const { era, offset } = this.#position;
    if (offset < 0) return undefined;
    return {
      offset,
      ...(era === UNKNOWN_ERA ? {} : { era }),
      domains: [...this.#inForce()].sort(),
      ...(this.#held.size === 0 ? {} : { stated: [...this.#stated].sort() }),
    };
  }

  /** How far the configuration's topic was read when the state last changed. */
  get position(): StorePosition {
    return this.#position;
  }

  /** Time of the next `settle`; undefined for none. */
  get settlesAt(): Timestamp | undefined {
    return this.#heldUntil;
  }

  /** Applies what a read of the store found up to a position; returns what changed here. */
  apply(
    batch: EvacuationBatch,
    position: StorePosition,
    /** Until when domains are held that a new era doesn't state; absent if they are not. */
    holdUntil?: Timestamp,
  ): readonly EvacuationChange[] {
    const { full, changes } = batch;
    if (changes.length === 0 && this.size === 0) return [];
    const stated = new Set(full ? [] : this.#stated);
    const held = new Set(this.#held);
    for (const { domain, evacuated } of changes) {
      if (evacuated) stated.add(domain);
      else {
        stated.delete(domain);
        held.delete(domain);
      }
    }
    return this.#replace({ stated, held, position }, holdUntil);
  }

  /** Adopts the state of another daemon if it is newer; returns what changed here. */
  merge(
    state: EvacuationState,
    position: StorePosition,
    holdUntil?: Timestamp,
  ): readonly EvacuationChange[] {
    const stated = new Set(state.stated ?? state.domains);
    const held = new Set([...this.#held, ...state.domains]);
    return this.#replace({ stated, held, position }, holdUntil);
  }

  /** Drops what was held long enough; returns what changed here. */
  settle(now: Timestamp): readonly EvacuationChange[] {
    if (this.#heldUntil === undefined || now < this.#heldUntil) return [];
    const before = this.#inForce();
    this.#held = new Set();
    this.#heldUntil = undefined;
    return this.#changesSince(before);
  }

  #replace(
    next: Readonly<{
      stated: ReadonlySet<DomainId>;
      held: ReadonlySet<DomainId>;
      position: StorePosition;
    }>,
    holdUntil: Timestamp | undefined,
  ): readonly EvacuationChange[] {
    const { stated, position } = next;
    if (!isBefore(this.#position, position)) return [];
    const before = this.#inForce();
    const held = position.era > this.#position.era
      ? [...next.held, ...before]
      : [...next.held];
    this.#position = position;
    this.#stated = stated;
    this.#held = new Set(
      holdUntil === undefined ? [] : held.filter((one) => !stated.has(one)),
    );
    this.#heldUntil = this.#held.size === 0 ? undefined : holdUntil;
    return this.#changesSince(before);
  }

  #inForce(): ReadonlySet<DomainId> {
    return new Set([...this.#stated, ...this.#held]);
  }

  #changesSince(before: ReadonlySet<DomainId>): readonly EvacuationChange[] {
    const after = this.#inForce();
    return [...new Set([...before, ...after])]
      .filter((domain) => before.has(domain) !== after.has(domain))
      .map((domain) => ({ domain, evacuated: after.has(domain) }));
  }
}
