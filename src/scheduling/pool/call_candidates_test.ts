import { expect, test } from "vitest";
import { placementRequest } from "../../testing/pool_fixtures.ts";
import { callCandidates } from "./call_candidates.ts";

function membersOf(count: number) {
  return Array.from(
    { length: count },
    (_, i) => ({ id: i, domain: ["a", "b", "c"][i % 3]! }),
  );
}

test("a call is compared on all instances of a small service", () => {
  const members = membersOf(60);
  expect(callCandidates(members, placementRequest("j1"))).toBe(members);
});

test("calls to a large service are compared on few instances each, and on all of them together", () => {
  const members = membersOf(3_000);
  const seen = new Set<number>();
  for (let i = 0; i < 2_000; i += 1) {
    const ask = placementRequest(`vm-${i % 300}/1/${i}`, { domain: "a" });
    const sample = callCandidates(members, ask);
    expect(sample.length).toBe(96);
    expect(sample.filter(({ domain }) => domain === "a").length).toBe(48);
    for (const { id } of sample) seen.add(id);
  }
  expect(seen.size).toBe(members.length);
});
