import type { Event } from "../../src/core/event.ts";
import type { Intent } from "../../src/core/intent.ts";
import type { EngineHost } from "./engine_host.ts";

/** A daemon's wish about the memory of a plan. */
export type MemoryIntent = Extract<
  Intent,
  { type: "reserve_memory" | "release_memory" }
>;

type Result = Extract<Event, { type: "reservation_ended" }>["result"];

/** Reserves or releases memory on an engine; a dead one refuses the connection. */
export function changeMemory(
  engine: EngineHost | undefined,
  intent: MemoryIntent,
): Result {
  const { plan } = intent;
  if (engine === undefined || !engine.up) {
    return intent.type === "reserve_memory" ? "refused" : "unknown";
  }
  if (intent.type === "reserve_memory") {
    const { tokens, ttlMs } = intent;
    return engine.reserve(plan, tokens, ttlMs) ? "held" : "refused";
  }
  engine.release(plan);
  return "released";
}
