import type { Timestamp } from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import type { GatewayEvent, KeepOptions } from "../gateway_event.ts";
import { LeaderPersister } from "../store/leader_persister.ts";
import type { RateNotice } from "./named_rates.ts";

/** Saves the rates that apply to the store while this daemon leads. */
export class RatePersister extends LeaderPersister {
  static create(): RatePersister {
    return new RatePersister();
  }

  /** Applies the store's response to a read or write. */
  onEvent(event: GatewayEvent): void {
    if (event.type === "rates_read") {
      const { stored } = event;
      this.recordRead(
        stored && {
          summary: summarizeRates(stored.members),
          end: stored.end,
        },
      );
    }
    if (event.type === "rates_kept") {
      this.recordWritten(event.write, event.result);
    }
  }

  protected override summarize(board: GatewayBoard, now: Timestamp): string {
    return summarizeRates(board.gate.rates.limitNotices(now));
  }

  protected override read(step: GatewayStep): void {
    step.emit({ type: "read_rates" });
  }

  protected override write(
    board: GatewayBoard,
    step: GatewayStep,
    options: KeepOptions,
  ): void {
    const notices = board.gate.rates.limitNotices(step.now);
    step.emit({ type: "keep_rates", notices, ...options });
  }
}

/** Text that differs where the rates of two lists differ, whatever their ages. */
function summarizeRates(notices: readonly RateNotice[]): string {
  return notices.map(({ upstream, startedAt, perSecond }) =>
    `${upstream}/${startedAt}=${perSecond}`
  ).sort().join(" ");
}
