import { describe, expect, test } from "vitest";
import { type FakeGateway } from "../../testing/fake_gateway_fleet.ts";
import { PoisonSimulation } from "../../testing/poison_simulation.ts";

const SIZE = { daemons: 8, upstreams: 12, seed: 20_261_204 };
const RUN_MS = 34_000;
/** Sends of a request that may reach an upstream after it has crashed three, as the platform requires. */
const MAX_LATE_SENDS = 3;

function leaderOf(play: PoisonSimulation): FakeGateway {
  const [first] = play.fleet.gateways;
  const { leader } = first!.core.board.members;
  return play.fleet.gateways.find((gateway) => gateway.card.vm === leader)!;
}

test("a poison request crashes two upstreams, and a third in its trial, where crashed addresses refuse connections", () => {
  const play = PoisonSimulation.create({ ...SIZE, refusesAfterCrash: true });
  play.run(RUN_MS);
  expect(play.crashes).toBeLessThanOrEqual(3);
});

test("a trial that can't be placed is given back", () => {
  const play = PoisonSimulation.create({ ...SIZE, refusesAfterCrash: true });
  play.run(4_500);
  expect(play.crashes).toBe(2);
  // No upstream is listed when the first trial is due.
  const closed = [...play.fleet.gateways[0]!.core.board.register.table.all()];
  for (const { id } of closed) play.fleet.register({ type: "gone", id });
  play.run(9_000);
  expect(play.crashes).toBe(2);
  for (const entry of closed) play.fleet.register({ type: "entry", entry });
  play.run(2_000);
  expect(play.crashes).toBe(3);
});

describe("a request that crashed three upstreams reaches at most three more", () => {
  test("in a fleet without other faults", () => {
    const play = PoisonSimulation.create(SIZE);
    play.run(RUN_MS);
    expect(play.crashes).toBeGreaterThan(1);
    expect(play.lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
  });

  test("when it is sent for ten minutes", () => {
    const play = PoisonSimulation.create(SIZE);
    play.run(600_000);
    expect(play.lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
  });

  test("when the leader is restarted repeatedly", () => {
    const play = PoisonSimulation.create(SIZE);
    play.run(10_000);
    for (let i = 0; i < 6; i += 1) {
      play.fleet.restart(leaderOf(play));
      play.run(4_000);
    }
    expect(play.lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
  });

  test("when all daemons are restarted in turn", () => {
    const play = PoisonSimulation.create(SIZE);
    play.run(10_000);
    for (const daemon of [...play.fleet.gateways]) {
      play.fleet.restart(daemon);
      play.run(3_000);
    }
    expect(play.lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
  });

  test("when all daemons are killed at once", () => {
    const play = PoisonSimulation.create(SIZE);
    play.run(10_000);
    for (let i = 0; i < 2; i += 1) {
      for (const daemon of [...play.fleet.gateways]) play.fleet.restart(daemon);
      play.run(12_000);
    }
    expect(play.lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
  });

  test("when half of the daemons are cut off and place requests by themselves", () => {
    const play = PoisonSimulation.create(SIZE);
    play.run(10_000);
    const half = play.fleet.gateways.filter((_, i) => i % 2 === 0);
    for (const daemon of half) daemon.cut = true;
    play.run(12_000);
    for (const daemon of half) daemon.cut = false;
    play.run(12_000);
    expect(play.lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
  });

  test("when many other contents run on upstreams that restart again and again", () => {
    const play = PoisonSimulation.create(SIZE);
    play.run(10_000);
    for (let i = 0; i < 60; i += 1) {
      play.crashBeside(Array.from({ length: 8 }, (_, j) => `other-${i}-${j}`));
      play.run(400);
    }
    expect(play.lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
  });
});
