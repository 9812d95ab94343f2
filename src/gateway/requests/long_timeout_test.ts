import { expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
} from "../../testing/front_server_fixture.ts";

test.each(
  [
    ["once", "1e12"],
    ["repeatable", "1e300"],
  ] as const,
)(
  "a %s request with longer time limits than a timer waits was refused at once",
  async (kind, leftMs) => {
    const fixture = await FrontServerFixture.start([
      (socket) => {
        // Later than the timer of the deadline or of the silence limit would fire.
        setTimeout(() => {
          const headers = { "Content-Length": 2, "X-Response-Seal": "d" };
          socket.end(`${responseHeadText(200, headers)}ok`);
        }, 30);
      },
    ], { kind, timeoutMs: 9e15, targetMs: 9e15 });
    try {
      const response = await fixture.send("/lookup/x", {
        "x-deadline-ms": leftMs,
      });
      expect([response.status, response.body]).toEqual([200, "ok"]);
    } finally {
      fixture.close();
    }
  },
);
