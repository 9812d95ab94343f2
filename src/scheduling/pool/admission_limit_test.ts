import { expect, test } from "vitest";
import type { UpstreamId } from "../../core/id.ts";
import { ENGINE_PACE, placementRequest } from "../../testing/pool_fixtures.ts";
import { admissionLimitMs } from "./admission_limit.ts";

const short = { promptTokens: 5_000, targetMs: 300, leftMs: 9_000 };

test("admits a prompt that is predicted to meet its target", () => {
  expect(admissionLimitMs(placementRequest("a", short), ENGINE_PACE)).toBe(300);
});

test("admits a prompt whose target even an idle engine hardly meets", () => {
  const ask = placementRequest("a", { ...short, targetMs: 60 });
  expect(admissionLimitMs(ask, ENGINE_PACE)).toBeGreaterThan(140);
});

test("admits a prompt that failed on another upstream up to its caller's time-out", () => {
  const ask = placementRequest("a", { ...short, avoid: ["e1" as UpstreamId] });
  expect(admissionLimitMs(ask, ENGINE_PACE)).toBe(2_000);
});
