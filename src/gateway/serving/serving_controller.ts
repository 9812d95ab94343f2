import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import { GatewayController, type GatewayStep } from "../gateway_controller.ts";
import { livenessTimeoutMs } from "../members/membership.ts";
import { scheduleFallbackRead } from "../upstreams/fallback_read.ts";
import type {
  PeerCard,
  PeerMessage,
  StoreProgress,
} from "../peers/peer_message.ts";
import { RouteTable } from "./route_table.ts";
import type { Serving } from "./serving.ts";
import { sendRegisterChanges } from "../upstreams/send_register_changes.ts";
import { fetchSource, servingReaders } from "./serving_readers.ts";
import { StoreReader } from "../store/store_reader.ts";

/** How long the store may wait for a new version; the leader asks more often, as its readings vouch for the others. */
const WAIT_MS: Millis = 10_000;
const LEADER_WAIT_MS: Millis = 600;
/** Shortest time between two readings, so that a series of versions is read in few calls. */
const SPACING_MS: Millis = 300;
/** How long a version that a peer has may take to come from the store, where this daemon reads it itself. */
const BEHIND_MS: Millis = 200;
/** Time between two tries to fetch a version from a peer. */
const FETCH_MS: Millis = 500;
/** Tries after which the version is read from the store. */
const MAX_FETCHES = 3;

/** A version that a peer has and this daemon has not. */
type Ahead = Readonly<{ peer: PeerCard; version: number; since: Timestamp }>;

/**
 * Keeps the configuration at the newest version; it never goes back. The leader and a few readers in each failure
 * domain read the store, the others fetch from them; whoever hears of no fresh reading reads the store itself.
 */
export class ServingController extends GatewayController {
  readonly #reader = StoreReader.create("serving");
  #ahead: Ahead | undefined;
  #fetchAt = 0 as Timestamp;
  #fetches = 0;

  static create(): ServingController {
    return new ServingController();
  }

  override step(board: GatewayBoard, step: GatewayStep): void {
    const { serving } = board;
    for (const event of step.events) {
      if (event.type === "serving_read") {
        this.#reader.done(step, event.next);
        serving.asOf = step.now;
        if (event.serving !== undefined) {
          this.#take(board, step, event.serving, "store");
        }
      }
      if (event.type === "serving_fetched") {
        this.#take(board, step, event.serving, "peer");
      }
      if (event.type === "fetch_failed") {
        step.line("fetch_failed", { detail: event.detail });
      }
      if (event.type === "read_failed" && event.what === "serving") {
        this.#reader.failed(step, event.err);
      }
      if (event.type === "resumed") {
        serving.asOf = addMs(serving.asOf, -event.lostMs);
      }
      if (event.type === "message") this.#hear(board, step, event.message);
    }
    this.#poll(board, step);
    this.#fetch(board, step);
  }

  #hear(board: GatewayBoard, step: GatewayStep, message: PeerMessage): void {
    if (message.type === "heartbeat" || message.type === "heartbeat_reply") {
      this.#compare(board, step, message.from, message.progress);
    }
    if (message.type !== "changes") return;
    const peer = board.members.table.get(message.from);
    if (peer !== undefined) this.#compare(board, step, peer, message.progress);
  }

  #compare(
    board: GatewayBoard,
    step: GatewayStep,
    peer: PeerCard,
    progress: StoreProgress,
  ): void {
    const { serving } = board;
    if (progress.version === serving.version) {
      const asOf = addMs(step.now, -progress.versionAgeMs);
      if (asOf > serving.asOf) serving.asOf = asOf;
    }
    if (progress.version <= serving.version) return;
    if (this.#ahead !== undefined && progress.version <= this.#ahead.version) {
      return;
    }
    const since = this.#ahead?.since ?? step.now;
    this.#ahead = { peer, version: progress.version, since };
  }

  /** Reads the store where this daemon is one of those that do, or where no one else's reading reaches it. */
  #poll(board: GatewayBoard, step: GatewayStep): void {
    const { members, self, serving } = board;
    const leads = members.leader === self.card.vm;
    const waitMs = leads ? LEADER_WAIT_MS : WAIT_MS;
    const reads = leads || this.#fetches >= MAX_FETCHES ||
      this.#readers(board, step).some((one) => one.vm === self.card.vm);
    if (reads) {
      this.#reader.poll(step, { waitMs, spacingMs: SPACING_MS });
      return;
    }
    const { readAt, backoffMs } = scheduleFallbackRead(board, {
      now: step.now,
      asOf: serving.asOf,
      waitMs: LEADER_WAIT_MS,
    });
    if (step.now < readAt) step.wake(readAt);
    else this.#reader.poll(step, { waitMs, spacingMs: SPACING_MS, backoffMs });
  }

  #readers(board: GatewayBoard, step: GatewayStep): readonly PeerCard[] {
    const { members, self } = board;
    const live = members.table.live(step.now, livenessTimeoutMs(board));
    return servingReaders([self.card, ...live], self.card.domain);
  }

  #fetch(board: GatewayBoard, step: GatewayStep): void {
    const ahead = this.#ahead;
    if (ahead === undefined) return;
    const { self, serving } = board;
    if (ahead.version <= serving.version) {
      this.#ahead = undefined;
      this.#fetches = 0;
      return;
    }
    const readers = this.#readers(board, step);
    const reads = readers.some((one) => one.vm === self.card.vm);
    const wait = reads && serving.routes !== undefined ? BEHIND_MS : 0;
    const at = Math.max(addMs(ahead.since, wait), this.#fetchAt);
    if (step.now < at) {
      step.wake(at);
      return;
    }
    const peer = fetchSource(readers, {
      self: self.card.vm,
      announcer: ahead.peer,
      attempt: this.#fetches,
      leader: board.members.leader,
    });
    step.want({ type: "fetch_serving", peer });
    this.#fetches += 1;
    this.#fetchAt = addMs(step.now, FETCH_MS);
    step.wake(this.#fetchAt);
  }

  #take(
    board: GatewayBoard,
    step: GatewayStep,
    serving: Serving,
    source: "store" | "peer",
  ): void {
    const section = board.serving;
    if (section.routes !== undefined && serving.version <= section.version) {
      return;
    }
    step.line("config", {
      from: section.version,
      to: serving.version,
      source,
      routes: serving.routes.length,
    });
    section.routes = RouteTable.create(serving);
    section.version = serving.version;
    section.takenAt = step.now;
    this.#announce(board, step, source);
  }

  /** The leader tells all others of a new version at once, and whoever has it from the store tells the leader. */
  #announce(
    board: GatewayBoard,
    step: GatewayStep,
    source: "store" | "peer",
  ): void {
    const { members, self } = board;
    const leads = members.leader === self.card.vm;
    if (!leads && source === "peer") return;
    sendRegisterChanges(board, step, { changes: [] });
  }
}
