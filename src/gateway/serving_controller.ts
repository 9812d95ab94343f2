import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import type { GatewayBoard } from "./gateway_board.ts";
import { GatewayController, type GatewayStep } from "./gateway_controller.ts";
import type { PeerCard, Stand } from "./peer_message.ts";
import { RouteTable } from "./route_table.ts";
import type { Serving } from "./serving.ts";
import { StoreReader } from "./store_reader.ts";

/** How long the store may wait for a new version; the leader asks more often, to notice a silent connection. */
const WAIT_MS: Millis = 10_000;
const LEADER_WAIT_MS: Millis = 1_000;
/** Shortest time between two readings, so that a series of versions is read in few calls. */
const SPACING_MS: Millis = 300;
/** How long a version that a peer has may take to come from the store. */
const BEHIND_MS: Millis = 200;
/** Time between two tries to fetch a version from a peer. */
const FETCH_MS: Millis = 500;

/** Takes newer versions of the configuration from the store, or from a peer where that is faster; never goes back. */
export class ServingController extends GatewayController {
  readonly #reader = StoreReader.create("serving");
  /** A peer with a newer version, and since when that is known. */
  #ahead: Readonly<{ peer: PeerCard; version: number }> | undefined;
  #aheadAt = 0 as Timestamp;
  #fetchAt = 0 as Timestamp;

  static create(): ServingController {
    return new ServingController();
  }

  override step(board: GatewayBoard, step: GatewayStep): void {
    for (const event of step.events) {
      if (event.type === "serving_read") {
        this.#reader.done(step, event.next);
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
      if (event.type === "message") {
        const { message } = event;
        if (message.type === "beat" || message.type === "news") {
          this.#compare(board, step, message.from, message.stand);
        }
      }
    }
    const leads = board.members.leader === board.self.card.vm;
    this.#reader.poll(step, {
      waitMs: leads ? LEADER_WAIT_MS : WAIT_MS,
      spacingMs: SPACING_MS,
    });
    this.#fetch(board, step);
  }

  #compare(
    board: GatewayBoard,
    step: GatewayStep,
    peer: PeerCard,
    stand: Stand,
  ): void {
    if (stand.version <= board.serving.version) return;
    if (this.#ahead === undefined) this.#aheadAt = step.now;
    if (this.#ahead === undefined || stand.version >= this.#ahead.version) {
      this.#ahead = { peer, version: stand.version };
    }
  }

  #fetch(board: GatewayBoard, step: GatewayStep): void {
    const ahead = this.#ahead;
    if (ahead === undefined) return;
    if (ahead.version <= board.serving.version) {
      this.#ahead = undefined;
      return;
    }
    const wait = board.serving.routes === undefined ? 0 : BEHIND_MS;
    const at = Math.max(addMs(this.#aheadAt, wait), this.#fetchAt);
    if (step.now < at) {
      step.wake(at);
      return;
    }
    step.want({ type: "fetch_serving", peer: ahead.peer });
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
  }
}
