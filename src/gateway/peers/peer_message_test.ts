import { Buffer } from "node:buffer";
import { deflateSync } from "node:zlib";
import { describe, expect, test } from "vitest";
import type { VmId } from "../../core/id.ts";
import { peerCard } from "../../testing/gateway_values.ts";
import { placementRequest, poolJob } from "../../testing/pool_fixtures.ts";
import {
  decodePeerMessage,
  encodePeerMessage,
  type PeerMessage,
} from "./peer_message.ts";

const DAEMON_COUNT = 195;

function fullRosterReply(): PeerMessage {
  const joined = Array.from(
    { length: DAEMON_COUNT },
    (_, i) => peerCard(`vm-${i}`),
  );
  return {
    type: "heartbeat_reply",
    from: peerCard("vm-0"),
    progress: { version: 3 as never, versionAgeMs: 5, offset: 7, ageMs: 9 },
    leader: peerCard("vm-0").vm,
    roster: { epoch: "vm-0/1", seq: DAEMON_COUNT, joined, gone: [] },
  };
}

describe("messages between daemons", () => {
  test("a roster of 195 daemons is encoded in less than a tenth of its JSON, and decodes to the same message", () => {
    const message = fullRosterReply();
    const data = encodePeerMessage(message);
    expect(data.length).toBeLessThan(JSON.stringify(message).length / 10);
    expect(decodePeerMessage(data)._unsafeUnwrap()).toEqual(message);
  });

  test("packed messages decode to the same messages, and those of a request take less than half", () => {
    const job = poolJob("front-a-12/1796548233123/17", "i-7f3a91c2");
    const ask = placementRequest(job.id, { vm: "front-a-12" as VmId });
    const ofRequest: PeerMessage[] = [
      { type: "ask", ask, reply: "10.1.0.40:7340" },
      { type: "placed", job, by: "front-a-3" as VmId },
      { type: "progress", job: job.id, upstream: job.upstream, phase: "ended" },
    ];
    let packedBytes = 0;
    for (const message of [...ofRequest, fullRosterReply()]) {
      const packed = encodePeerMessage(message, { packed: true });
      expect(decodePeerMessage(packed)._unsafeUnwrap()).toEqual(message);
      if (ofRequest.includes(message)) packedBytes += packed.length;
    }
    const plainBytes = ofRequest.map((one) => JSON.stringify(one)).join("");
    expect(packedBytes).toBeLessThan(plainBytes.length / 2);
  });

  const SENT = { type: "sent", upstream: "e1", count: 1 };

  test.each([
    ["no data", Buffer.alloc(0)],
    ["arbitrary bytes", Buffer.from([1, 2, 3, 4])],
    ["JSON that is not a message", Buffer.from("{}")],
    [
      "a message that is larger than the limit",
      Buffer.from(`${JSON.stringify(SENT)}${" ".repeat(1 << 20)}`),
    ],
    [
      "a truncated message",
      encodePeerMessage(fullRosterReply()).subarray(0, 300),
    ],
    [
      "data that inflates beyond the limit",
      deflateSync(Buffer.alloc(1 << 24, "x")),
    ],
  ])("%s is rejected", (_name, data) => {
    expect(decodePeerMessage(data).isErr()).toBe(true);
  });
});
