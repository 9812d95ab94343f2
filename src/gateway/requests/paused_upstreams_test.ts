import { expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
  type UpstreamScript,
} from "../../testing/front_server_fixture.ts";

/** Longer than the silence after which a stream is resumed on another upstream. */
const PAUSE_MS = 1_600;

/** Sends a stream's events from `first` to `last`, with a pause after the first one. */
function pausing(first: number, last: number): UpstreamScript {
  return (socket) => {
    const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
    const head = responseHeadText(200, {
      "X-Response-Seal": "seal",
      "Content-Type": "text/event-stream",
    });
    socket.write(head + event(first));
    setTimeout(() => {
      for (let id = first + 1; id <= last; id += 1) socket.write(event(id));
      socket.end();
    }, PAUSE_MS);
  };
}

test("a stream whose upstreams both pause for 1.6 s gets its whole answer", async () => {
  const fixture = await FrontServerFixture.start(
    [pausing(1, 5), pausing(2, 5)],
    { timeoutMs: 10_000 },
  );
  const { status, body, complete } = await fixture.send("/ask/x", {
    "x-deadline-ms": "10000",
  });
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  expect({ status, ids, complete }).toEqual({
    status: 200,
    ids: [1, 2, 3, 4, 5],
    complete: true,
  });
  fixture.close();
});
