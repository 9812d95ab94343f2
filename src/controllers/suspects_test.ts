import { expect, test } from "vitest";
import type { RequestEntry } from "../board/requests_section.ts";
import type { RequestId, Revision, UpstreamId } from "../core/id.ts";
import { addMs } from "../core/time.ts";
import {
  CoreFixture,
  engineFixture,
  promptFixture,
  START,
} from "../testing/fixtures.ts";
import { PlacementController } from "./placement_controller.ts";

/** A prompt whose engine has crashed. */
function afterCrash(id: string): RequestEntry {
  return {
    req: promptFixture(id, { deadlineAt: addMs(START, 100_000) }),
    ranUnder: { revision: 0 as Revision },
    weights: { model: "sage" as never, version: "2" as never },
    once: false,
    state: "placing",
    attempt: undefined,
    attempts: 1,
    round: 2,
    excluded: ["crashed" as UpstreamId],
    tokens: 0,
    verdict: "may_have_run",
    replayable: true,
  };
}

test("when more prompts lost their engine to a crash than engines are left, they run one at a time on each engine and none is refused", () => {
  const core = CoreFixture.create([PlacementController.create()]);
  core.add(engineFixture("e1"), engineFixture("e2"));
  const { byId } = core.board.requests;
  const { placed } = core.board.placement;
  const waiting = ["a", "b", "c", "d", "e"];
  for (const id of waiting) byId.set(id as RequestId, afterCrash(id));
  core.step();
  const rounds: string[] = [];
  while (byId.size > 0 && rounds.length < 10) {
    const now = [...byId.keys()].filter((id) => placed.has(id));
    expect(now.map((id) => placed.get(id)?.type)).toEqual(
      now.map(() => "granted"),
    );
    rounds.push(now.join(" "));
    for (const id of now) byId.delete(id);
    core.after(500);
  }
  expect(rounds).toEqual(["a b", "c d", "e"]);
});
