import { Buffer } from "node:buffer";
import { afterEach, describe, expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
  type UpstreamScript,
} from "../../testing/front_server_fixture.ts";
import { PlainClient, requestText } from "../../testing/plain_client.ts";
import { adaptSliceBytes, isCostly, nextSliceBytes } from "./feed_slice.ts";

describe("a slice", () => {
  const received = Buffer.from("head\r\n\r\nGET");

  test.each([
    ["ends with a head", { sliceBytes: 4_096, bodyLeft: 0 }, 8],
    ["has its size", { sliceBytes: 5, bodyLeft: 0 }, 5],
    ["ends with a body of known length", { sliceBytes: 5, bodyLeft: 9 }, 9],
    ["has no more than was received", { sliceBytes: 5, bodyLeft: 99 }, 11],
  ])("%s", (_, state, bytes) => {
    expect(nextSliceBytes(received, state)).toBe(bytes);
  });

  test("is smaller after a long one, and larger after a short one", () => {
    const sizes = [0.1, 0.1, 0.5, 2, 2, 2, 2, 2, 2, 2];
    let size = 4_096;
    const after = sizes.map((ms) => size = adaptSliceBytes(size, ms));
    expect(after).toEqual(
      [8, 8, 8, 4, 2, 1, 1, 1, 1, 1].map((kib) => kib * 1_024),
    );
  });

  test("is costly by its time for a byte", () => {
    expect(isCostly(4_096, 1)).toBe(true);
    expect(isCostly(65_536, 1)).toBe(false);
    expect(isCostly(100, 0.1)).toBe(false);
  });
});

describe("a connection", () => {
  let fixture: FrontServerFixture;
  let client: PlainClient;

  afterEach(() => {
    client.close();
    fixture.close();
  });

  async function start(): Promise<void> {
    const script: UpstreamScript = (socket) => {
      const seal = { "X-Response-Seal": "s", "Content-Length": 2 };
      socket.end(responseHeadText(200, seal) + "ok");
    };
    fixture = await FrontServerFixture.start([script]);
    client = await PlainClient.connect(fixture.port);
  }

  async function expectStatuses(...statuses: number[]): Promise<void> {
    await expect.poll(() => client.statuses, { timeout: 9_000 })
      .toEqual(statuses);
  }

  const chunked = { "Transfer-Encoding": "chunked" };

  test("with a body in one-byte chunks is served", async () => {
    await start();
    const body = "1\r\nx\r\n".repeat(100_000) + "0\r\n\r\n";
    client.write(requestText("/reserve/x", { headers: chunked }) + body);
    client.write(requestText("/reserve/x", { body: "{}" }));
    await expectStatuses(200, 200);
  });

  test("with a body full of empty lines is served", async () => {
    await start();
    const body = "\r\n\r\n".repeat(50_000);
    const size = body.length.toString(16);
    client.write(
      requestText("/reserve/x", { headers: chunked }) +
        `${size}\r\n${body}\r\n0\r\nX-Trailer: a\r\n\r\n`,
    );
    client.write(requestText("/reserve/x", { body }));
    await expectStatuses(200, 200);
  });

  test("with many requests in one piece gets all their answers", async () => {
    await start();
    client.write(requestText("/reserve/x", { body: "{}" }).repeat(50));
    await expectStatuses(...Array.from({ length: 50 }, () => 200));
    expect(client.ended).toBeUndefined();
  });
});
