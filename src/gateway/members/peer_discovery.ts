import {
  addMs,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../../core/time.ts";
import { fnv1aHash } from "../../core/fnv1a.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import { UNKNOWN_ERA } from "../store/store_position.ts";
import { livenessTimeoutMs } from "./membership.ts";

/** Longest time between heartbeats to the seeds while no other daemon is live. */
const MAX_SEED_INTERVAL_MS: Millis = 500;
/** Time until the second contact of a seed; grows by a factor with each further one. */
const FIRST_SEED_INTERVAL_MS: Millis = 100;
const SEED_INTERVAL_GROWTH = 1.5;
/** Time without a live peer before the store is read for announced daemons, and time as leader before announcing. */
const STORE_DELAY_MS: Millis = 1_500;
/** Time after the start in which a daemon waits for the first reply of a peer before it reads the store. */
const INTRODUCTION_MS: Millis = 1_000;
/** Time between these reads of the store. */
const STORE_READ_INTERVAL_MS: Millis = 10 * SECOND_MS;

/**
 * Finds other daemons through the seeds and the store, and lets others find this one while it leads.
 * Load pattern: hundreds of daemons that start together with the same few seeds. Each contacts one seed at a time, with
 * a growing interval; a seed that is slow to reply would get more heartbeats than it can read. Once each seed was
 * contacted, groups that began with different seeds know of each other.
 */
export class PeerDiscovery {
  #introducedBy: Timestamp | undefined;
  #nextSeedAt = 0 as Timestamp;
  #seedContacts = 0;
  #nextStoreReadAt: Timestamp | undefined;
  #announceAt: Timestamp | undefined;
  /** Era of the store in which this daemon announced itself, or is about to. */
  #announcedEra = UNKNOWN_ERA;

  static create(): PeerDiscovery {
    return new PeerDiscovery();
  }

  /** Contacts daemons with `sendHeartbeat` while none is live, and announces this one. */
  step(
    board: GatewayBoard,
    step: GatewayStep,
    sendHeartbeat: (peer: string) => void,
  ): void {
    this.#awaitIntroduction(board, step);
    this.#discoverPeers(board, step, sendHeartbeat);
    this.#announceSelf(board, step);
  }

  /** Ends the wait for a first reply if no other daemon is known, or none replied in time. */
  #awaitIntroduction(board: GatewayBoard, step: GatewayStep): void {
    const { members, self } = board;
    if (members.introducedAt !== undefined) return;
    this.#introducedBy ??= addMs(step.now, INTRODUCTION_MS);
    const hasSeeds = self.seeds.some((seed) => seed !== self.card.peer);
    if (hasSeeds && step.now < this.#introducedBy) {
      step.wake(this.#introducedBy);
      return;
    }
    members.introducedAt = step.now;
    step.line("no_peer", { seeds: self.seeds.length });
  }

  #discoverPeers(
    board: GatewayBoard,
    step: GatewayStep,
    sendHeartbeat: (peer: string) => void,
  ): void {
    const { table } = board.members;
    const alone = table.live(step.now, livenessTimeoutMs(board)).length === 0;
    const seeds = board.self.seeds.filter((seed) =>
      seed !== board.self.card.peer
    );
    if (alone || this.#seedContacts < seeds.length) {
      this.#contactSeed(board, step, { seeds, sendHeartbeat });
    }
    if (!alone) {
      this.#nextStoreReadAt = undefined;
      return;
    }
    this.#nextStoreReadAt ??= addMs(step.now, STORE_DELAY_MS);
    if (step.now >= this.#nextStoreReadAt) {
      step.emit({ type: "read_announced" });
      this.#nextStoreReadAt = addMs(step.now, STORE_READ_INTERVAL_MS);
    }
    step.wake(this.#nextStoreReadAt);
  }

  /** Contacts the next seed if it is due; daemons begin with different ones. */
  #contactSeed(
    board: GatewayBoard,
    step: GatewayStep,
    contact: Readonly<
      { seeds: readonly string[]; sendHeartbeat: (peer: string) => void }
    >,
  ): void {
    const { seeds, sendHeartbeat } = contact;
    if (step.now >= this.#nextSeedAt) {
      const first = fnv1aHash(board.self.card.vm);
      const seed = seeds[(first + this.#seedContacts) % seeds.length];
      if (seed !== undefined) sendHeartbeat(seed);
      const intervalMs = FIRST_SEED_INTERVAL_MS *
        SEED_INTERVAL_GROWTH ** this.#seedContacts;
      this.#seedContacts += 1;
      this.#nextSeedAt = addMs(
        step.now,
        Math.min(MAX_SEED_INTERVAL_MS, intervalMs),
      );
    }
    step.wake(this.#nextSeedAt);
  }

  /** Announces this daemon once for each time that it becomes leader, and again when the store was restored. */
  #announceSelf(board: GatewayBoard, step: GatewayStep): void {
    const { members, self, store } = board;
    if (members.leader !== self.card.vm || this.#announcedEra !== store.era) {
      this.#announceAt = undefined;
      this.#announcedEra = store.era;
    }
    if (members.leader !== self.card.vm) return;
    this.#announceAt ??= addMs(step.now, STORE_DELAY_MS);
    if (step.now >= this.#announceAt) {
      step.emit({ type: "announce", card: self.card });
      this.#announceAt = Infinity as Timestamp;
    }
    step.wake(this.#announceAt);
  }
}
