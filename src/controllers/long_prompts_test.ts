import { expect, test } from "vitest";
import type { Peer } from "../board/members_section.ts";
import type { RequestEntry } from "../board/requests_section.ts";
import type { Event } from "../core/event.ts";
import type { DaemonId, Revision } from "../core/id.ts";
import { addMs } from "../core/time.ts";
import { toPlaceAsk } from "../scheduling/place_messages.ts";
import {
  CoreFixture,
  engineFixture,
  promptFixture,
  selfFixture,
  START,
} from "../testing/fixtures.ts";
import { PlacementController } from "./placement_controller.ts";

const LONG = { promptTokens: 100_000, deadlineAt: addMs(START, 600_000) };
const ASKER = "daemon-2" as DaemonId;

function peer(): Peer {
  const self = selfFixture(2);
  const load = { running: 1, queued: 0, revision: 0 as Revision };
  return { ...self, ...load, state: "serving", lastMessageAt: START };
}

function entry(id: string): RequestEntry {
  return {
    req: promptFixture(id, LONG),
    ranUnder: { revision: 0 as Revision },
    weights: { model: "sage" as never, version: "2" as never },
    once: false,
    state: "placing",
    attempt: undefined,
    attempts: 0,
    round: 1,
    excluded: [],
    tokens: 0,
    verdict: "not_run",
    replayable: true,
  };
}

function askFromPeer(): Event {
  const { req, weights } = entry("lost");
  const ask = {
    ...promptFixture("lost", LONG),
    request: req.id,
    round: 1,
    from: ASKER,
    weights: weights!,
    urgency: 5,
    blocks: [],
    excluded: [],
    suspect: false,
  };
  const value = toPlaceAsk(ask, START);
  const body = { $case: "placeAsk" as const, value };
  return { type: "peer_message", envelope: { from: ASKER, seq: 1, body } };
}

test("a long prompt of a daemon that went silent stops blocking an engine", () => {
  const core = CoreFixture.create([PlacementController.create()]);
  core.add(engineFixture("e1"));
  core.board.members.peers.set(ASKER, peer());
  core.step(askFromPeer());
  const own = entry("own");
  core.board.requests.byId.set(own.req.id, own);
  core.after(1_000);
  core.after(1_000);
  expect(core.board.placement.placed.has(own.req.id)).toBe(false);
  core.after(2_000);
  core.after(1_000);
  expect(core.board.placement.placed.get(own.req.id)?.type).toBe("granted");
});

test.each([1, 2, 3])(
  "a long prompt is placed with %i live engines",
  (count) => {
    const core = CoreFixture.create([PlacementController.create()]);
    for (let i = 1; i <= count; i += 1) core.add(engineFixture(`e${i}`));
    const own = entry("own");
    core.board.requests.byId.set(own.req.id, own);
    core.step();
    core.after(1_000);
    expect(core.board.placement.placed.get(own.req.id)?.type).toBe("granted");
  },
);

test("a long prompt that failed on one of three engines is placed again", () => {
  const core = CoreFixture.create([PlacementController.create()]);
  core.add(engineFixture("e1"), engineFixture("e2"), engineFixture("e3"));
  const own = { ...entry("own"), excluded: ["e3" as never] };
  core.board.requests.byId.set(own.req.id, own);
  core.step();
  core.after(1_000);
  expect(core.board.placement.placed.get(own.req.id)?.type).toBe("granted");
});
