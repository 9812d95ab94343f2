import { expect, test } from "vitest";
import type { Timestamp } from "../../src/core/time.ts";
import { ENGINE_PACE } from "../../src/testing/pool_fixtures.ts";
import { VirtualTime } from "../../src/testing/virtual_time.ts";
import { PassEngine, type SimJob } from "./pass_engine.ts";

test("an engine that has read its part and has nothing else goes on when the last helper has read", () => {
  const time = VirtualTime.create(0 as Timestamp);
  const clock = {
    now: () => time.now,
    after: (ms: number, run: () => void) => time.schedule(ms, run),
  };
  const [engine, helper] = [1, 2].map(() =>
    PassEngine.create(ENGINE_PACE, clock)
  );
  const events: number[] = [];
  const job: SimJob = {
    id: "split",
    promptTokens: 80_000,
    partsLeft: 2,
    tokensLeft: 100,
    onEvent: (at) => events.push(at),
    onEnd: () => {},
  };
  engine!.answer(job, 2);
  time.schedule(500, () => helper!.help(job, 2));
  time.run(10_000);
  expect(events[0]).toBeGreaterThan(500);
});
