import { expect, test } from "vitest";
import { wasInTime, wasRefused } from "./prompt_record.ts";
import { measure, type RunOptions } from "./run.ts";

const OPTIONS: RunOptions = {
  scenario: "cooperative",
  policy: "parsleyfield",
  load: 0.7,
  seed: 5,
  minutes: 0.25,
  warmMinutes: 0.25,
  faults: false,
};

test("the policy beats the naive one on head-of-line blocking, and every prompt ends in time or is refused", () => {
  const policy = measure(OPTIONS);
  const naive = measure({ ...OPTIONS, policy: "naive" });
  const { ttft_ms, in_time_ratio } = policy.summary;
  const p99 = ttft_ms["<=4k"]!.p99!;
  expect(p99).toBeLessThan(naive.summary.ttft_ms["<=4k"]!.p99! / 2);
  expect(in_time_ratio).toBeGreaterThan(naive.summary.in_time_ratio);
  for (const record of policy.records) {
    if (!record.arrival.measured) continue;
    const ended = wasRefused(record) || wasInTime(record) ||
      record.result === "deadline_exceeded";
    expect(ended).toBe(true);
  }
  expect(policy.summary.in_time).toBe(policy.summary.admitted);
});

test("the same seed gives the same figures", () => {
  const short = { ...OPTIONS, minutes: 0.1, warmMinutes: 0.1 };
  expect(measure(short).summary).toEqual(measure(short).summary);
});
