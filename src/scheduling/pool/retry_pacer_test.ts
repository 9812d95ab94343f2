import { expect, test } from "vitest";
import type { Timestamp } from "../../core/time.ts";
import { RetryPacer } from "./retry_pacer.ts";

const NOW = 50_000 as Timestamp;

test("callers that are refused together retry one after another", () => {
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

test("no caller is told to wait longer than it can", () => {
  const pacer = RetryPacer.create();
  for (let i = 0; i < 100; i += 1) {
    pacer.nextRetryMs(NOW, { leftMs: 9_000, engines: 4 });
  }
  expect(pacer.nextRetryMs(NOW, { leftMs: 3_000, engines: 4 })).toBe(1_000);
});

test("a crest that is over is forgotten", () => {
  const pacer = RetryPacer.create();
  for (let i = 0; i < 20; i += 1) {
    pacer.nextRetryMs(NOW, { leftMs: 9_000, engines: 10 });
  }
  const later = (NOW + 10_000) as Timestamp;
  expect(pacer.nextRetryMs(later, { leftMs: 9_000, engines: 10 })).toBe(800);
});
