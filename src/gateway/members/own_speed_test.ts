import { describe, expect, test } from "vitest";
import { OwnSpeed } from "./own_speed.ts";

function slowAfterEach(samples: readonly number[]): boolean[] {
  const speed = OwnSpeed.create();
  return samples.map((ms) => speed.addSample(ms));
}

const NORMAL_SAMPLES_MS = [0.2, 0.21, 0.2, 0.22, 0.2];

describe("a VM's own speed", () => {
  test("six times slower: slow after four samples, sound with the first one that is not", () => {
    const slow = slowAfterEach([
      ...NORMAL_SAMPLES_MS,
      1.2,
      1.2,
      1.2,
      1.2,
      1.2,
      0.2,
      0.2,
    ]);
    expect(slow.slice(5))
      .toEqual([false, false, false, true, true, false, false]);
  });

  test("one or two interruptions are not slowness", () => {
    expect(
      slowAfterEach([...NORMAL_SAMPLES_MS, 40, 0.2, 60, 0.2]).some(Boolean),
    ).toBe(false);
  });

  test("a busy VM, whose work is interrupted three times in four, is not slow", () => {
    const busy = Array.from({ length: 40 }, (_, i) => i % 4 === 0 ? 0.25 : 2);
    expect(slowAfterEach([...NORMAL_SAMPLES_MS, ...busy]).some(Boolean)).toBe(
      false,
    );
  });

  test("a cold start is not slowness", () => {
    expect(slowAfterEach([2, 1.5, 1, 0.6, 0.3, 0.25, 0.2, 0.2]).some(Boolean))
      .toBe(false);
  });

  test("nothing is said of work that is too short for the clock", () => {
    expect(
      slowAfterEach([
        ...NORMAL_SAMPLES_MS.map((ms) => ms / 10),
        0.06,
        0.06,
        0.06,
        0.06,
      ]),
    )
      .not.toContain(true);
  });
});
