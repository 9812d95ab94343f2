import { expect, test } from "vitest";
import type { ServiceId, TeamId } from "../../core/id.ts";
import { Random } from "../../core/random.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import { placementRequest, poolJob } from "../../testing/pool_fixtures.ts";
import { VirtualTime } from "../../testing/virtual_time.ts";
import { ServiceRooms } from "./service_rooms.ts";

const ENGINES = 8;
const MEAN_ENGINE_MS: Millis = 40;
const TARGET_MS: Millis = 300;
const TIMEOUT_MS: Millis = 2_000;
const LEFT_MS: Millis = 10_000;
const END_MS: Millis = 20_000;
const SERVICE = "pool" as ServiceId;

/** A team's demand as a multiple of the room, and when it has some; its callers return as told, or at once and often. */
type TestTeam = Readonly<
  { demand: number; rank?: number; fromMs?: Millis; repeats?: number }
>;

/** Plays teams against engines of which each is one number: the prefill that waits there. */
function replay(teams: Readonly<Record<string, TestTeam>>) {
  const time = VirtualTime.create(0 as Timestamp);
  const random = Random.create(7);
  const rooms = ServiceRooms.create();
  const listed = Object.entries(teams).map(([id, { rank }]) => ({
    id: id as TeamId,
    rank,
  }));
  const callers = { teams: listed, shortestTimeoutMs: LEFT_MS };
  rooms.configure(callers, new Set([SERVICE]));
  const room = rooms.of(SERVICE);
  const tallies = listed.map(({ id }) => ({
    id,
    asked: 0,
    served: 0,
    inTimeMs: 0,
    engineMs: 0,
  }));
  const busyUntil = Array.from({ length: ENGINES }, () => 0);

  const submit = (
    call: Readonly<{
      tally: typeof tallies[number];
      engineMs: Millis;
      digest: string;
      at: Timestamp;
    }>,
    attempt: number,
  ) => {
    const { tally, engineMs, digest } = call;
    const { now } = time;
    const waitedMs = now - call.at;
    const leftMs = LEFT_MS - waitedMs;
    const fields = { service: SERVICE, team: tally.id };
    const job = `${digest} ${attempt}`;
    const ask = placementRequest(job, {
      ...fields,
      digest,
      promptTokens: engineMs,
      leftMs,
    });
    const promptClass = "short";
    const demand = { ask, promptClass, engineMs, waitedMs } as const;
    const terms = room.request(demand, now);
    const { isDue, spareTokens } = terms;
    const waits = busyUntil.map((at) => Math.max(0, at - now));
    const expectMs = Math.min(...waits) + engineMs;
    const limitMs = isDue ? TIMEOUT_MS : TARGET_MS;
    const isLate = !isDue && waitedMs + expectMs > limitMs;
    if (expectMs + spareTokens <= limitMs && !isLate) {
      busyUntil[waits.indexOf(Math.min(...waits))] = now + expectMs;
      room.admit(ask, now);
      rooms.charge(poolJob(job, "e", { ...fields, engineMs }), now);
      tally.served += 1;
      if (now <= END_MS) tally.engineMs += engineMs;
      if (attempt === 0) tally.inTimeMs += engineMs;
      return;
    }
    const freeInMs = expectMs - limitMs;
    const told = room.refuse(
      { ...demand, engines: ENGINES, freeInMs },
      now,
    );
    const { repeats = 0 } = teams[tally.id]!;
    if (attempt >= Math.max(1, repeats)) return;
    const inMs = repeats > 0 ? 20 : Math.min(told.inMs, leftMs / 3);
    time.schedule(inMs, () => submit(call, attempt + 1));
  };

  for (const tally of tallies) {
    const { demand, fromMs = 0 } = teams[tally.id]!;
    const gapMs = MEAN_ENGINE_MS / (demand * ENGINES);
    for (let at = fromMs; at < END_MS;) {
      at += -gapMs * Math.log(1 - random.next());
      const engineMs = MEAN_ENGINE_MS * (0.5 + random.next());
      const digest = `${tally.id}-${at}`;
      time.schedule(at, () => {
        tally.asked += 1;
        submit({ tally, engineMs, digest, at: time.now }, 0);
      });
    }
  }
  time.run(END_MS + LEFT_MS);
  return { tallies, returns: room.returns.counts.all() };
}

/** A few large teams and many small ones that ask for `load` times the room together. */
function unevenTeams(load: number): Record<string, TestTeam> {
  const small = Array.from({ length: 21 }, () => 0.45 / 21);
  const parts = [0.3, 0.15, 0.1, ...small];
  return Object.fromEntries(
    parts.map((part, i) => [`t${i}`, { demand: part * load }]),
  );
}

