import { expect, test } from "vitest";
import type { Digest } from "../core/id.ts";
import { HOUR_MS, SECOND_MS } from "../core/time.ts";
import { blocksField } from "../scheduling/place_messages.ts";
import { BlocksFixture, blocksOf, report } from "../testing/blocks_fixture.ts";

test("an answered block is not blamed for the crashes of prompts that share it with a deadly block", () => {
  const fixture = new BlocksFixture();
  expect(fixture.play("cx")).toBe("answered");
  for (let i = 0; i < 4; i += 1) {
    expect(fixture.play(`cd${i}`)).toBe("quarantined");
    expect(fixture.play(`cs${i}`)).toBe("answered");
  }
  expect(fixture.lost).toBe(2);
});

test("sound prompts that share a block with crashing ones, and were never answered, run again within 6 s", () => {
  const fixture = new BlocksFixture();
  fixture.play("cd1");
  expect(fixture.play("cs1")).toBe("quarantined");
  fixture.wait(6 * SECOND_MS);
  expect(fixture.play("cs2")).toBe("answered");
  expect(fixture.play("cs3")).toBe("answered");
  expect(fixture.play("cd2")).toBe("quarantined");
  // Two, and a trial after 5 s.
  expect(fixture.lost).toBe(3);
});

test("a deadly block that comes every second loses at most eight engines in an hour", () => {
  const fixture = new BlocksFixture();
  for (let ms = 0; ms < HOUR_MS - SECOND_MS; ms += SECOND_MS) {
    fixture.play(`d${ms}`);
    fixture.wait(SECOND_MS);
  }
  expect(fixture.lost).toBeLessThanOrEqual(8);
});

test("prompts with a block that one of them may crash run one at a time until it is answered", () => {
  const fixture = new BlocksFixture();
  fixture.learn(report("c9", "e9"));
  const [first, second] = ["ca", "cb"].map((letters) => fixture.send(letters));
  expect([first!, second!].map((req) => fixture.isRunning(req)))
    .toEqual([true, false]);
  fixture.finish(first!);
  fixture.wait(2 * SECOND_MS);
  expect(fixture.isRunning(second!)).toBe(true);
});

test("a prompt that ran beside a deadly block is free once the block has crashed another engine", () => {
  const fixture = new BlocksFixture();
  for (const engine of ["e8", "e9"]) {
    fixture.learn(report("d1", engine), report("s", engine));
  }
  const { quarantined } = fixture.core.board.quarantine;
  expect(quarantined.has("digest-s" as Digest)).toBe(true);
  fixture.learn(report("d2", "e7"));
  expect(quarantined.has("digest-s" as Digest)).toBe(false);
  expect(quarantined.has("digest-d1" as Digest)).toBe(true);
  expect(fixture.play("s1")).toBe("answered");
  expect(fixture.play("d3")).toBe("quarantined");
});

test("a prompt that ran beside two prompts with a deadly block is free, whichever crash is reported last", () => {
  const beside = [["d1", "e8"], ["s", "e8"], ["d2", "e9"], [
    "s",
    "e9",
  ]] as const;
  for (const order of [beside, [...beside].reverse()]) {
    const fixture = new BlocksFixture();
    for (const [letters, engine] of order) {
      fixture.learn(report(letters, engine));
    }
    expect(fixture.core.board.quarantine.quarantined.size).toBe(0);
  }
});

test("a block that was answered and then turns deadly is quarantined", () => {
  const fixture = new BlocksFixture();
  fixture.core.board.quarantine.blocks.recordAnswer(
    blocksOf("d"),
    fixture.core.now,
  );
  for (let i = 0; i < 12; i += 1) fixture.play(`d${i}`);
  expect(fixture.lost).toBeLessThanOrEqual(8);
});

