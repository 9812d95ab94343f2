import type { UpstreamId } from "../../core/id.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import { GatewayController, type GatewayStep } from "../gateway_controller.ts";
import { headsOf, liveMs } from "../members/membership.ts";
import type { UpstreamAvailability } from "../requests/upstream_availability.ts";

/** Notes what upstreams say of themselves, and tells the others which ones leave. */
export class AvailabilityController extends GatewayController {
  static create(): AvailabilityController {
    return new AvailabilityController();
  }

  override step(board: GatewayBoard, step: GatewayStep): void {
    for (const event of step.events) {
      if (event.type === "upstream_said") {
        const startedAt = board.register.table.startedAt(event.upstream);
        this.#note(board, step, { ...event, startedAt, from: "own" });
      }
      if (event.type === "message" && event.message.type === "leaving") {
        const { upstream, startedAt, from } = event.message;
        const signs = { leaving: true };
        this.#note(board, step, { upstream, startedAt, signs, from });
      }
    }
  }

  #note(
    board: GatewayBoard,
    step: GatewayStep,
    one: Readonly<{
      upstream: UpstreamId;
      startedAt: number;
      signs: UpstreamAvailability;
      from: string;
    }>,
  ): void {
    const { upstream, startedAt, signs, from } = one;
    const { gate, register } = board;
    // A process that has been replaced says nothing of the one that is listed now.
    if (register.table.startedAt(upstream) > startedAt) return;
    const { now } = step;
    const isNew = gate.told.note(upstream, startedAt, { signs, now });
    if (!isNew && signs.backoffMs === undefined) return;
    step.line("upstream_closed", {
      upstream,
      reason: signs.leaving ? "draining" : "backing_off",
      ...(signs.backoffMs === undefined ? {} : { for_ms: signs.backoffMs }),
      from,
    });
    if (isNew) this.#passOn(board, step, one);
  }

  /** The leader tells all, any other daemon those that place. */
  #passOn(
    board: GatewayBoard,
    step: GatewayStep,
    one: Readonly<{ upstream: UpstreamId; startedAt: number; from: string }>,
  ): void {
    const { members, self } = board;
    const leads = members.leader === self.card.vm;
    if (!leads && one.from !== "own") return;
    const peers = leads
      ? members.table.live(step.now, liveMs(board))
      : headsOf(board).flatMap((vm) => members.table.get(vm) ?? []);
    const { upstream, startedAt } = one;
    const from = self.card.vm;
    const message = { type: "leaving", from, upstream, startedAt } as const;
    for (const { peer } of peers) {
      step.want({ type: "send", to: peer, message });
    }
  }
}
