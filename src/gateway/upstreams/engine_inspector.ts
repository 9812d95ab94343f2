import type { UpstreamId } from "../../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import { isSlow } from "../../scheduling/pool/upstream_load.ts";
import { closureOf } from "./availability.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import type { GatewayEvent } from "../gateway_event.ts";
import type { PeerMessage } from "../peers/peer_message.ts";

/** Time between checks for late first events; many more prompts are placed meanwhile in a crest. */
const CHECK_MS: Millis = 50;

/** Learns which engines are slow: asks those that what they do makes suspect, and hears what the leader has learnt. */
export class EngineInspector {
  #checkAt = 0 as Timestamp;

  static create(): EngineInspector {
    return new EngineInspector();
  }

  step(board: GatewayBoard, step: GatewayStep): void {
    for (const event of step.events) {
      if (event.type === "inspected") this.#take(board, step, event);
      if (event.type === "message") this.#hear(board, step, event.message);
    }
    if (step.now < this.#checkAt) return;
    this.#checkAt = addMs(step.now, CHECK_MS);
    this.#check(board, step);
  }

  #check(board: GatewayBoard, step: GatewayStep): void {
    const { members, pool, register, self } = board;
    const { accounts, slowWatch } = pool.scheduler;
    const leads = members.leader === self.card.vm;
    const slow = leads ? accounts.slow(step.now).map((one) => one.id) : [];
    for (const id of slowWatch.due(step.now, slow)) {
      const entry = register.table.get(id);
      if (entry === undefined) continue;
      if (closureOf(board, id, step.now)?.reason === "backing_off") continue;
      step.emit({ type: "inspect", upstream: id, address: entry.address });
    }
    if (slow.length > 0) step.wake(this.#checkAt);
  }

  #take(
    board: GatewayBoard,
    step: GatewayStep,
    event: Extract<GatewayEvent, { type: "inspected" }>,
  ): void {
    // An engine that gives no report shows nothing of its pace; failures are counted elsewhere.
    if (event.pace === undefined) return;
    const { slowWatch } = board.pool.scheduler;
    slowWatch.reported(event.upstream, isSlow(event.pace));
    this.#learn(board, step, { ...event, pace: event.pace, source: "report" });
  }

  #hear(board: GatewayBoard, step: GatewayStep, message: PeerMessage): void {
    if (message.type !== "heartbeat" || message.paces === undefined) return;
    if (message.from.vm !== board.members.leader) return;
    for (const { upstream, pace } of message.paces) {
      this.#learn(board, step, { upstream, pace, source: "leader" });
    }
  }

  #learn(
    board: GatewayBoard,
    step: GatewayStep,
    one: Readonly<{ upstream: UpstreamId; pace: number; source: string }>,
  ): void {
    const load = board.pool.scheduler.accounts.load(one.upstream);
    const before = load.paceAt(step.now);
    load.setPace(one.pace, step.now);
    if (isSlow(before) === isSlow(one.pace)) return;
    step.line("engine_pace", {
      upstream: one.upstream,
      pace: one.pace,
      before,
      source: one.source,
    });
    if (one.source === "report" && isSlow(one.pace)) {
      this.#sweep(board, step, one);
    }
  }

  #sweep(
    board: GatewayBoard,
    step: GatewayStep,
    found: Readonly<{ upstream: UpstreamId }>,
  ): void {
    const { pool, register } = board;
    const service = register.table.get(found.upstream)?.service;
    if (service === undefined) return;
    const others = register.table.open(service).map((one) => one.id);
    pool.scheduler.slowWatch.foundSlow(others, step.now);
  }
}
