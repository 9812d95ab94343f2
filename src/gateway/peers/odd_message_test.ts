import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { peerCard, upstreamEntry } from "../../testing/gateway_values.ts";
import { poolJob } from "../../testing/pool_fixtures.ts";
import { decodePeerMessage } from "./peer_message.ts";

const CARD = peerCard("vm-1");
const PROGRESS = { version: 3, versionAgeMs: 5, offset: 7, ageMs: 9 };
const ENTRY = upstreamEntry("e1");
const JOB = poolJob("j1", "e1");
const NOTICE = {
  upstream: "e1",
  startedAt: 1,
  perSecond: 2,
  namedAgeMs: 5,
};
const BOOKING = {
  service: "pool",
  digest: "d",
  leftMs: 900,
  inMs: 40,
  engineMs: 30,
};
const RECORD = { digest: "d", epoch: 0, lost: [], trials: 0, ageMs: 1 };

function decode(message: unknown, onLeftOut?: (detail: string) => void) {
  return decodePeerMessage(Buffer.from(JSON.stringify(message)), { onLeftOut });
}

test.each([
  ["heartbeat", "jobs", [JOB, { ...JOB, tokens: null }, JOB], [JOB, JOB]],
  ["heartbeat", "rates", [{ ...NOTICE, perSecond: 0 }, NOTICE], [NOTICE]],
  ["heartbeat", "booked", [{ ...BOOKING, inMs: null }, BOOKING], [BOOKING]],
  ["heartbeat", "paces", [null, { upstream: "e1", pace: 2 }], [
    { upstream: "e1", pace: 2 },
  ]],
  ["heartbeat_reply", "entries", [
    { ...ENTRY, address: "e1:99999" },
    ENTRY,
    { ...ENTRY, slots: 9e15 },
  ], [ENTRY]],
  ["heartbeat_reply", "contents", {
    mark: "",
    records: [{ ...RECORD, trials: 1e300 }, RECORD],
  }, { mark: "", records: [RECORD] }],
  ["heartbeat_reply", "roster", {
    epoch: "e",
    seq: 2,
    joined: [{ ...CARD, peer: "vm-1:65536" }, CARD],
    gone: [],
  }, { epoch: "e", seq: 2, joined: [CARD], gone: [] }],
])(
  "a %s whose %s have an odd one was dropped as a whole: the others hold",
  (type, field, odd, sound) => {
    const leftOut: string[] = [];
    const base = {
      type,
      from: CARD,
      progress: PROGRESS,
      jobs: [],
      leader: "vm-1",
    };
    const read = decode({ ...base, [field]: odd }, (one) => leftOut.push(one));
    expect(read._unsafeUnwrap()).toHaveProperty(field, sound);
    expect(leftOut.length).toBe(1);
  },
);

test("a job whose team or engine time is odd is taken without it", () => {
  const jobs = [{ ...JOB, team: "", engineMs: "x" }, { ...JOB, team: "t" }];
  const read = decode({
    type: "heartbeat",
    from: CARD,
    progress: PROGRESS,
    jobs,
  });
  expect(read._unsafeUnwrap()).toHaveProperty("jobs", [JOB, {
    ...JOB,
    team: "t",
  }]);
});

test("changes with an odd entry were dropped as a whole: the others hold, and the odd one is gone", () => {
  const changes = [
    { type: "entry", entry: ENTRY },
    { type: "entry", entry: { ...ENTRY, id: "e2", address: "e2:99999" } },
    { type: "gone", id: "e3" },
    null,
  ];
  const message = {
    type: "changes",
    from: "vm-1",
    progress: PROGRESS,
    since: 6,
    changes,
  };
  expect(decode(message)._unsafeUnwrap()).toHaveProperty("changes", [
    { type: "entry", entry: ENTRY },
    { type: "gone", id: "e2" },
    { type: "gone", id: "e3" },
  ]);
});

test.each([
  ["a peer address with port 99999", { ...CARD, peer: "vm-1:99999" }, PROGRESS],
  [
    "a start beyond the range of dates",
    { ...CARD, startedAt: 1e300 },
    PROGRESS,
  ],
  ["an offset that no read can reach", CARD, { ...PROGRESS, offset: 1e300 }],
  ["a version that none can follow", CARD, { ...PROGRESS, version: 1e300 }],
])("a heartbeat with %s is no message", (_name, from, progress) => {
  expect(decode({ type: "heartbeat", from, progress, jobs: [] }).isErr())
    .toBe(true);
});

test.each([[-1e308, 0], [1e308, 2 ** 31 - 1]])(
  "an age of %d ms is %d ms",
  (ageMs, bounded) => {
    const progress = { ...PROGRESS, ageMs };
    const read = decode({ type: "heartbeat", from: CARD, progress, jobs: [] });
    expect(read._unsafeUnwrap()).toHaveProperty("progress.ageMs", bounded);
  },
);

test("a reply address with port 99999 made the answer to a placement request throw", () => {
  const read = decode({ type: "ask", ask: {}, reply: "vm-1:99999" });
  expect(read._unsafeUnwrapErr()).toContain("reply");
});
