import { expect, test } from "vitest";
import type { Timestamp } from "../../../core/time.ts";
import type { JobId } from "../pool_job.ts";
import { ReturnBook } from "./return_book.ts";

const NOW = 50_000 as Timestamp;

function refused(job: string, fields: { leftMs?: number; at?: number } = {}) {
  const [digest] = job.split(" ");
  const { leftMs = 9_000 } = fields;
  return {
    ask: { job: job as JobId, digest: digest!, leftMs },
    engineMs: 500,
    engines: 2,
    freeInMs: 100,
    mayBook: true,
  };
}

function at(ms: number): Timestamp {
  return (NOW + ms) as Timestamp;
}

test("callers are told times that follow each other by their engine time, and none after a third of their time", () => {
  const book = ReturnBook.create();
  book.recordDemand(1_000, NOW);
  const tell = (job: string, leftMs?: number) => {
    const { inMs, booked } = book.tell(refused(job, { leftMs }), NOW);
    return { inMs, booked };
  };
  expect([
    tell("a"),
    tell("b"),
    tell("short", 600),
    tell("c"),
  ]).toMatchInlineSnapshot(`
    [
      {
        "booked": true,
        "inMs": 100,
      },
      {
        "booked": true,
        "inMs": 600,
      },
      {
        "booked": false,
        "inMs": 1100,
      },
      {
        "booked": true,
        "inMs": 1100,
      },
    ]
  `);
});

test("a repeat is told the same time, and returns are counted by what became of them", () => {
  const book = ReturnBook.create();
  expect(book.tell(refused("a 0"), NOW).inMs).toBe(100);
  // The answer was lost.
  expect(book.tell(refused("a 0"), at(45)).inMs).toBe(55);
  // A repeat at once.
  expect(book.tell(refused("a 1"), at(20))).toEqual({
    inMs: 80,
    booked: true,
    isRepeat: true,
  });
  expect(book.known("a", at(20))?.came).toBe("early");
  expect(book.known("a", at(100))?.came).toBe("in_time");
  expect(book.known("a", at(1_200))).toBeUndefined();
  book.admitted("a", at(100));
  expect(book.known("a", at(100))).toBeUndefined();
  expect(book.counts.all()).toMatchInlineSnapshot(`
    [
      {
        "booked": true,
        "came": "early",
        "count": 1,
        "outcome": "refused",
      },
      {
        "booked": true,
        "came": "in_time",
        "count": 1,
        "outcome": "admitted",
      },
    ]
  `);
});

test("the deputy knows each booking after the next heartbeat, and books behind it", () => {
  const leader = ReturnBook.create();
  const deputy = ReturnBook.create();
  leader.tell(refused("a"), NOW);
  leader.tell(refused("b"), NOW);
  leader.tell(refused("unbooked", { leftMs: 30 }), NOW);
  for (const booking of leader.takeUnsent(at(40))) {
    deputy.addBooking(booking, { engines: 2, now: at(41) });
  }
  expect(leader.takeUnsent(at(80))).toEqual([]);
  expect(deputy.known("b", at(351))).toEqual({
    booked: true,
    came: "in_time",
    waitedMs: 310,
  });
  expect(deputy.known("unbooked", at(351))).toBeUndefined();
  expect(deputy.tell(refused("c"), at(60)).inMs).toBe(541);
});
