import { Buffer } from "node:buffer";
import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { EventStreamParser } from "./event_stream_parser.ts";

test.each([
  ["id: 1\ndata: a\n\n", "1"],
  ["id: 1\nid: 2\ndata: a\n\n", "2"],
  ["id: 1\r\ndata: a\r\nid:3\r\n\r\n", "3"],
  ["data: id: 9\n\n", undefined],
])("the last id of an event counts: %j", (text, id) => {
  const { events } = EventStreamParser.create().push(Buffer.from(text));
  expect(events.map((event) => event.id)).toEqual([id]);
});

/** Most bytes that are copied, searched and parsed for one received byte. */
const MAX_WORK_PER_BYTE = 8;
const STREAM_BYTES = 128 << 10;

// Guards against work that grows with the square of an event's size, which hung the daemon.
describe("an event without end in small pieces made the work for each byte grow", () => {
  const fillers = [": ping\n", "data: x\r\n", "\r", "x", "id: 1\n"];
  const sizes = [1, 2, 7, 64, 1_460];
  test.each(fillers.flatMap((filler) => sizes.map((size) => [filler, size])))(
    "%j in pieces of %i bytes",
    (filler, size) => {
      const text = String(filler).repeat(STREAM_BYTES / String(filler).length);
      const received = Buffer.from(text);
      const parser = EventStreamParser.create();
      for (let i = 0; i < received.length; i += Number(size)) {
        parser.push(received.subarray(i, i + Number(size)));
      }
      expect(parser.pendingBytes).toBe(received.length);
      expect(parser.workBytes / received.length)
        .toBeLessThan(MAX_WORK_PER_BYTE);
    },
  );
});

test("events are the same in whatever pieces they arrive", () => {
  const text = ": a\n\nid: 1\r\ndata: b\r\n\r\n\n\nid: 2\ndata: c\n\r\nid: 3\n";
  const bytes = Buffer.from(text);
  const [whole] = eventsInPieces(bytes, bytes.length);
  expect(whole).toEqual([
    ": a\n\n",
    "id: 1\r\ndata: b\r\n\r\n",
    "\n\n",
    "id: 2\ndata: c\n\r\n",
  ]);
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }),
      (sizes) => {
        expect(eventsInPieces(bytes, ...sizes)).toEqual([whole, 6]);
      },
    ),
    { seed: 46 },
  );
});

/** The texts of the events that bytes have, pushed in pieces of these sizes in turn, and the number of bytes left over. */
function eventsInPieces(
  bytes: Buffer,
  ...sizes: readonly number[]
): [string[], number] {
  const parser = EventStreamParser.create();
  const events: Buffer[] = [];
  let turn = 0;
  for (let i = 0; i < bytes.length;) {
    const size = sizes[turn % sizes.length]!;
    const parsed = parser.push(bytes.subarray(i, i + size));
    events.push(...parsed.events.map((event) => event.bytes));
    i += size;
    turn += 1;
  }
  return [events.map((event) => event.toString()), parser.pendingBytes];
}
