import { expect, test } from "vitest";
import { fitLine } from "./fit.ts";
import { bytesNeed, cellOfFleet, largestCell, type Measured } from "./need.ts";

const FLAT = fitLine([{ x: 0, y: 0 }, { x: 1, y: 0 }]);
const ONE = fitLine([{ x: 0, y: 0 }, { x: 1, y: 1 }]);

function measured(): Measured {
  const wire = {
    peerMessage: FLAT,
    heartbeat: 200,
    vmList: ONE,
    engineLoad: 500,
    engineState: 400,
    engineCache: 300,
    emptyRead: 320,
    configRead: ONE,
  };
  const rates = {
    scheduling: { load: 2, state: 1, cache: 1 },
    other: { load: 0, state: 0.5, cache: 0 },
    vmList: [{ daemons: 41, perSecond: 0.1 }],
  };
  return { wire, rates } as unknown as Measured;
}

test("the bytes of a daemon are the sum of what it sends and receives", () => {
  const cell = cellOfFleet(41, 4);
  const needs = [false, true].map((schedules) =>
    bytesNeed(measured(), cell, schedules)
  );
  expect(needs.map(({ heartbeats, engineReports, vmList, logReads }) => ({
    heartbeats,
    engineReports,
    vmList,
    logReads,
  }))).toEqual([
    { heartbeats: 16_000, engineReports: 28_000, vmList: 181, logReads: 320 },
    { heartbeats: 16_000, engineReports: 238_000, vmList: 181, logReads: 320 },
  ]);
  for (const { total, ...parts } of needs) {
    const sum = Object.values(parts).reduce((all, one) => all + one, 0);
    expect(total).toBe(sum);
  }
});

test("the largest cell is the last one within the budget", () => {
  expect(
    [5, 100, 1_000_000].map((budget) => largestCell((n) => 10 * n, budget)),
  )
    .toEqual([0, 10, 410]);
});
