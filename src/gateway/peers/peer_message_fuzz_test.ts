import { Buffer } from "node:buffer";
import fc from "fast-check";
import { expect, test } from "vitest";
import type { Timestamp } from "../../core/time.ts";
import {
  emptyServing,
  peerCard,
  upstreamEntry,
} from "../../testing/gateway_values.ts";
import { servingWithRoutes } from "../../testing/fake_gateway_port.ts";
import { mutated, oddValue } from "../../testing/odd_values.ts";
import { placementRequest, poolJob } from "../../testing/pool_fixtures.ts";
import { isPort, splitAddress } from "../address.ts";
import { GatewayCore } from "../gateway_core.ts";
import { RouteTable } from "../serving/route_table.ts";
import { decodeServing } from "../serving/serving_json.ts";
import { decodePeerMessage, encodePeerMessage } from "./peer_message.ts";

const FROM = peerCard("vm-1", { power: 9 });
const PROGRESS = {
  version: 3,
  versionAgeMs: 5,
  offset: 7,
  ageMs: 9,
  era: 2,
  eraAgeMs: 100,
  evacuations: { offset: 2, era: 2, domains: ["b"], stated: [] },
};
const ENTRY = upstreamEntry("e1", { coldMs: 500 });
const NOTICE = {
  upstream: "e1",
  startedAt: 1,
  perSecond: 2,
  namedAgeMs: 5,
  endedAgeMs: 9,
};
const CONTENTS = {
  mark: "d:0:2:1",
  records: [{
    digest: "d",
    epoch: 0,
    lost: ["e1/1", "e2/1"],
    trials: 1,
    ageMs: 1,
  }],
};
const JOB = poolJob("j1", "e1", { helpers: ["e2" as never] });
const MESSAGES = [
  {
    type: "heartbeat",
    from: FROM,
    progress: PROGRESS,
    roster: { epoch: "vm-0/1", seq: 1 },
    jobs: [JOB],
    paces: [{ upstream: "e1", pace: 2 }],
    contents: CONTENTS,
    rates: [NOTICE],
  },
  {
    type: "heartbeat_reply",
    from: FROM,
    progress: PROGRESS,
    leader: "vm-1",
    roster: { epoch: "vm-1/1", seq: 2, joined: [peerCard("vm-2")], gone: [] },
    entries: [ENTRY],
    kept: [{ id: "e1", keptMs: 300 }],
    gone: [{ id: "e2", startedAt: 1 }],
    contents: CONTENTS,
    rates: [NOTICE],
  },
  {
    type: "changes",
    from: "vm-1",
    progress: PROGRESS,
    since: -1,
    sinceEra: 2,
    changes: [
      { type: "entry", entry: ENTRY },
      { type: "gone", id: "e2" },
      { type: "gone", id: "e1", keptMs: 300 },
    ],
    snapshot: true,
  },
  {
    type: "ask",
    ask: placementRequest("j2", {
      closed: [{ upstream: "e2" as never, forMs: 5 }],
    }),
    reply: "vm-1:1",
  },
  {
    type: "ask",
    ask: placementRequest("j3", { kind: "call" }),
    reply: "vm-1:1",
  },
  { type: "wait", job: "j1" },
  {
    type: "grant",
    grant: { job: JOB, addresses: { e1: "e1:80" }, priority: 1, expectMs: 9 },
  },
  { type: "deny", job: "j1", code: "queue_full", detail: "", retryAfterMs: 5 },
  { type: "leaving", from: "vm-1", upstream: "e1", startedAt: 1 },
  { type: "rates", notices: [NOTICE] },
  { type: "sent", upstream: "e1", count: 1 },
  { type: "placed", job: JOB, by: "vm-1" },
  {
    type: "progress",
    job: "j1",
    upstream: "e1",
    phase: "failed",
    content: { digest: "d", outcome: "disconnected", ranMs: 5, answeringMs: 1 },
  },
];

/** Steps a core, which knows a peer, a configuration and an upstream, with a message and for a while after it. */
function stepWith(data: Buffer) {
  const read = decodePeerMessage(data);
  if (read.isErr()) return;
  const core = GatewayCore.create(peerCard("vm-0"), ["vm-9:1"]);
  const serving = emptyServing(2);
  const first = [
    { type: "serving_read", serving, next: 1 },
    {
      type: "register_read",
      full: true,
      changes: [{ type: "entry", entry: upstreamEntry("e1") }],
      next: 1,
    },
    {
      type: "message",
      message: decodePeerMessage(Buffer.from(JSON.stringify(MESSAGES[0])))
        ._unsafeUnwrap(),
    },
  ] as const;
  const outcomes = [
    core.step(0 as Timestamp, first),
    core.step(1 as Timestamp, [{ type: "message", message: read.value }]),
    ...[2, 500, 1_000, 5_000].map((at) => core.step(at as Timestamp, [])),
  ];
  for (const { intents, wakeAt } of outcomes) {
    expect(wakeAt).not.toBeNaN();
    for (const intent of intents) {
      if (intent.type !== "send") continue;
      expect(isPort(splitAddress(intent.to).port)).toBe(true);
      const sent = decodePeerMessage(encodePeerMessage(intent.message));
      expect(sent.isOk()).toBe(true);
    }
  }
}

test.each(MESSAGES.map((message, i) => [`${i}, ${message.type}`, message]))(
  "message %s with one odd field throws nowhere, and is answered by messages that can be sent and read",
  (_name, message) => {
    fc.assert(
      fc.property(mutated(message), (odd) => {
        stepWith(Buffer.from(JSON.stringify(odd)));
      }),
      { seed: 37, numRuns: 600 },
    );
  },
);

test("any JSON and any bytes are a message or an error", () => {
  fc.assert(
    fc.property(
      fc.oneof(
        oddValue().map((value) => Buffer.from(JSON.stringify(value))),
        fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes)),
        fc.uint8Array({ maxLength: 9 }).map((bytes) =>
          Buffer.concat([
            Buffer.from('{"type":"sent","upstream":"'),
            bytes,
            Buffer.from('","count":1}'),
          ])
        ),
      ),
      (data) => {
        stepWith(data);
        expect(decodeServing(data).isErr()).toBe(true);
      },
    ),
    { seed: 37, numRuns: 500 },
  );
});

test("a peer's configuration with one odd field is refused, or can be used", () => {
  const serving = servingWithRoutes();
  const services = [{ id: "s", maxConnections: null, coldRate: 2 }];
  fc.assert(
    fc.property(mutated({ ...serving, services }), (odd) => {
      const read = decodeServing(Buffer.from(JSON.stringify(odd)));
      if (read.isErr()) return;
      const table = RouteTable.create(read.value);
      table.admit({ host: "h.example", path: "/lookup/x", key: "key-1" });
      for (const route of read.value.routes) {
        expect(route.timeoutMs).toBeLessThan(2 ** 31);
        expect(route.timeoutMs).toBeGreaterThan(0);
        expect(route.backends.length).toBeGreaterThan(0);
      }
    }),
    { seed: 37, numRuns: 500 },
  );
});
