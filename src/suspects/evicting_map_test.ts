import { expect, test } from "vitest";
import { EvictingMap } from "./evicting_map.ts";

const CAPACITY = 160;
const SETS = 10 * CAPACITY;

// Guards against a search for the oldest entry at each new one: it passes over all that were deleted before, so that an
// answer to a prompt with thousands of new parts took 20 ms.
test("an eviction frees a share of the map, and keeps what is kept", () => {
  const map = EvictingMap.create<string>({
    maxEntries: CAPACITY,
    isKept: (value) => value === "kept",
  });
  map.set("first", "kept");
  let evictions = 0;
  for (let i = 0; i < SETS; i += 1) {
    map.set(`${i}`, "other");
    if (map.isFull) evictions += 1;
    map.evict();
    expect([...map].length).toBeLessThanOrEqual(CAPACITY);
  }
  expect(evictions).toBeLessThanOrEqual(SETS / (CAPACITY / 16));
  expect(map.get("first")).toBe("kept");
  expect(map.get(`${SETS - 1}`)).toBe("other");
  expect(map.get("0")).toBeUndefined();
});
