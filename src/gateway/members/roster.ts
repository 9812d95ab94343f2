import type { VmId } from "../../core/id.ts";
import type { PeerCard } from "../peers/peer_message.ts";

/** Changes kept for incremental updates; a daemon that is further behind gets the whole list. */
const MAX_CHANGES = 512;

/** Position of a daemon in its leader's roster. */
export type RosterPosition = Readonly<{
  /** Identifies the leader's process; `seq` starts anew with each process. */
  epoch: string;
  /** Number of the last applied change; -1 for none. */
  seq: number;
}>;

/** Update of a roster to position `seq`. */
export type RosterUpdate = Readonly<{
  epoch: string;
  seq: number;
  /** Position that the update starts from; absent if `joined` is the whole list. */
  since?: number;
  joined: readonly PeerCard[];
  gone: readonly VmId[];
}>;

/** Position of a daemon without a roster. */
export const NO_ROSTER: RosterPosition = { epoch: "", seq: -1 };

/**
 * A leader's list of live daemons, with its latest changes.
 * Load pattern: hundreds of daemons, of which some join, leave or lose their network all the time. Sending the whole
 * list to every daemon on each change would take most of the leader's bandwidth and processor time.
 */
export class Roster {
  readonly #epoch: string;
  readonly #cards = new Map<VmId, PeerCard>();
  readonly #changes: { seq: number; vm: VmId }[] = [];
  #seq = 0;

  private constructor(epoch: string) {
    this.#epoch = epoch;
  }

  static create(epoch: string): Roster {
    return new Roster(epoch);
  }

  /** Replaces the list and records each difference as a change. */
  update(cards: readonly PeerCard[]): void {
    const vms = new Set(cards.map((card) => card.vm));
    for (const vm of [...this.#cards.keys()]) {
      if (vms.has(vm)) continue;
      this.#cards.delete(vm);
      this.#recordChange(vm);
    }
    for (const card of cards) {
      const known = this.#cards.get(card.vm);
      this.#cards.set(card.vm, card);
      const same = known !== undefined && known.open === card.open &&
        known.slow === card.slow &&
        known.startedAt === card.startedAt;
      if (!same) this.#recordChange(card.vm);
    }
  }

  /** Returns the update for a daemon at a position. */
  since(position: RosterPosition): RosterUpdate {
    const { epoch, seq } = position;
    const oldest = this.#changes[0]?.seq ?? this.#seq + 1;
    const known = epoch === this.#epoch && seq <= this.#seq &&
      seq >= oldest - 1;
    const head = { epoch: this.#epoch, seq: this.#seq };
    if (!known) return { ...head, joined: [...this.#cards.values()], gone: [] };
    const vms = new Set(
      this.#changes.filter((change) => change.seq > seq).map((change) =>
        change.vm
      ),
    );
    const joined = [...vms].flatMap((vm) => this.#cards.get(vm) ?? []);
    const gone = [...vms].filter((vm) => !this.#cards.has(vm));
    return { ...head, since: seq, joined, gone };
  }

  #recordChange(vm: VmId): void {
    this.#seq += 1;
    this.#changes.push({ seq: this.#seq, vm });
    if (this.#changes.length > MAX_CHANGES) this.#changes.shift();
  }
}
