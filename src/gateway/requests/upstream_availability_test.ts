import { afterEach, describe, expect, test } from "vitest";
import { OrderClient } from "../../../platform/order_client.ts";
import type { UpstreamId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import {
  FrontServerFixture,
  responseHeadText,
  type UpstreamScript,
} from "../../testing/front_server_fixture.ts";

let play: FrontServerFixture;
afterEach(() => play.close());

const LEAVING = { "Server-Leaving": "1" };
const LIMITED = { "Server-Limit": "1.4" };
const COMPLETE = { "X-Response-Seal": "s", "Content-Length": 2 };
const NOT_RUN = { "X-Not-Executed": "1", "Content-Length": 0 };
const EVENTS = {
  "X-Response-Seal": "s",
  "Content-Type": "text/event-stream",
};

const answers: UpstreamScript = (socket) => {
  socket.end(`${responseHeadText(200, COMPLETE)}ok`);
};

async function reportedBy(
  path: string,
  script: UpstreamScript,
): Promise<readonly string[]> {
  play = await FrontServerFixture.start([script, answers]);
  await play.send(path);
  return play.exchangePort.recorded.availability;
}

describe("availability that an upstream announces is reported", () => {
  test("in a success", async () => {
    const reported = await reportedBy("/lookup/x", (socket) => {
      socket.end(`${responseHeadText(200, { ...COMPLETE, ...LEAVING })}ok`);
    });
    expect(reported).toEqual(["e0 leaving"]);
  });

  test("in a 500 response", async () => {
    const reported = await reportedBy("/reserve/x", (socket) => {
      socket.end(`${responseHeadText(500, { ...COMPLETE, ...LEAVING })}no`);
    });
    expect(reported).toEqual(["e0 leaving"]);
  });

  test("in the head of a stream that continues", async () => {
    const reported = await reportedBy("/ask/x", (socket) => {
      const head = responseHeadText(200, { ...EVENTS, ...LEAVING });
      socket.write(`${head}id: 1\ndata: 1\n\n`);
      setTimeout(() => socket.end("id: 2\ndata: 2\n\n"), 50);
    });
    expect(reported).toEqual(["e0 leaving"]);
  });

  test("in a refusal, with its Retry-After", async () => {
    const reported = await reportedBy("/reserve/x", (socket) => {
      const head = { ...NOT_RUN, ...LEAVING, "Retry-After": "1.5" };
      socket.end(responseHeadText(503, head));
    });
    expect(reported).toEqual(["e0 leaving", "e0 back in 1500"]);
  });

  test("but not from another upstream at the same address", async () => {
    const reported = await reportedBy("/lookup/x", (socket) => {
      const head = { "Content-Length": 0, ...LEAVING, ...LIMITED };
      socket.end(responseHeadText(421, head));
    });
    expect(reported).toEqual([]);
  });

  test("with the rate that it accepts, in a success, a refusal and the head of a stream", async () => {
    const named = ["e0 accepts 1.4 a second"];
    const inSuccess = await reportedBy("/lookup/x", (socket) => {
      socket.end(`${responseHeadText(200, { ...COMPLETE, ...LIMITED })}ok`);
    });
    expect(inSuccess).toEqual(named);
    await play.close();
    const inRefusal = await reportedBy("/reserve/x", (socket) => {
      socket.end(responseHeadText(503, { ...NOT_RUN, ...LIMITED }));
    });
    expect(inRefusal).toEqual(named);
    await play.close();
    const inStream = await reportedBy("/ask/x", (socket) => {
      const head = responseHeadText(200, { ...EVENTS, ...LIMITED });
      socket.end(`${head}id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n`);
    });
    expect(inStream).toEqual(named);
  });

  test("in responses to orders and in engine reports", async () => {
    play = await FrontServerFixture.start([(socket) => {
      const body = '{"pace":1}';
      const head = { "Content-Length": body.length, ...LEAVING };
      socket.end(responseHeadText(200, head) + body);
    }]);
    const orders = OrderClient.create();
    const reported: string[] = [];
    const sent: string[] = [];
    const address = play.addresses[0]!;
    orders.onSend((to) => sent.push(to));
    orders.onAvailability((from, { leaving }) => {
      if (leaving) reported.push(from);
    });
    await orders.fetchReport(address);
    await orders.release(address, "t1");
    await orders.reserve({ address, ticket: "t1", tokens: 1, holdMs: 1 });
    expect(reported).toEqual([address, address, address]);
    expect(sent).toEqual([address, address, address]);
  });
});

describe("a grant that was in transit when the upstream closed", () => {
  test.each(
    [
      ["draining", undefined],
      ["backing_off", 5_000 as Timestamp],
      ["gone", undefined],
      ["uncounted", undefined],
    ] as const,
  )(
    "is not sent, and is placed elsewhere without using the retry budget: %s",
    async (reason, until) => {
      let arrivals = 0;
      play = await FrontServerFixture.start([(socket) => {
        arrivals += 1;
        socket.destroy();
      }, answers]);
      const closure = { reason, knownAt: 0 as Timestamp, until };
      play.exchangePort.closures.set("e0" as UpstreamId, closure);
      const res = await play.send("/reserve/x");
      expect([res.status, res.body]).toEqual([200, "ok"]);
      expect(arrivals).toBe(0);
      expect(play.exchangePort.recorded.retries).toEqual([]);
    },
  );
});
