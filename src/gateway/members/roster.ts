import type { VmId } from "../../core/id.ts";
import type { PeerCard } from "../peers/peer_message.ts";

/** Changes that are kept for those that are behind; whoever is further behind gets the whole list. */
const MAX_CHANGES = 512;

/** How far a daemon knows the list of live daemons that its leader keeps. */
export type RosterPosition = Readonly<{
  /** The leader's process; another one counts anew. */
  epoch: string;
  /** Number of the last change that is known; -1 for none. */
  seq: number;
}>;

/** What a daemon needs to know the list up to `seq`. */
export type RosterUpdate = Readonly<{
  epoch: string;
  seq: number;
  /** The position that the changes follow; absent where `joined` is the whole list. */
  since?: number;
  joined: readonly PeerCard[];
  gone: readonly VmId[];
}>;

/** Position of a daemon that knows nothing of a list. */
export const NO_ROSTER: RosterPosition = { epoch: "", seq: -1 };

/**
 * The list of live daemons that a leader keeps, with its latest changes.
 * Load pattern: hundreds of daemons of which some join, leave or are cut off all the time. If every change made the
 * leader send the whole list to everyone, its link and its processor would be busy with little else.
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

  /** Replaces the list; what differs becomes a change. */
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

  /** What a daemon at a position lacks. */
  since(position: RosterPosition): RosterUpdate {
    const { epoch, seq } = position;
    const oldest = this.#changes[0]?.seq ?? this.#seq + 1;
    const known = epoch === this.#epoch && seq <= this.#seq &&
      seq >= oldest - 1;
    const current = { epoch: this.#epoch, seq: this.#seq };
    if (!known) {
      return { ...current, joined: [...this.#cards.values()], gone: [] };
    }
    const vms = new Set(
      this.#changes.filter((change) => change.seq > seq).map((change) =>
        change.vm
      ),
    );
    const joined = [...vms].flatMap((vm) => this.#cards.get(vm) ?? []);
    const gone = [...vms].filter((vm) => !this.#cards.has(vm));
    return { ...current, since: seq, joined, gone };
  }

  #recordChange(vm: VmId): void {
    this.#seq += 1;
    this.#changes.push({ seq: this.#seq, vm });
    if (this.#changes.length > MAX_CHANGES) this.#changes.shift();
  }
}
