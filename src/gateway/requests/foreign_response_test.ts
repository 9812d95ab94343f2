import { afterEach, expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
  type UpstreamScript,
} from "../../testing/front_server_fixture.ts";

let fixture: FrontServerFixture;

afterEach(() => fixture.close());

/** A web server behind the address of an upstream: its answers bear neither the request's id nor a digest. */
const stranger: UpstreamScript = (socket) =>
  socket.end("HTTP/1.1 404 -\r\nContent-Length: 2\r\n\r\nno");

const answer: UpstreamScript = (socket) => {
  const headers = { "X-Response-Seal": "seal", "Content-Length": 2 };
  socket.end(responseHeadText(200, headers) + "ok");
};

test("a web server's 404 in place of an upstream's answer reached the client of a call that runs once", async () => {
  fixture = await FrontServerFixture.start([stranger], { kind: "once" });
  const { status, body } = await fixture.send("/lookup/x");
  expect([status, JSON.parse(body).verdict]).toEqual([502, "may_have_run"]);
});

test("a call that may be repeated is sent to an upstream after a web server's 404", async () => {
  fixture = await FrontServerFixture.start([stranger, answer], {
    kind: "repeatable",
    maxAttempts: 2 as never,
  });
  const { status, body } = await fixture.send("/lookup/x");
  expect([status, body]).toEqual([200, "ok"]);
});

test.each([404, 500])("an upstream's own %i is passed on", async (own) => {
  fixture = await FrontServerFixture.start([
    (socket) =>
      socket.end(responseHeadText(own, { "Content-Length": 2 }) + "no"),
  ], { kind: "once" });
  const { status, body } = await fixture.send("/lookup/x");
  expect([status, body]).toEqual([own, "no"]);
});
