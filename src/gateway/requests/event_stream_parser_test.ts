import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { EventStreamParser } from "./event_stream_parser.ts";

test.each([
  ["id: 1\ndata: a\n\n", "1"],
  ["id: 1\nid: 2\ndata: a\n\n", "2"],
  ["id: 1\r\ndata: a\r\nid:3\r\n\r\n", "3"],
  ["data: id: 9\n\n", undefined],
])("the last id of an event counts: %j", (text, id) => {
  const events = EventStreamParser.create().push(Buffer.from(text));
  expect(events._unsafeUnwrap().map((event) => event.id)).toEqual([id]);
});
