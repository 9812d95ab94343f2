import { afterEach, describe, expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
  type UpstreamScript,
} from "../../testing/front_server_fixture.ts";

let play: FrontServerFixture;
afterEach(() => play.close());

const EVENT_STREAM_HEADERS = {
  "X-Response-Seal": "s",
  "Content-Type": "text/event-stream",
};

async function contentOutcomes(
  path: string,
  script: UpstreamScript,
): Promise<readonly string[]> {
  play = await FrontServerFixture.start([script], { maxAttempts: 1 });
  await play.send(path);
  return play.exchangePort.recorded.contentOutcomes;
}

describe("a content is reported as lost with its upstream", () => {
  test("when the connection breaks before the response", async () => {
    const contents = await contentOutcomes(
      "/lookup/x",
      (socket) => socket.resetAndDestroy(),
    );
    expect(contents).toEqual(["lost e0"]);
  });

  test("when the connection breaks after the response head", async () => {
    const contents = await contentOutcomes("/ask/x", (socket) => {
      socket.write(responseHeadText(200, EVENT_STREAM_HEADERS));
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    expect(contents).toEqual(["lost e0"]);
  });

  test("when the connection breaks within an event stream", async () => {
    const contents = await contentOutcomes("/ask/x", (socket) => {
      socket.write(
        `${responseHeadText(200, EVENT_STREAM_HEADERS)}id: 1\ndata: 1\n\n`,
      );
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    expect(contents).toEqual(["lost e0"]);
  });

  test("when the upstream sends nothing", async () => {
    const contents = await contentOutcomes("/lookup/x", () => {});
    expect(contents).toEqual(["lost e0"]);
  });
});

describe("a content is reported as answered", () => {
  test("after a success", async () => {
    const contents = await contentOutcomes("/lookup/x", (socket) => {
      const head = { "X-Response-Seal": "s", "Content-Length": 2 };
      socket.end(`${responseHeadText(200, head)}ok`);
    });
    expect(contents).toEqual(["answered e0"]);
  });

  test("not after an error status, as upstreams may fail requests that they have not run", async () => {
    const contents = await contentOutcomes("/reserve/x", (socket) => {
      const head = { "X-Response-Seal": "s", "Content-Length": 2 };
      socket.end(`${responseHeadText(500, head)}no`);
    });
    expect(contents).toEqual([]);
  });
});
