import { expect, test } from "vitest";
import type { DaemonId, UpstreamId } from "../core/id.ts";
import type { Envelope } from "../gen/peer.ts";
import {
  CoreFixture,
  engineFixture,
  intentsOf,
  peerFixture,
  promptFixture,
} from "../testing/fixtures.ts";
import { PlacementController } from "./placement_controller.ts";
import { RequestController } from "./request_controller.ts";

const SCHEDULER_ID = "daemon-2" as DaemonId;
const ANSWER_TIMEOUT_MS = 150;

function create(): CoreFixture {
  const core = CoreFixture.create([
    PlacementController.create(),
    RequestController.create(),
  ]);
  core.add(engineFixture("e1"), engineFixture("e2"));
  const peer = peerFixture(SCHEDULER_ID, core.now);
  core.board.members.peers.set(SCHEDULER_ID, peer);
  core.board.members.scheduler = SCHEDULER_ID;
  return core;
}

function message(body: NonNullable<Envelope["body"]>) {
  const envelope = { from: SCHEDULER_ID, seq: 1, body };
  return { type: "peer_message", envelope } as const;
}

function grant(request: string, round: number) {
  const segments = [{ upstream: "e2", from: 0, to: 1_000 }];
  const value = { request, round, priority: 7, segments };
  return message({ $case: "placeGrant", value });
}

function sent(result: Parameters<typeof intentsOf>[0]): readonly string[] {
  return intentsOf(result, "send_peer").map(({ envelope }) => {
    const { body } = envelope;
    return body?.$case === "placeUpdate" ? body.value.state : `${body?.$case}`;
  });
}

test("a prompt runs on the upstream that the scheduling daemon grants, and a duplicate grant has no effect", () => {
  const core = create();
  const asked = core.step({
    type: "request_arrived",
    req: promptFixture("r1"),
  });
  expect(sent(asked)).toEqual(["placeAsk"]);
  const [started] = intentsOf(core.after(2, grant("r1", 1)), "start_attempt");
  expect(started?.placement).toEqual({
    upstream: "e2" as UpstreamId,
    priority: 7,
  });
  const again = core.after(1, grant("r1", 1));
  expect([sent(again), intentsOf(again, "start_attempt")]).toEqual([[], []]);
});

test("a grant for another round or an unknown request is withdrawn", () => {
  const core = create();
  core.step({ type: "request_arrived", req: promptFixture("r1") });
  expect(sent(core.after(2, grant("r1", 9)))).toEqual(["withdrawn"]);
  expect(sent(core.after(2, grant("r2", 1)))).toEqual(["withdrawn"]);
});

test("a prompt is placed locally when the scheduling daemon does not answer in time", () => {
  const core = create();
  core.step({ type: "request_arrived", req: promptFixture("r1") });
  const early = core.after(ANSWER_TIMEOUT_MS - 1);
  expect(intentsOf(early, "start_attempt")).toHaveLength(0);
  const late = core.after(1);
  expect(intentsOf(late, "start_attempt")).toHaveLength(1);
});

test("a prompt is placed locally at once when the scheduling daemon is unreachable", () => {
  const core = create();
  core.step({ type: "request_arrived", req: promptFixture("r1") });
  const result = core.after(1, {
    type: "peer_unreachable",
    address: "vm-2:2",
  });
  expect(intentsOf(result, "start_attempt")).toHaveLength(1);
});

test("the placement request of a prompt queued at the scheduling daemon is repeated, not placed locally", () => {
  const core = create();
  core.step({ type: "request_arrived", req: promptFixture("r1") });
  const value = {
    request: "r1",
    round: 1,
    state: "queued",
    tokens: 0,
    crashed: false,
    suspect: undefined,
  };
  core.after(2, message({ $case: "placeUpdate", value }));
  expect(sent(core.after(ANSWER_TIMEOUT_MS))).toEqual([]);
  expect(sent(core.after(2_000))).toEqual(["placeAsk"]);
});
