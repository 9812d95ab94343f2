import { z } from "zod";
import type { DomainId } from "../../core/id.ts";
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

/** The evacuated failure domains. Of two states, that of the later position is newer, wherever it was read. */
export class EvacuatedDomains {
  #domains: ReadonlySet<DomainId> = new Set();
  #position = UNREAD;

  static create(): EvacuatedDomains {
    return new EvacuatedDomains();
  }

  get size(): number {
    return this.#domains.size;
  }

  has(domain: DomainId): boolean {
    return this.#domains.has(domain);
  }

  /** The state to send to other daemons; undefined while no evacuation is known to have been requested. */
  get state(): EvacuationState | undefined {
    const { era, offset } = this.#position;
    if (offset < 0) return undefined;
    const domains = [...this.#domains].sort();
    return { offset, ...(era === UNKNOWN_ERA ? {} : { era }), domains };
  }

  /** How far the configuration's topic was read when the state last changed. */
  get position(): StorePosition {
    return this.#position;
  }

  /** Applies what a read of the store found up to a position; returns what changed here. */
  apply(
    batch: EvacuationBatch,
    position: StorePosition,
  ): readonly EvacuationChange[] {
    const domains = new Set(batch.full ? [] : this.#domains);
    for (const { domain, evacuated } of batch.changes) {
      if (evacuated) domains.add(domain);
      else domains.delete(domain);
    }
    const isNews = batch.changes.length > 0 || this.#domains.size > 0;
    return isNews ? this.#replace(domains, position) : [];
  }

  /** Adopts the state of another daemon if it is newer; returns what changed here. */
  merge(
    state: EvacuationState,
    position: StorePosition,
  ): readonly EvacuationChange[] {
    return this.#replace(new Set(state.domains), position);
  }

  #replace(
    domains: ReadonlySet<DomainId>,
    position: StorePosition,
  ): readonly EvacuationChange[] {
    if (!isBefore(this.#position, position)) return [];
    const before = this.#domains;
    this.#position = position;
    this.#domains = domains;
    return [...new Set([...before, ...domains])]
      .filter((domain) => before.has(domain) !== domains.has(domain))
      .map((domain) => ({ domain, evacuated: domains.has(domain) }));
  }
}
