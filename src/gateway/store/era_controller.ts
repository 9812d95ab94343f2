import { addMs, type Millis } from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import { GatewayController, type GatewayStep } from "../gateway_controller.ts";
import type { GatewayEvent } from "../gateway_event.ts";
import { type StoreEra, UNKNOWN_ERA } from "./store_position.ts";

/** An era that the store or another daemon has named; `ageMs` is the time since its start, where that is known. */
type NamedEra = Readonly<{ era?: StoreEra; ageMs?: Millis; source: string }>;

/** Learns the store's newest era from own reads and from other daemons; the other controllers read it. */
export class EraController extends GatewayController {
  static create(): EraController {
    return new EraController();
  }

  override step(board: GatewayBoard, step: GatewayStep): void {
    const { store } = board;
    for (const event of step.events) {
      if (event.type === "resumed") {
        store.restoredAt = addMs(store.restoredAt, -event.suspendedMs);
      }
      const { era, ageMs, source } = namedEra(event);
      // A daemon that read the store first may learn only later that its era began with a restore.
      const isLearnt = era === store.era && ageMs !== undefined &&
        store.restoredAt === -Infinity;
      if (era === undefined || (era <= store.era && !isLearnt)) continue;
      const from = store.era;
      store.era = era;
      const isRestored = from !== UNKNOWN_ERA || ageMs !== undefined;
      if (isRestored) store.restoredAt = addMs(step.now, -(ageMs ?? 0));
      step.line("store_era", {
        from,
        to: era,
        source,
        restored: isRestored,
        ...(ageMs === undefined ? {} : { age_ms: Math.round(ageMs) }),
      });
    }
  }
}

function namedEra(event: GatewayEvent): NamedEra {
  if (event.type === "serving_read" || event.type === "register_read") {
    return { era: event.era, source: "store" };
  }
  if (event.type === "read_failed") {
    return { era: event.err.era, source: "store" };
  }
  if (event.type !== "message" || !("progress" in event.message)) {
    return { source: "" };
  }
  const { from, progress } = event.message;
  const { era, eraAgeMs: ageMs } = progress;
  return { era, ageMs, source: typeof from === "string" ? from : from.vm };
}
