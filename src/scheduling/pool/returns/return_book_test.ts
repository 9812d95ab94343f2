import { expect, test } from "vitest";
import type { Timestamp } from "../../../core/time.ts";
import type { JobId } from "../pool_job.ts";
import { ReturnBook } from "./return_book.ts";

const NOW = 50_000 as Timestamp;

const LEFT_MS = 9_000;

/** A prompt that is refused `ms` after its caller first came. */
function refused(job: string, ms = 0, fields: { leftMs?: number } = {}) {
  const [digest] = job.split(" ");
  const { leftMs = LEFT_MS } = fields;
  return {
    ask: { job: job as JobId, digest: digest!, leftMs: leftMs - ms },
    engineMs: 500,
    engines: 2,
    freeInMs: 100,
    mayBook: true,
  };
}

/** What the book knows of a caller, `ms` after it first came. */
function known(book: ReturnBook, digest: string, ms: number) {
  return book.known({ digest, leftMs: LEFT_MS - ms }, at(ms));
}

function at(ms: number): Timestamp {
  return (NOW + ms) as Timestamp;
}

test("callers are told times that follow each other by their engine time, and none after a third of their time", () => {
  const book = ReturnBook.create();
  book.recordDemand(1_000, NOW);
  const tell = (job: string, leftMs?: number) => {
    const { inMs, booked } = book.tell(refused(job, 0, { leftMs }), NOW);
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
  expect(book.tell(refused("a 0", 45), at(45)).inMs).toBe(55);
  // A repeat at once.
  expect(book.tell(refused("a 1", 20), at(20))).toEqual({
    inMs: 80,
    booked: true,
    isRepeat: true,
  });
  expect(known(book, "a", 20)?.came).toBe("early");
  expect(known(book, "a", 100)?.came).toBe("in_time");
  book.admitted({ digest: "a", leftMs: LEFT_MS - 100 }, at(100));
  expect(known(book, "a", 100)).toBeUndefined();
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

test("a caller who doesn't return in time loses its booking, and is a new one when it does", () => {
  const book = ReturnBook.create();
  book.tell(refused("a"), NOW);
  expect(known(book, "a", 1_100)?.came).toBe("in_time");
  expect(known(book, "a", 1_101)).toBeUndefined();
  expect(book.tell(refused("a again", 1_200), at(1_200)).isRepeat).toBe(false);
  expect(book.counts.all()).toEqual([]);
});

test("the deputy knows each booking after the next heartbeat, and books behind it", () => {
  const leader = ReturnBook.create();
  const deputy = ReturnBook.create();
  leader.tell(refused("a"), NOW);
  leader.tell(refused("b"), NOW);
  leader.tell(refused("unbooked", 0, { leftMs: 30 }), NOW);
  for (const booking of leader.takeUnsent(at(40))) {
    deputy.addBooking(booking, { engines: 2, now: at(41) });
  }
  expect(leader.takeUnsent(at(80))).toEqual([]);
  expect(known(deputy, "b", 351)).toEqual({ booked: true, came: "in_time" });
  expect(known(deputy, "unbooked", 351)).toBeUndefined();
  // Another caller with the same content.
  const other = { digest: "b", leftMs: LEFT_MS };
  expect(deputy.known(other, at(351))).toBeUndefined();
  expect(deputy.tell(refused("c"), at(60)).inMs).toBe(541);
});
