import {
  addMs,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import { UNKNOWN_ERA } from "../store/store_position.ts";
import { livenessTimeoutMs } from "./membership.ts";

/** Time between heartbeats to the seeds while no other daemon is live. */
const SEED_INTERVAL_MS: Millis = 500;
/** The same until the first reply of a peer, without which a daemon reads nothing: daemons may start together. */
const FIRST_SEED_INTERVAL_MS: Millis = 100;
/** Time without a live peer before the store is read for announced daemons, and time as leader before announcing. */
const STORE_DELAY_MS: Millis = 1_500;
/** Time after the start in which a daemon waits for the first reply of a peer before it reads the store. */
const INTRODUCTION_MS: Millis = 1_000;
/** Time between these reads of the store. */
const STORE_READ_INTERVAL_MS: Millis = 10 * SECOND_MS;

/** Finds other daemons through the seeds and the store, and lets others find this one while it leads. */
export class PeerDiscovery {
  #introducedBy: Timestamp | undefined;
  #nextSeedAt = 0 as Timestamp;
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
    if (members.introduced) return;
    this.#introducedBy ??= addMs(step.now, INTRODUCTION_MS);
    const hasSeeds = self.seeds.some((seed) => seed !== self.card.peer);
    if (hasSeeds && step.now < this.#introducedBy) {
      step.wake(this.#introducedBy);
      return;
    }
    members.introduced = true;
    step.line("no_peer", { seeds: self.seeds.length });
  }

  #discoverPeers(
    board: GatewayBoard,
    step: GatewayStep,
    sendHeartbeat: (peer: string) => void,
  ): void {
    const { table } = board.members;
    if (table.live(step.now, livenessTimeoutMs(board)).length > 0) {
      this.#nextStoreReadAt = undefined;
      return;
    }
    if (step.now >= this.#nextSeedAt) {
      for (const seed of board.self.seeds) sendHeartbeat(seed);
      const intervalMs = board.members.introduced
        ? SEED_INTERVAL_MS
        : FIRST_SEED_INTERVAL_MS;
      this.#nextSeedAt = addMs(step.now, intervalMs);
    }
    this.#nextStoreReadAt ??= addMs(step.now, STORE_DELAY_MS);
    if (step.now >= this.#nextStoreReadAt) {
      step.emit({ type: "read_announced" });
      this.#nextStoreReadAt = addMs(step.now, STORE_READ_INTERVAL_MS);
    }
    step.wake(Math.min(this.#nextSeedAt, this.#nextStoreReadAt));
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
