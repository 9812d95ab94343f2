import { expect, test, vi } from "vitest";
import { CoreLoop } from "./core_loop.ts";
import type { GatewayCore } from "./gateway_core.ts";

test("a wake time beyond the longest timer stepped the core every millisecond", () => {
  vi.useFakeTimers();
  try {
    const step = vi.fn(() => ({ intents: [], wakeAt: 1e15 }));
    CoreLoop.create({ step } as unknown as GatewayCore, () => {}).step();
    vi.advanceTimersByTime(1_000);
    expect(step).toHaveBeenCalledTimes(1);
  } finally {
    vi.useRealTimers();
  }
});
