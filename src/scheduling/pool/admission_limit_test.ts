import { expect, test } from "vitest";
import type { UpstreamId } from "../../core/id.ts";
import { ENGINE_PACE, poolAsk } from "../../testing/pool_fixtures.ts";
import { admissionLimitMs } from "./admission_limit.ts";

const short = { promptTokens: 5_000, targetMs: 300, leftMs: 9_000 };

test("a prompt is taken as long as it can be in time", () => {
  expect(admissionLimitMs(poolAsk("a", short), ENGINE_PACE)).toBe(300);
});

test("one whose target an idle engine hardly meets is not refused for that", () => {
  const ask = poolAsk("a", { ...short, targetMs: 60 });
  expect(admissionLimitMs(ask, ENGINE_PACE)).toBeGreaterThan(140);
});

test("one that has failed elsewhere is taken as long as its caller waits", () => {
  const ask = poolAsk("a", { ...short, avoid: ["e1" as UpstreamId] });
  expect(admissionLimitMs(ask, ENGINE_PACE)).toBe(2_000);
});
