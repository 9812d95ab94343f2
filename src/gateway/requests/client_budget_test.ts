import { expect, test } from "vitest";
import type { Timestamp } from "../../core/time.ts";
import {
  chooseConnection,
  chooseHolding,
  clientSharesOf,
  type HoldingStage,
} from "./client_budget.ts";

const MIB = 1 << 20;
const NOW = 10_000 as Timestamp;
const SHARES = { bytes: 16 * MIB, connections: 4, getConnections: 4 };

function holding(name: string, stage: HoldingStage, mib: number, stillMs = 0) {
  return { name, stage, bytes: mib * MIB, movedAt: NOW - stillMs as Timestamp };
}

function chosen(holdings: readonly ReturnType<typeof holding>[], mib: number) {
  const state = { heldBytes: mib * MIB, now: NOW };
  return chooseHolding(holdings, SHARES, state)?.name;
}

test.each([[112, 2_069], [160, 512], [202, 2_069], [602, 8_192]])(
  "shares of a process with %i MB and %i descriptors",
  (memoryMb, descriptors) => {
    const memoryBytes = memoryMb * MIB;
    const shares = clientSharesOf({ memoryBytes, descriptors });
    // A body of 4 MiB fits, also while its buffer is enlarged.
    expect(shares.bytes).toBeGreaterThanOrEqual(12 * MIB);
    expect({ ...shares, bytes: shares.bytes / MIB }).toMatchSnapshot();
  },
);

test("nothing is given up while all fits", () => {
  expect(chosen([holding("a", "body", 12, 9_000)], 12)).toBeUndefined();
});

test("what stands still goes before what moves, and then what holds most", () => {
  const large = holding("large", "body", 9);
  const small = holding("small", "body", 1);
  const still = holding("still", "head", 2, 1_000);
  expect(chosen([small, large, still], 20)).toBe("still");
  expect(chosen([small, large], 20)).toBe("large");
});

test("requests that wait for a place go after bodies, and what is pipelined before them", () => {
  const queued = holding("queued", "queued", 9, 5_000);
  const body = holding("body", "body", 1);
  const behind = holding("behind", "behind", 1);
  expect(chosen([queued, body, behind], 20)).toBe("behind");
  expect(chosen([queued, body], 20)).toBe("body");
  expect(chosen([queued], 20)).toBe("queued");
});

test("a request that was passed on is kept, and its answer while it is read", () => {
  const running = holding("running", "running", 30, 60_000);
  const read = holding("read", "unread", 9, 4_000);
  const unread = holding("unread", "unread", 1, 5_000);
  expect(chosen([running, read], 40)).toBeUndefined();
  expect(chosen([running, read, unread], 40)).toBe("unread");
});

test("the last quarter is for what is small", () => {
  const small = { ...holding("small", "body", 0), bytes: 8 << 10 };
  const running = holding("running", "running", 14);
  expect(chosen([running, small], 14)).toBeUndefined();
  expect(chosen([running, small, holding("large", "body", 1)], 15))
    .toBe("large");
  expect(chosen([running, small], 17)).toBe("small");
});

test("connections are closed by what they are used for, and then by their idle time", () => {
  const use = (name: string, stage: HoldingStage, idleMs: number) => ({
    ...holding(name, stage, 0, idleMs),
    idleMs,
    requests: 0,
  });
  const kept = { ...use("kept", "idle", 9_000), requests: 3 };
  const all = [
    use("running", "running", 9_000),
    use("moving", "body", 0),
    use("body", "body", 2_000),
    kept,
    use("new", "idle", 10),
    use("head", "head", 2_000),
  ];
  const names = [];
  for (let left = all; left.length > 0;) {
    const one = chooseConnection(left, NOW);
    if (one === undefined) break;
    names.push(one.name);
    left = left.filter((other) => other !== one);
  }
  expect(names).toEqual(["head", "new", "kept", "body"]);
});
