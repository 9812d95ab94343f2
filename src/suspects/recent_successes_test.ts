import { expect, test } from "vitest";
import type { PromptPartId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { RecentSuccesses } from "./recent_successes.ts";
import { partKey } from "./suspect_key.ts";

const NOW = 0 as Timestamp;
const MAX_KEYS = 160;

// Guards against callers outside the limits, whose prompts have thousands of new parts: an eviction at each of them took
// 20 ms an answer, and sound prompts waited for seconds.
test("keys beyond the capacity are evicted a share at a time, the oldest first", () => {
  const successes = RecentSuccesses.create({ maxKeys: MAX_KEYS });
  const keys = Array.from(
    { length: MAX_KEYS + 1 },
    (_, i) => partKey(`${i}` as PromptPartId),
  );
  for (const key of keys) successes.record(key, NOW);
  const left = keys.filter((key) => successes.has(key, NOW));
  expect(left).toEqual(keys.slice(1 + MAX_KEYS / 16));
});
