import { expect, test } from "vitest";
import type { Timestamp } from "../../core/time.ts";
import { ReturnTimes } from "./return_times.ts";

const NOW = 50_000 as Timestamp;

test("callers that are refused together retry one after another", () => {
  const times = ReturnTimes.create();
  const waits = Array.from(
    { length: 5 },
    () => times.next(NOW, { leftMs: 9_000, engines: 10 }),
  );
  expect(waits).toMatchInlineSnapshot(`
    [
      800,
      900,
      1000,
      1100,
      1200,
    ]
  `);
});

test("no caller is told to wait longer than it can", () => {
  const times = ReturnTimes.create();
  for (let i = 0; i < 100; i += 1) {
    times.next(NOW, { leftMs: 9_000, engines: 4 });
  }
  expect(times.next(NOW, { leftMs: 3_000, engines: 4 })).toBe(1_000);
});

test("a crest that is over is forgotten", () => {
  const times = ReturnTimes.create();
  for (let i = 0; i < 20; i += 1) {
    times.next(NOW, { leftMs: 9_000, engines: 10 });
  }
  const later = (NOW + 10_000) as Timestamp;
  expect(times.next(later, { leftMs: 9_000, engines: 10 })).toBe(800);
});