test("a daemon that has restarted learns of blocks from its peers, and of whole prompts from earlier builds", () => {
  const fixture = new BlocksFixture();
  const { blocks: _, ...earlierBuild } = report("x", "e9");
  fixture.learn(report("d1", "e7"), report("d2", "e8"));
  fixture.learn(earlierBuild, { ...earlierBuild, upstream: "e8" });
  expect(fixture.play("d3")).toBe("quarantined");
  expect(fixture.lost).toBe(0);
  const { quarantined } = fixture.core.board.quarantine;
  expect([...quarantined.keys()]).toEqual(["digest-x"]);
});

test("an engine that falls silent over a block makes it run one at a time until the engine responds", () => {
  const fixture = new BlocksFixture();
  const silent = { ...report("c9", "e1"), silent: true };
  fixture.learn({ ...silent, incarnation: "e1-run-1" });
  const [, second] = ["ca", "cb"].map((letters) => fixture.send(letters));
  expect(fixture.isRunning(second!)).toBe(false);
  fixture.core.board.quarantine.silentRuns.clear();
  fixture.wait(2 * SECOND_MS);
  expect(fixture.isRunning(second!)).toBe(true);
});

test("a queued prompt is refused at its turn if its block has been quarantined meanwhile", () => {
  const fixture = new BlocksFixture();
  const ahead = [0, 1, 2, 3].map((i) => fixture.send(`x${i}`, 100_000));
  const queued = fixture.send("d1", 100_000);
  expect(fixture.isRunning(queued)).toBe(false);
  fixture.learn(report("d2", "e8"), report("d3", "e9"));
  for (const req of ahead) fixture.finish(req);
  expect(fixture.refusalOf(queued)).toBe("quarantined");
});

test("the daemon that places a prompt learns from its end that its blocks were answered", () => {
  const fixture = new BlocksFixture();
  const { core } = fixture;
  fixture.learn(report("c9", "e9"));
  expect(core.board.quarantine.blocks.size).toBe(2);
  fixture.placeForPeer("r1", { blocks: blocksOf("ca") });
  fixture.endForPeer("r1");
  expect(core.board.quarantine.blocks.size).toBe(1);
});

test("a prompt that lost its engine is not placed beside a block that became suspect after it was placed", () => {
  const fixture = new BlocksFixture();
  const { byId: upstreams } = fixture.core.board.upstreams;
  const runs = ["s1", "d1"].map((letters) => fixture.send(letters));
  const [first, second] = runs.map((req) =>
    fixture.core.board.requests.byId.get(req)!.attempt!.placement.upstream
  );
  fixture.learn(report("d2", "e9"));
  for (const id of upstreams.keys()) {
    if (id !== first && id !== second) upstreams.delete(id);
  }
  fixture.crash(first!, false);
  expect(fixture.isRunning(runs[0]!)).toBe(false);
});

test("a daemon that knows a block as answered doesn't keep others from learning of the blocks behind it", () => {
  const fixture = new BlocksFixture();
  const common = "abcefghijklmnopqrstu";
  const blocks = blocksOf(`${common}d1`);
  const crashes = ["e8", "e9"].map((engine) => report("d1", engine));
  for (const known of [blocks.slice(0, 16), blocks.slice(20)]) {
    fixture.learn(
      ...crashes.map((crash) => ({ ...crash, ...blocksField(known) })),
    );
  }
  const { blocks: suspects } = fixture.core.board.quarantine;
  suspects.recordAnswer(blocksOf(common), fixture.core.now);
  expect(fixture.play(`${common}d3`)).toBe("quarantined");
  expect(fixture.play(`${common}s`)).toBe("answered");
  expect(fixture.lost).toBe(0);
});

test("a trial that left its engine silent is not given back when its request ends", () => {
  const fixture = new BlocksFixture();
  const { core } = fixture;
  fixture.learn(report("d1", "e8"), report("d2", "e9"));
  fixture.wait(5 * SECOND_MS);
  const trial = fixture.send("d3");
  for (let i = 0; i < 2; i += 1) fixture.silence(trial);
  expect(core.board.requests.byId.has(trial)).toBe(false);
  fixture.wait(5 * SECOND_MS);
  expect(fixture.isRunning(fixture.send("d4"))).toBe(false);
});
