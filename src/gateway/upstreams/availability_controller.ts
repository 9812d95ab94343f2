import type { UpstreamId } from "../../core/id.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import { GatewayController, type GatewayStep } from "../gateway_controller.ts";
import { livenessTimeoutMs, otherPlacers } from "../members/membership.ts";
import type { UpstreamAvailability } from "../requests/upstream_availability.ts";

/** Records the drains and back-offs that upstreams announce, and notifies other daemons of leaving upstreams. */
export class AvailabilityController extends GatewayController {
  static create(): AvailabilityController {
    return new AvailabilityController();
  }

  override step(board: GatewayBoard, step: GatewayStep): void {
    for (const event of step.events) {
      if (event.type === "upstream_said") {
        const startedAt = board.register.table.startedAt(event.upstream);
        this.#recordAvailability(board, step, {
          ...event,
          startedAt,
          from: "own",
        });
      }
      if (event.type === "message" && event.message.type === "leaving") {
        const { upstream, startedAt, from } = event.message;
        const availability = { leaving: true };
        this.#recordAvailability(board, step, {
          upstream,
          startedAt,
          availability,
          from,
        });
      }
    }
  }

  #recordAvailability(
    board: GatewayBoard,
    step: GatewayStep,
    observation: Readonly<{
      upstream: UpstreamId;
      startedAt: number;
      availability: UpstreamAvailability;
      from: string;
    }>,
  ): void {
    const { upstream, startedAt, availability, from } = observation;
    const { gate, register } = board;
    // A late message about a replaced process does not apply to the process that is listed now.
    if (register.table.startedAt(upstream) > startedAt) return;
    const { now } = step;
    const isFirstLeaving = gate.closures.record(upstream, startedAt, {
      availability,
      now,
    });
    if (!isFirstLeaving && availability.backoffMs === undefined) return;
    step.line("upstream_closed", {
      upstream,
      reason: availability.leaving ? "draining" : "backing_off",
      ...(availability.backoffMs === undefined
        ? {}
        : { for_ms: availability.backoffMs }),
      from,
    });
    if (isFirstLeaving) this.#broadcastLeaving(board, step, observation);
  }

  /** The leader sends to all live daemons, any other daemon to the leader and the deputy. */
  #broadcastLeaving(
    board: GatewayBoard,
    step: GatewayStep,
    observation: Readonly<
      { upstream: UpstreamId; startedAt: number; from: string }
    >,
  ): void {
    const { members, self } = board;
    const leads = members.leader === self.card.vm;
    if (!leads && observation.from !== "own") return;
    const peers = leads
      ? members.table.live(step.now, livenessTimeoutMs(board))
      : otherPlacers(board).flatMap((vm) => members.table.get(vm) ?? []);
    const { upstream, startedAt } = observation;
    const from = self.card.vm;
    const message = { type: "leaving", from, upstream, startedAt } as const;
    for (const { peer } of peers) {
      step.emit({ type: "send", to: peer, message });
    }
  }
}
