import { expect, test } from "vitest";
import type { Timestamp } from "../../core/time.ts";
import { RetryPacer } from "./retry_pacer.ts";

const NOW = 50_000 as Timestamp;

test("callers that are refused at the same time get increasing Retry-After times", () => {
  const pacer = RetryPacer.create();
  const waits = Array.from(
    { length: 5 },
    () => pacer.nextRetryMs(NOW, { leftMs: 9_000, engines: 10 }),
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

test("Retry-After is at most a third of the caller's remaining time", () => {
  const pacer = RetryPacer.create();
  for (let i = 0; i < 100; i += 1) {
    pacer.nextRetryMs(NOW, { leftMs: 9_000, engines: 4 });
  }
  expect(pacer.nextRetryMs(NOW, { leftMs: 3_000, engines: 4 })).toBe(1_000);
});

test("Retry-After returns to its minimum after a burst is over", () => {
  const pacer = RetryPacer.create();
  for (let i = 0; i < 20; i += 1) {
    pacer.nextRetryMs(NOW, { leftMs: 9_000, engines: 10 });
  }
  const later = (NOW + 10_000) as Timestamp;
  expect(pacer.nextRetryMs(later, { leftMs: 9_000, engines: 10 })).toBe(800);
});
