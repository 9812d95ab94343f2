import type { UpstreamId } from "../../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import { isSlow } from "../../scheduling/pool/upstream_load.ts";
import { findClosure } from "./availability.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import type { GatewayEvent } from "../gateway_event.ts";
import type { PeerMessage } from "../peers/peer_message.ts";

/** Time between checks for late first events, well below the time in which a slow engine gets many more prompts. */
const CHECK_INTERVAL_MS: Millis = 50;

/** Detects slow engines: inspects suspects for their own report, and adopts the findings in the leader's heartbeats. */
export class EngineInspector {
  #nextCheckAt = 0 as Timestamp;

  static create(): EngineInspector {
    return new EngineInspector();
  }

  step(board: GatewayBoard, step: GatewayStep): void {
    for (const event of step.events) {
      if (event.type === "inspected") this.#onInspected(board, step, event);
      if (event.type === "message") this.#onMessage(board, step, event.message);
    }
    if (step.now < this.#nextCheckAt) return;
    this.#nextCheckAt = addMs(step.now, CHECK_INTERVAL_MS);
    this.#requestInspections(board, step);
  }

  #requestInspections(board: GatewayBoard, step: GatewayStep): void {
    const { members, pool, register, self } = board;
    const { tracker, slowEngines } = pool.scheduler;
    const leads = members.leader === self.card.vm;
    const slowIds = leads
      ? tracker.slowUpstreams(step.now).map((load) => load.id)
      : [];
    for (const id of slowEngines.dueInspections(step.now, slowIds)) {
      const entry = register.table.get(id);
      if (entry === undefined) continue;
      if (findClosure(board, id, step.now)?.reason === "backing_off") continue;
      if (!pool.scheduler.rates.isOpen(id, step.now)) continue;
      step.emit({ type: "inspect", upstream: id, address: entry.address });
    }
    if (slowIds.length > 0) step.wake(this.#nextCheckAt);
  }

  #onInspected(
    board: GatewayBoard,
    step: GatewayStep,
    event: Extract<GatewayEvent, { type: "inspected" }>,
  ): void {
    // Without a report nothing is known about the engine's pace; failures are counted elsewhere.
    if (event.pace === undefined) return;
    const { slowEngines } = board.pool.scheduler;
    slowEngines.recordReport(event.upstream, isSlow(event.pace));
    this.#updatePace(board, step, {
      ...event,
      pace: event.pace,
      source: "report",
    });
  }

  #onMessage(
    board: GatewayBoard,
    step: GatewayStep,
    message: PeerMessage,
  ): void {
    if (message.type !== "heartbeat" || message.paces === undefined) return;
    if (message.from.vm !== board.members.leader) return;
    for (const { upstream, pace } of message.paces) {
      this.#updatePace(board, step, { upstream, pace, source: "leader" });
    }
  }

  #updatePace(
    board: GatewayBoard,
    step: GatewayStep,
    observation: Readonly<
      { upstream: UpstreamId; pace: number; source: string }
    >,
  ): void {
    const load = board.pool.scheduler.tracker.loadOf(observation.upstream);
    const before = load.slowdownAt(step.now);
    load.setSlowdown(observation.pace, step.now);
    if (isSlow(before) === isSlow(observation.pace)) return;
    step.line("engine_pace", {
      upstream: observation.upstream,
      pace: observation.pace,
      before,
      source: observation.source,
    });
    if (observation.source === "report" && isSlow(observation.pace)) {
      this.#watchSameService(board, step, observation);
    }
  }

  #watchSameService(
    board: GatewayBoard,
    step: GatewayStep,
    slowEngine: Readonly<{ upstream: UpstreamId }>,
  ): void {
    const { pool, register } = board;
    const service = register.table.get(slowEngine.upstream)?.service;
    if (service === undefined) return;
    const others = register.table.open(service).map((entry) => entry.id);
    pool.scheduler.slowEngines.suspectOthers(others, step.now);
  }
}
