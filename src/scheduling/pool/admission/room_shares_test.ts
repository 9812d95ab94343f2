import { expect, test } from "vitest";
import type { DomainId, UpstreamId } from "../../../core/id.ts";
import type { Timestamp } from "../../../core/time.ts";
import { poolJob } from "../../../testing/pool_fixtures.ts";
import { UpstreamLoad } from "../upstream_load.ts";
import { type PromptClass, RoomShares } from "./room_shares.ts";

const NOW = 10_000 as Timestamp;
const CANDIDATES = Array.from({ length: 10 }, (_, i) => {
  const id = `e${i}` as UpstreamId;
  const load = UpstreamLoad.create(id);
  if (i >= 7) load.add(poolJob(`s${i}`, id, { writing: true }), NOW);
  return { id, domain: "a" as DomainId, slots: 8, load };
});

/** Engines that short prompts may use after an offer of so many engines, with a weight each. */
function shared(
  offers: Readonly<Record<PromptClass, readonly [number, number]>>,
  lacked = true,
): readonly string[] | undefined {
  const shares = RoomShares.create();
  for (const [name, [engines, weight]] of Object.entries(offers)) {
    const prompt = { engineMs: engines * 1_000, weight };
    shares.offer(name as PromptClass, NOW, prompt);
  }
  if (lacked) shares.lacked(NOW);
  const ids = shares.shortEngines(CANDIDATES, NOW);
  return ids === undefined ? undefined : [...ids];
}

test("engines are divided only if more is offered than they can do and a prompt found no place", () => {
  expect(shared({ short: [3, 1], long: [3, 1] })).toBeUndefined();
  expect(shared({ short: [9, 1], long: [9, 1] }, false)).toBeUndefined();
  expect(shared({ short: [9, 1], long: [9, 1] })).toHaveLength(5);
});

test("short prompts keep the engines that decode theirs, and get what the higher rank needs", () => {
  expect({
    few: shared({ short: [3, 1], long: [20, 1] }),
    urgent: shared({ short: [6, 1], long: [9, 0.25] })?.length,
    beside: shared({ short: [20, 1], long: [1, 0.25] })?.length,
  }).toMatchInlineSnapshot(`
    {
      "beside": 10,
      "few": [
        "e7",
        "e8",
      ],
      "urgent": 8,
    }
  `);
});
