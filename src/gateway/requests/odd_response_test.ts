import { Buffer } from "node:buffer";
import fc from "fast-check";
import { expect, test } from "vitest";
import { FrontServerFixture } from "../../testing/front_server_fixture.ts";

const HEADERS = "X-Request-Id: r1\r\nX-Response-Seal: d\r\n";

/** The statuses of responses to one request each, whose upstreams send the given bytes and close. */
async function statusesAfter(
  responses: readonly (string | Uint8Array)[],
): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (const bytes of responses) {
    const fixture = await FrontServerFixture.start([
      (socket) => socket.end(Buffer.from(bytes)),
    ], { kind: "once" });
    try {
      statuses.push((await fixture.send("/lookup/x")).status);
    } finally {
      fixture.close();
    }
  }
  return statuses;
}

test.each(["000", "042", "099", "100", "101", "199", "600", "999"])(
  "a response with status %s ended the process: the client gets one of its own",
  async (status) => {
    const [seen] = await statusesAfter([
      `HTTP/1.1 ${status} -\r\n${HEADERS}Content-Length: 2\r\n\r\nok`,
    ]);
    expect(seen).toBe(502);
  },
);

test("a response of which any byte is another ends no process", async () => {
  const sound = Buffer.from(
    `HTTP/1.1 200 OK\r\n${HEADERS}Retry-After: 1\r\nServer-Limit: 5\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
  );
  const oneByte = fc.tuple(fc.nat(sound.length - 1), fc.nat(255))
    .map(([at, byte]) => {
      const copy = Buffer.from(sound);
      copy[at] = byte;
      return copy;
    });
  const samples = fc.sample(oneByte, { seed: 37, numRuns: 150 });
  const statuses = await statusesAfter(samples);
  expect(statuses.length).toBe(samples.length);
});
