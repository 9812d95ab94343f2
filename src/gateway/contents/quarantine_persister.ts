import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import type { GatewayEvent, KeepOptions } from "../gateway_event.ts";
import { LeaderPersister } from "../store/leader_persister.ts";
import { summarizeQuarantine } from "../../suspects/content_record.ts";

/** Saves quarantined contents to the store while this daemon leads. */
export class QuarantinePersister extends LeaderPersister {
  static create(): QuarantinePersister {
    return new QuarantinePersister();
  }

  /** Applies the store's response to a read or write. */
  onEvent(event: GatewayEvent): void {
    if (event.type === "contents_read") {
      const { stored } = event;
      this.recordRead(
        stored && {
          summary: summarizeQuarantine(stored.members),
          end: stored.end,
        },
      );
    }
    if (event.type === "contents_kept") {
      this.recordWritten(event.write, event.result);
    }
  }

  protected override summarize({ contents }: GatewayBoard): string {
    return contents.suspects.quarantineSummary;
  }

  protected override read(step: GatewayStep): void {
    step.emit({ type: "read_contents" });
  }

  protected override write(
    board: GatewayBoard,
    step: GatewayStep,
    options: KeepOptions,
  ): void {
    const records = board.contents.suspects.records(step.now)
      .filter((record) => summarizeQuarantine([record]) !== "");
    step.emit({ type: "keep_contents", records, ...options });
  }
}
