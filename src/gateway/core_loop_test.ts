import { Buffer } from "node:buffer";
import { createSocket } from "node:dgram";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { expect, test, vi } from "vitest";
import { CoreLoop } from "./core_loop.ts";
import type { GatewayCore } from "./gateway_core.ts";
import type { GatewayEvent, GatewayIntent } from "./gateway_event.ts";
import { DatagramPort } from "./peers/datagram_port.ts";

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

test("messages that lay unread during a stall counted as missing", async () => {
  const port = 7_391;
  const messages = 100;
  const stallMs = 300;
  const startedAt = performance.now();
  const steps: { at: number; events: number }[] = [];
  const step = (at: number, events: readonly GatewayEvent[]) => {
    steps.push({ at: at - startedAt, events: events.length });
    return { intents: [], wakeAt: steps.length > 1 ? Infinity : at + 50 };
  };
  const loop = CoreLoop.create({ step } as unknown as GatewayCore, () => {});
  const received = DatagramPort.create(() =>
    loop.push({ type: "timed", ms: 0 })
  );
  await received.bind("127.0.0.1", port);
  const sender = createSocket("udp4");
  await new Promise<void>((resolve) => sender.bind(0, "127.0.0.1", resolve));
  loop.step();
  for (let i = 0; i < messages; i += 1) {
    sender.send(Buffer.from("x"), port, "127.0.0.1");
  }
  // Addresses are looked up by ticks that run before this one.
  process.nextTick(() => {
    const until = performance.now() + stallMs;
    while (performance.now() < until);
  });
  await vi.waitFor(() => expect(steps.length).toBeGreaterThan(1));
  expect(steps[1]!.events).toBe(messages);
  received.close();
  sender.close();
});

test("a stall of the event loop could not be told from slow upstreams", async () => {
  const stallMs = 300;
  let steps = 0;
  const step = (at: number) => {
    steps += 1;
    return { intents: [], wakeAt: steps > 1 ? Infinity : at + 50 };
  };
  const lines: GatewayIntent[] = [];
  const loop = CoreLoop.create(
    { step } as unknown as GatewayCore,
    (intent) => lines.push(intent),
  );
  loop.step();
  const until = performance.now() + stallMs;
  while (performance.now() < until);
  await vi.waitFor(() => expect(steps).toBe(2));
  expect(lines).toEqual([{
    type: "line",
    kind: "loop_stalled",
    fields: { late_ms: expect.any(Number), events: 0 },
  }]);
});