function sumOf<T>(values: readonly T[], valueOf: (value: T) => number): number {
  return values.reduce((sum, value) => sum + valueOf(value), 0);
}

/** Part of the room that each team used. */
function roomParts(teams: Readonly<Record<string, TestTeam>>): number[] {
  return replay(teams).tallies.map(({ engineMs }) =>
    engineMs / END_MS / ENGINES
  );
}

const inTimeAtCapacity = sumOf(
  replay(unevenTeams(1)).tallies,
  ({ inTimeMs }) => inTimeMs,
);

test.each([1, 1.5, 2, 3, 4])(
  "at %s times the capacity small teams are served and told times are kept",
  (load) => {
    const { tallies, returns } = replay(unevenTeams(load));
    const parts = tallies.map(({ served, asked }) => served / asked);
    const mean = sumOf(parts, (part) => part) / parts.length;
    expect(parts.at(-1)).toBeGreaterThan(mean - 0.1);
    // The pages count a team as starved that is served less than a quarter as often as all.
    const all = sumOf(tallies, ({ served }) => served) /
      sumOf(tallies, ({ asked }) => asked);
    expect(Math.min(...parts)).toBeGreaterThan(all / 4);
    const inTime = sumOf(tallies, ({ inTimeMs }) => inTimeMs);
    expect(inTime).toBeGreaterThan(0.95 * inTimeAtCapacity);
    const booked = returns.filter((one) => one.booked);
    const kept = booked.filter(({ outcome }) => outcome === "admitted");
    const told = sumOf(booked, ({ count }) => count);
    expect(sumOf(kept, ({ count }) => count)).toBeGreaterThanOrEqual(
      0.9 * told,
    );
  },
);

test("room that a team leaves is used by another, and is its own again when it wants it", () => {
  const [busy, late] = roomParts({
    busy: { demand: 2 },
    late: { demand: 2, fromMs: END_MS / 2 },
  });
  expect(busy! + late!).toBeGreaterThan(0.95);
  // Half of the second half.
  expect(late).toBeGreaterThan(0.25 * 0.8);
  const [large, small] = replay({
    large: { demand: 4 },
    small: { demand: 0.1 },
  }).tallies;
  expect(small!.served / small!.asked).toBeGreaterThan(0.9);
  const usedMs = large!.engineMs + small!.engineMs;
  expect(usedMs / END_MS / ENGINES).toBeGreaterThan(0.95);
});

test("a team whose callers repeat at once takes no room from the others", () => {
  const others = { a: { demand: 0.8 }, b: { demand: 0.8 } };
  const patient = roomParts({ ...others, c: { demand: 0.8 } });
  const repeating = roomParts({ ...others, c: { demand: 0.8, repeats: 8 } });
  expect(repeating[0]).toBeGreaterThan(0.9 * patient[0]!);
  expect(repeating[1]).toBeGreaterThan(0.9 * patient[1]!);
});

test("a rank halves a team's part, down to a quarter", () => {
  const parts = roomParts({
    first: { demand: 2, rank: 0 },
    second: { demand: 2, rank: 1 },
    last: { demand: 2, rank: 9 },
  });
  [4 / 7, 2 / 7, 1 / 7].forEach((part, i) => {
    expect(Math.abs(parts[i]! - part)).toBeLessThan(0.1);
  });
});

test("nothing is held back while no team is refused, or with one team alone", () => {
  const rooms = ServiceRooms.create();
  const now = 1_000 as Timestamp;
  const team = "a" as TeamId;
  const job = poolJob("j", "e", { service: SERVICE, team, engineMs: 900 });
  const teams = [{ id: team }, { id: "b" as TeamId }];
  rooms.configure({ teams, shortestTimeoutMs: LEFT_MS }, new Set([SERVICE]));
  rooms.charge(job, now);
  const { short: shares } = rooms.of(SERVICE).shares;
  expect(shares.factor(team, now)).toBe(1);
  shares.recordRefused("b" as TeamId, 50, now);
  const later = (now + 100) as Timestamp;
  expect(shares.factor(team, later)).toBeLessThan(1);
  expect(shares.factor("b" as TeamId, later)).toBe(1);
  expect(shares.factor(team, (now + 3_100) as Timestamp)).toBe(1);
  rooms.configure(
    { teams: teams.slice(0, 1), shortestTimeoutMs: LEFT_MS },
    new Set([SERVICE]),
  );
  expect(shares.factor(team, later)).toBe(1);
});
