import type { Socket } from "node:net";
import { afterEach, describe, expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
} from "../../testing/front_server_fixture.ts";
import { PlainClient, requestText } from "../../testing/plain_client.ts";

const BODY = "x".repeat(3_000_000);
const ANSWER = responseHeadText(200, {
  "X-Response-Seal": "seal",
  "Content-Length": 2,
}) + "ok";

let fixture: FrontServerFixture;
let client: PlainClient;

afterEach(() => {
  client.close();
  fixture.close();
});

describe("an upstream that answers before it has read a long body", () => {
  test.each<[string, (socket: Socket) => void]>([
    ["and keeps the connection", (socket) => void socket.write(ANSWER)],
    ["and ends the connection", (socket) => void socket.end(ANSWER)],
    ["and closes the connection", (socket) => {
      socket.end(ANSWER);
      socket.once("finish", () => socket.destroy());
    }],
    ["and resets the connection later", (socket) => {
      socket.write(ANSWER);
      setTimeout(() => socket.resetAndDestroy(), 20);
    }],
    ["with a second answer behind it", (socket) => {
      socket.write(ANSWER + ANSWER);
    }],
  ])("%s", async (_name, answer) => {
    fixture = await FrontServerFixture.start([(socket) => {
      socket.pause();
      answer(socket);
    }], { timeoutMs: 3_000 });
    client = await PlainClient.connect(fixture.port);
    client.write(requestText("/reserve/x", { body: BODY }));
    await expect.poll(() => client.statuses, { timeout: 4_000 })
      .toEqual([200]);
    expect(client.received.endsWith("\r\nok")).toBe(true);
    expect(client.ended).toBeUndefined();
    expect(fixture.exchangePort.recorded.lines).toEqual(["answered"]);
  });
});
