import { expect, test } from "vitest";
import { createBlackboard } from "../board/blackboard.ts";
import type { DaemonId, DomainId, VmId } from "./id.ts";
import { Controller } from "./controller.ts";
import { Core } from "./core.ts";
import { Random } from "./random.ts";
import type { StepContext } from "./step_context.ts";
import { addMs, type Timestamp } from "./time.ts";

const START = 1_000 as Timestamp;

class RepeatingController extends Controller {
  readonly name = "repeating";
  passes = 0;
  seen = 0;

  override step(_board: unknown, ctx: StepContext): void {
    this.passes += 1;
    this.seen += ctx.events.length;
    ctx.wakeAt(addMs(ctx.now, 50));
    ctx.wakeAt(addMs(ctx.now, 20));
    if (this.passes < 3) ctx.repeat();
  }
}

function createCore(controller: Controller): Core {
  const board = createBlackboard({
    id: "d1" as DaemonId,
    vm: "vm1" as VmId,
    domain: "a" as DomainId,
    clientAddress: "127.0.0.1:1",
    peerAddress: "127.0.0.1:2",
    startedAt: START,
  });
  return Core.create({
    board,
    controllers: [controller],
    random: Random.create(1),
  });
}

test("a step repeats passes on request, delivers events in the first pass only and returns the earliest wake-up", () => {
  const controller = new RepeatingController();
  const result = createCore(controller).step(START, [{
    type: "drain_requested",
  }]);
  expect({ passes: controller.passes, seen: controller.seen, result })
    .toMatchInlineSnapshot(`
    {
      "passes": 3,
      "result": {
        "intents": [],
        "wakeAt": 1020,
      },
      "seen": 1,
    }
  `);
});

test("random sources with the same seed return the same values", () => {
  const a = Random.create(7);
  const b = Random.create(7);
  expect([a.next(), a.below(10), a.uuid(START)]).toEqual([
    b.next(),
    b.below(10),
    b.uuid(START),
  ]);
});
