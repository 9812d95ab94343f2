import { Buffer } from "node:buffer";
import { deflateSync } from "node:zlib";
import { describe, expect, test } from "vitest";
import { peerCard } from "../../testing/fake_gateway_fleet.ts";
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
  test("a list of 195 daemons takes a tenth of its JSON, and is read back", () => {
    const message = fullRosterReply();
    const data = encodePeerMessage(message);
    expect(data.length).toBeLessThan(JSON.stringify(message).length / 10);
    expect(decodePeerMessage(data)._unsafeUnwrap()).toEqual(message);
  });

  test.each([
    ["nothing", Buffer.alloc(0)],
    ["bytes of another program", Buffer.from([1, 2, 3, 4])],
    ["JSON that is no message", Buffer.from("{}")],
    ["a torn one", encodePeerMessage(fullRosterReply()).subarray(0, 300)],
    ["one that grows without bound", deflateSync(Buffer.alloc(1 << 24, "x"))],
  ])("%s: not read", (_name, data) => {
    expect(decodePeerMessage(data).isErr()).toBe(true);
  });
});
