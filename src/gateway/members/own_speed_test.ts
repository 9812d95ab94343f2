import { describe, expect, test } from "vitest";
import { OwnSpeed } from "./own_speed.ts";

function slowAfterEach(samples: readonly number[]): boolean[] {
  const speed = OwnSpeed.create();
  return samples.map((ms) => speed.addSample(ms));
}

const NORMAL_SAMPLES_MS = [0.2, 0.21, 0.2, 0.22, 0.2];

describe("detection of a slow VM", () => {
  test("a VM at a sixth of its speed is slow after four samples, and recovers with the first normal sample", () => {
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

  test("one or two interrupted samples do not make a VM slow", () => {
    expect(
      slowAfterEach([...NORMAL_SAMPLES_MS, 40, 0.2, 60, 0.2]).some(Boolean),
    ).toBe(false);
  });

  test("a busy VM with three of four samples interrupted is not slow", () => {
    const busy = Array.from({ length: 40 }, (_, i) => i % 4 === 0 ? 0.25 : 2);
    expect(slowAfterEach([...NORMAL_SAMPLES_MS, ...busy]).some(Boolean)).toBe(
      false,
    );
  });

  test("decreasing times after a cold start do not make a VM slow", () => {
    expect(slowAfterEach([2, 1.5, 1, 0.6, 0.3, 0.25, 0.2, 0.2]).some(Boolean))
      .toBe(false);
  });

  test("a VM is not slow if the difference is below the clock's error", () => {
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
