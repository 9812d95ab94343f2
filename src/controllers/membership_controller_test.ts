import { expect, test } from "vitest";
import type { DomainId, Incarnation, VmId } from "../core/id.ts";
import type { Heartbeat } from "../gen/peer.ts";
import {
  CoreFixture,
  intentsOf,
  promptFixture,
  selfFixture,
} from "../testing/fixtures.ts";
import type { Vm } from "../wire/vm_list.ts";
import { listEntries } from "../core/entry_list.ts";
import { MembershipController } from "./membership_controller.ts";
import { PlacementController } from "./placement_controller.ts";
import { QuarantineController } from "./quarantine_controller.ts";
import { RequestController } from "./request_controller.ts";
import { engineFixture } from "../testing/fixtures.ts";

function create(): CoreFixture {
  const core = CoreFixture.create([
    MembershipController.create(),
    PlacementController.create(),
    RequestController.create(),
  ]);
  core.add(engineFixture("e1"));
  core.board.members.ready = true;
  return core;
}

function heartbeatFrom(
  index: number,
  overrides: Partial<Heartbeat> = {},
  seq = 1,
) {
  const self = selfFixture(index);
  const value: Heartbeat = {
    vm: self.vm,
    peerAddress: self.peerAddress,
    clientAddress: self.clientAddress,
    domain: self.domain,
    state: "serving",
    revision: 0,
    config: new Uint8Array() as Heartbeat["config"],
    configOffset: 0,
    running: 0,
    queued: 0,
    teams: [],
    upstreams: [],
    suspects: [],
    atMs: 0,
    ...overrides,
  };
  const body = { $case: "heartbeat", value } as const;
  return {
    type: "peer_message",
    envelope: { from: self.id, seq, body },
  } as const;
}

function entryVm(index: number): Vm {
  const self = selfFixture(index);
  return {
    id: self.vm as VmId,
    role: "entry",
    domain: self.domain as DomainId,
    address: self.peerAddress,
    incarnation: "run" as Incarnation,
    state: "live",
  };
}

function addresses(core: CoreFixture): readonly string[] {
  const answer = listEntries(core.board, {
    client: "c",
    now: core.now,
    maxAgeMs: 0,
  });
  return answer.entries.map((entry) => entry.address).sort();
}

test("heartbeats go to every listed daemon, once per interval", () => {
  const core = create();
  const vms = [entryVm(1), entryVm(2), entryVm(3)];
  const sent = core.step({ type: "vms_listed", vms });
  expect(intentsOf(sent, "send_peer").map((one) => one.address))
    .toEqual(["10.0.0.2:90", "10.0.0.3:90"]);
  expect(intentsOf(core.after(999), "send_peer")).toEqual([]);
  expect(intentsOf(core.after(1), "send_peer")).toHaveLength(2);
});

test("a peer that has timed out is neither listed to clients nor elected to schedule", () => {
  const core = create();
  core.step(heartbeatFrom(2), heartbeatFrom(3));
  expect(addresses(core)).toHaveLength(3);
  core.after(3_501);
  expect(addresses(core)).toEqual([core.board.self.clientAddress]);
  expect(core.board.members.scheduler).toBe(core.board.self.id);
});

test("a reordered heartbeat is dropped", () => {
  const core = create();
  core.step(heartbeatFrom(2, { state: "leaving" }, 5));
  core.step(heartbeatFrom(2, { state: "serving" }, 4));
  expect([...core.board.members.peers.values()][0]?.state).toBe("leaving");
  expect(core.board.counters.counted.peer_messages_dropped).toBe(1);
});

test("all daemons that see each other elect the same scheduler", () => {
  const chosen = [1, 2, 3].map((index) => {
    const core = create();
    Object.assign(core.board.self, selfFixture(index));
    core.step(
      ...[1, 2, 3].filter((one) => one !== index).map((one) =>
        heartbeatFrom(one)
      ),
    );
    return core.board.members.scheduler;
  });
  expect(new Set(chosen).size).toBe(1);
});

test("a shutdown waits until entry lists have expired and no request is in flight", () => {
  const core = create();
  core.step({ type: "drain_requested" });
  expect(addresses(core)).toEqual([]);
  const late = core.after(14_000, {
    type: "request_arrived",
    req: promptFixture("r1", { deadlineAt: core.now + 60_000 as never }),
  });
  const [attempt] = intentsOf(late, "start_attempt");
  expect(attempt).toBeDefined();
  core.step({ type: "drain_requested" });
  const refused = core.after(500, {
    type: "request_arrived",
    req: promptFixture("r2", { deadlineAt: core.now + 60_000 as never }),
  });
  expect(intentsOf(refused, "answer")[0]?.problem).toMatchObject({
    code: "draining",
    verdict: "not_run",
  });
  expect(intentsOf(refused, "exit")).toEqual([]);
  const done = core.step({
    type: "attempt_ended",
    req: attempt!.req,
    attempt: attempt!.attempt,
    outcome: { type: "ok", tokens: 1, status: 200 },
  });
  expect(intentsOf(done, "exit")).toHaveLength(1);
});

