import { describe, expect, test } from "vitest";
import type { Digest, RequestId, UpstreamId } from "../core/id.ts";
import { SECOND_MS } from "../core/time.ts";
import { BlocksFixture, report } from "../testing/blocks_fixture.ts";

/** A prompt that loses two engines, each of which it shares with another prompt that runs there for the first time. */
class Bystander {
  readonly fixture = new BlocksFixture();
  readonly sound: RequestId;
  readonly first: RequestId;
  readonly second: RequestId;

  constructor() {
    const { fixture } = this;
    for (const id of ["e2", "e3", "e4"]) this.remove(id);
    this.sound = fixture.send("s");
    this.first = fixture.send("p");
    this.crashEngine();
    expect(fixture.isRunning(this.sound)).toBe(true);
    this.second = fixture.send("q");
    expect(fixture.isRunning(this.second)).toBe(true);
    this.crashEngine();
  }

  remove(id: string): void {
    this.fixture.core.board.upstreams.byId.delete(id as UpstreamId);
  }

  /** Crashes the only engine, and adds another one. */
  crashEngine(): void {
    const [engine] = this.fixture.core.board.upstreams.byId.keys();
    this.fixture.crash(engine!);
    this.fixture.wait(SECOND_MS);
  }

  running(): readonly RequestId[] {
    return [this.sound, this.first, this.second]
      .filter((req) => this.fixture.isRunning(req));
  }
}

describe("a prompt that ran beside two unlike prompts that crash engines, one after the other", () => {
  test("is not refused, and runs once these have crashed another engine", () => {
    const play = new Bystander();
    const { fixture, sound, first, second } = play;
    const ran: RequestId[] = [];
    for (let i = 0; i < 2; i += 1) {
      fixture.wait(2 * SECOND_MS);
      ran.push(...play.running());
      play.crashEngine();
    }
    expect([...ran].sort()).toEqual([first, second].sort());
    expect([first, second].map((req) => fixture.refusalOf(req)))
      .toEqual(["quarantined", "quarantined"]);
    fixture.wait(2 * SECOND_MS);
    expect(play.running()).toEqual([sound]);
    fixture.finish(sound);
    expect(fixture.refusalOf(sound)).toBeUndefined();
    expect(fixture.lost).toBe(4);
  });

  test("is refused after two engines if the others were answered", () => {
    const play = new Bystander();
    const { fixture, sound, first, second } = play;
    const ran: RequestId[] = [];
    for (let i = 0; i < 2; i += 1) {
      fixture.wait(2 * SECOND_MS);
      ran.push(...play.running());
      for (const req of play.running()) fixture.finish(req);
    }
    expect([...ran].sort()).toEqual([first, second].sort());
    fixture.wait(2 * SECOND_MS);
    expect(fixture.refusalOf(sound)).toBe("quarantined");
    expect(fixture.lost).toBe(2);
  });

  test("waits for 10 s if the others don't come back, and is free if these crash an engine later", () => {
    const play = new Bystander();
    const { fixture, sound, first, second } = play;
    for (const req of [first, second]) fixture.leave(req);
    fixture.wait(8 * SECOND_MS);
    expect(play.running()).toEqual([]);
    expect(fixture.refusalOf(sound)).toBeUndefined();
    fixture.wait(2 * SECOND_MS);
    expect(fixture.refusalOf(sound)).toBe("quarantined");
    expect(fixture.lost).toBe(2);
    const { quarantined } = fixture.core.board.quarantine;
    const digests = [first, second, sound].map((req) =>
      `digest-${req}` as Digest
    );
    for (const digest of digests.slice(0, 2)) {
      fixture.learn({ ...report("", `e-${digest}`), digest });
    }
    expect(digests.map((digest) => quarantined.has(digest)))
      .toEqual([true, true, false]);
  });

  test("is not refused by a daemon that does not know what else its engines ran", () => {
    const fixture = new BlocksFixture();
    fixture.followPeer();
    const sound = fixture.send("s");
    for (const [round, upstream] of ["e1", "e2"].entries()) {
      fixture.grant(sound, round + 1, upstream);
      fixture.crash(upstream as UpstreamId);
    }
    expect(fixture.refusalOf(sound)).toBeUndefined();
  });
});

test("content that crashed two engines alone is refused by the daemon that placed it, whichever daemon serves it", () => {
  const fixture = new BlocksFixture();
  const crashes = ["e8", "e9"].map((engine) => report("d", engine));
  fixture.learn(...crashes);
  expect([...fixture.core.board.quarantine.quarantined.keys()])
    .toEqual(["digest-d"]);
});

test("content that was answered by another daemon is not quarantined for crashes before its answer", () => {
  const fixture = new BlocksFixture();
  const { quarantine } = fixture.core.board;
  const digest = "digest-s" as Digest;
  fixture.placeForPeer("r1", { digest });
  fixture.learn(report("s", "e8"));
  fixture.endForPeer("r1");
  expect(quarantine.suspects.has(digest)).toBe(false);
  fixture.learn(report("s", "e8"), report("s", "e9"));
  expect(quarantine.quarantined.has(digest)).toBe(false);
  fixture.wait(70 * SECOND_MS);
  const atMs = -80 * SECOND_MS;
  const old = ["e8", "e9"].map((engine) => ({ ...report("s", engine), atMs }));
  fixture.learn(...old);
  expect(quarantine.suspects.has(digest)).toBe(false);
});

test("popular content that is answered in between is not quarantined for the crashes of others", () => {
  const fixture = new BlocksFixture();
  const digest = "popular" as Digest;
  for (let i = 0; i < 4; i += 1) {
    const [answered, lost] = [1, 2].map(() => fixture.send("s", 1_000, digest));
    fixture.finish(answered!);
    const { upstream } = fixture.core.board.requests.byId.get(lost!)!.attempt!
      .placement;
    fixture.crash(upstream);
    fixture.wait(2 * SECOND_MS);
    expect(fixture.isRunning(lost!)).toBe(true);
    fixture.finish(lost!);
  }
  expect(fixture.core.board.quarantine.quarantined.size).toBe(0);
});

test("content is refused in the step in which an answer leaves it as the only suspect", () => {
  const fixture = new BlocksFixture();
  const digest = "digest-s" as Digest;
  fixture.placeForPeer("o", { digest: "digest-o" as Digest });
  fixture.learn(report("o", "e8"), report("q", "e9"));
  fixture.learn(report("s", "e8"), report("s", "e9"));
  const req = fixture.send("x", 1_000, digest);
  fixture.wait(2 * SECOND_MS - 5);
  expect(fixture.isRunning(req)).toBe(false);
  expect(fixture.refusalOf(req)).toBeUndefined();
  const { attempts } = fixture;
  fixture.endForPeer("o");
  expect(fixture.refusalOf(req)).toBe("quarantined");
  expect(fixture.attempts).toBe(attempts);
});

test("content that was answered and then turns deadly loses three engines at most", () => {
  const fixture = new BlocksFixture();
  const digest = "turning" as Digest;
  fixture.finish(fixture.send("s", 1_000, digest));
  const req = fixture.send("s", 1_000, digest);
  while (fixture.isRunning(req)) {
    const { attempt } = fixture.core.board.requests.byId.get(req)!;
    fixture.crash(attempt!.placement.upstream);
  }
  expect(fixture.refusalOf(req)).toBe("quarantined");
  expect(fixture.lost).toBeLessThanOrEqual(3);
});