test("a response that is resumed in the last step of a shutdown is still served", () => {
  const core = create();
  core.step({ type: "drain_requested" });
  const weights = { model: "sage", version: "2" } as never;
  const running = {
    attempt: "a1" as never,
    upstream: "e1" as never,
    ranUnder: { revision: 0 as never, weights },
    tokens: 3,
  };
  const req = promptFixture("r1", { deadlineAt: core.now + 60_000 as never });
  const last = core.after(14_500, { type: "request_resumed", req, running });
  expect(intentsOf(last, "start_attempt")).toHaveLength(1);
  expect(intentsOf(last, "exit")).toEqual([]);
});

test("a new configuration is sent only to a peer that stays outdated, after the delay of this daemon's rank", () => {
  const core = create();
  Object.assign(core.board.config, { revision: 7, text: "text" });
  const withText = (revision: number) => {
    const sent = core.after(
      1_000,
      heartbeatFrom(2, { revision }, core.now),
      heartbeatFrom(3, { revision: 7 }, core.now),
    );
    return intentsOf(sent, "send_peer").map(({ address, envelope }) =>
      envelope.body?.$case === "heartbeat" &&
      envelope.body.value.config.length > 0 && address
    ).filter(Boolean);
  };
  core.step({ type: "vms_listed", vms: [entryVm(2), entryVm(3)] });
  expect([withText(6), withText(7)]).toEqual([[], []]);
  expect([withText(6), withText(6)].flat()).toEqual([]);
  const behind = selfFixture(2).peerAddress;
  expect([withText(6), withText(6)].flat()).toContain(behind);
  expect([withText(7), withText(-1), withText(-1)].flat()).toContain(behind);
});

test("a new address or peer gets a heartbeat at once", () => {
  const core = create();
  const listed = core.step({ type: "vms_listed", vms: [entryVm(2)] });
  core.after(10, { type: "vms_listed", vms: [entryVm(2), entryVm(3)] });
  const recipients = [
    listed,
    core.after(10, { type: "vms_listed", vms: [entryVm(2), entryVm(4)] }),
    core.after(10, heartbeatFrom(3)),
    core.after(10, heartbeatFrom(3, {}, 2)),
  ].map((result) =>
    intentsOf(result, "send_peer").map((intent) => intent.address)
  );
  expect(recipients).toMatchInlineSnapshot(`
    [
      [
        "10.0.0.2:90",
      ],
      [
        "10.0.0.4:90",
      ],
      [
        "10.0.0.3:90",
      ],
      [],
    ]
  `);
});

test("a daemon that knows the state of no engine is neither listed to clients nor elected to schedule", () => {
  const core = CoreFixture.create([MembershipController.create()]);
  const unreportedEngine = engineFixture("e1", { engine: undefined });
  core.add(unreportedEngine);
  core.step(heartbeatFrom(2));
  const givenAddresses = () =>
    listEntries(core.board, { client: "c", now: core.now, maxAgeMs: 1 })
      .entries.map((entry) => entry.address);
  const sentState = () =>
    intentsOf(core.after(1_000, heartbeatFrom(2, {}, core.now)), "send_peer")
      .map(({ envelope }) =>
        envelope.body?.$case === "heartbeat" && envelope.body.value.state
      )[0];
  const peer = selfFixture(2);
  const vm = {
    id: peer.vm,
    role: "entry",
    domain: peer.domain,
    address: peer.peerAddress,
    incarnation: "run" as Incarnation,
    state: "live",
  } as const;
  core.step({ type: "vms_listed", vms: [vm] });
  expect([sentState(), core.board.members.scheduler, givenAddresses()]).toEqual(
    [
      "starting",
      peer.id,
      [peer.clientAddress],
    ],
  );
  core.add(engineFixture("e1"));
  expect([sentState(), givenAddresses().length]).toEqual(["serving", 2]);
});

test("a crash is sent to peers at once, before the next heartbeat is due", () => {
  const core = CoreFixture.create([
    MembershipController.create(),
    QuarantineController.create(),
    PlacementController.create(),
    RequestController.create(),
  ]);
  core.add(engineFixture("e1"), engineFixture("e2"));
  core.step({ type: "vms_listed", vms: [entryVm(2)] });
  const started = core.after(10, {
    type: "request_arrived",
    req: promptFixture("p1"),
  });
  const { req, attempt } = intentsOf(started, "start_attempt")[0]!;
  const crashed = core.after(10, {
    type: "attempt_ended",
    req,
    attempt,
    outcome: {
      type: "failed",
      cause: "upstream_crashed",
      verdict: "may_have_run",
      tokens: 0,
      crashed: true,
      detail: "",
    },
  });
  const suspects = intentsOf(crashed, "send_peer").map(({ envelope }) =>
    envelope.body?.$case === "heartbeat" ? envelope.body.value.suspects : []
  );
  expect(suspects).toMatchInlineSnapshot(`
    [
      [
        {
          "atMs": 1700000000020,
          "digest": "digest-p1",
          "incarnation": "e1-run-1",
          "silent": false,
          "upstream": "e1",
        },
      ],
    ]
  `);
});
