import { expect, test } from "vitest";
import type { Blackboard } from "../../src/board/blackboard.ts";
import { BlockSuspects } from "../../src/suspects/block_suspects.ts";
import type { FencingNumber, PlanId, Revision } from "../../src/core/id.ts";
import type { Intent } from "../../src/core/intent.ts";
import type { Timestamp } from "../../src/core/time.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import type { Fleet, Mutation } from "./fleet.ts";
import { INVARIANTS } from "./invariants/all.ts";
import { runSchedule } from "./run.ts";
import type { Action } from "./schedule.ts";

const PROMPT: Action = {
  type: "prompt",
  daemon: 0,
  tokens: 3_000,
  count: 4,
  leavesAfterMs: 0,
  waitMs: 12_000,
};
const POISON: Action = {
  type: "poison",
  daemon: 0,
  content: 0,
  waitMs: 12_000,
};
const CALL: Action = {
  type: "call",
  daemons: [0, 1],
  key: 0,
  body: 0,
  waitMs: 3_000,
};
const CONFIGURE: Action = { type: "configure", operators: 1, waitMs: 3_000 };

function without(...types: readonly Intent["type"][]): Mutation {
  return {
    intents: (_, intents) =>
      intents.filter(({ type }) => !types.includes(type)),
  };
}

function onBoard(board: (board: Blackboard) => void): Mutation {
  return { board };
}

function onFleet(fleet: (fleet: Fleet) => void): Mutation {
  return { fleet };
}

function answerTwice(
  daemon: DaemonProcess,
  intents: readonly Intent[],
): readonly Intent[] {
  for (const intent of intents) {
    if (intent.type !== "answer") continue;
    const exchange = daemon.exchanges.get(intent.req);
    if (exchange?.kind === "prompt") exchange.writer.fail(intent.problem);
  }
  return intents;
}

function sayNotRun(
  _: DaemonProcess,
  intents: readonly Intent[],
): readonly Intent[] {
  return intents.map((intent): Intent => {
    if (intent.type !== "answer") return intent;
    return { ...intent, problem: { ...intent.problem, verdict: "not_run" } };
  });
}

/** Takes leaving upstreams for live ones. */
function forgetLeaving(
  daemon: DaemonProcess,
  intents: readonly Intent[],
): readonly Intent[] {
  const { byId } = daemon.board.upstreams;
  for (const upstream of byId.values()) {
    if (upstream.state !== "leaving") continue;
    byId.set(upstream.id, { ...upstream, state: "live" });
  }
  return intents;
}

function exitAtOnce(
  daemon: DaemonProcess,
  intents: readonly Intent[],
): readonly Intent[] {
  const isLeaving = daemon.board.members.drain === "leaving";
  return isLeaving ? [...intents, { type: "exit" }] : intents;
}

function accept(fleet: Fleet): void {
  const base = 0 as Revision;
  for (const change of ["a", "b"]) {
    const revision = 1 as Revision;
    const result = { outcome: "accepted", change, revision } as const;
    fleet.operators.told.push({ change, base, result });
  }
}

function refuseWrongly(fleet: Fleet): void {
  const base = 0 as Revision;
  const winner = { revision: base, author: "", at: 0 as Timestamp };
  const result = {
    outcome: "conflict",
    change: "first",
    base,
    winner,
  } as const;
  fleet.operators.told.push({ change: "first", base, result });
}

function takeOldOrder(fleet: Fleet): void {
  fleet.engines[0]!.fencings.push(...[1_005, 1_003] as FencingNumber[]);
}

/** Says the first revision again some steps after a new one. */
function goBackLater(): (board: Blackboard) => void {
  const seen = new Map<Blackboard, number>();
  return (board) => {
    if (board.config.revision === 0) return;
    const steps = (seen.get(board) ?? 0) + 1;
    seen.set(board, steps);
    if (steps > 5) board.config.revision = 0 as Revision;
  };
}

type Row = readonly [string, readonly Action[], Mutation];

const ROWS: readonly Row[] = [
  [
    "everyRequestEnds",
    [PROMPT],
    {
      ...without("start_attempt"),
      ...onBoard((board) => {
        for (const [id, entry] of board.requests.byId) {
          const deadlineAt = Infinity as Timestamp;
          const req = { ...entry.req, deadlineAt };
          board.requests.byId.set(id, { ...entry, req });
        }
      }),
    },
  ],
  ["givenUpIsAnswered", [POISON], without("answer")],
  [
    "oneFinalAnswer",
    [POISON],
    { intents: answerTwice },
  ],
  ["answersAreWhole", [PROMPT], {
    event: (event) =>
      event.type === "token" ? { ...event, text: "of another" } : event,
  }],
  [
    "notRunIsTrue",
    [
      { type: "service", service: 0, fault: "reset_after", waitMs: 0 },
      { ...CALL, daemons: [0] },
    ],
    { intents: sayNotRun },
  ],
  [
    "keysRunOnce",
    [CALL],
    onBoard((board) => {
      for (const entry of board.requests.byId.values()) {
        if (entry.state !== "claiming") continue;
        board.claims.results.set(entry.req.id, { type: "held" });
      }
    }),
  ],
  [
    "poisonIsBounded",
    [POISON],
    onBoard((board) => {
      board.quarantine.suspects.clear();
      board.quarantine.quarantined.clear();
      board.quarantine.blocks = BlockSuspects.create();
    }),
  ],
  [
    "poisonBlockIsBounded",
    [{ type: "poison_block", daemon: 0, count: 24, waitMs: 30_000 }],
    onBoard((board) => {
      board.quarantine.blocks = BlockSuspects.create();
    }),
  ],
  [
    "neighboursAreServed",
    [PROMPT],
    onBoard((board) => {
      for (const { req } of board.requests.byId.values()) {
        board.quarantine.quarantined.set(req.digest, req.arrivedAt);
      }
    }),
  ],
  [
    "leavingGetsNoWork",
    [
      ...[0, 1, 2, 3].map((engine): Action => ({
        type: "leave",
        engine,
        waitMs: 0,
      })),
      { type: "read", daemon: 0, waitMs: 5_800 },
      PROMPT,
    ],
    { intents: forgetLeaving },
  ],
  [
    "drainCutsNothing",
    [
      { ...PROMPT, waitMs: 10 },
      ...[0, 1, 2, 3].map((engine) => ({
        type: "freeze" as const,
        engine,
        ms: 6_000,
        waitMs: 0,
      })),
      { type: "drain", daemon: 0, waitMs: 3_000 },
    ],
    { intents: exitAtOnce },
  ],
  [
    "revisionsOnlyGrow",
    [CONFIGURE],
    { board: goBackLater() },
  ],
  ["oneOperatorWins", [], onFleet(accept)],
  ["fencingOnlyGrows", [], onFleet(takeOldOrder)],
  [
    "retriesAreBounded",
    [],
    onBoard((board) => {
      board.counters.retried.connect_failed += 10;
    }),
  ],
  [
    "memoryIsFree",
    [],
    onFleet(({ engines }) => {
      engines[0]!.reserve("lost" as PlanId, 1_000, 1_000_000);
    }),
  ],
  ["daemonsAgree", [CONFIGURE], {
    intents: (daemon, intents) =>
      daemon.id.startsWith("d0")
        ? intents.filter(({ type }) => type !== "read_log")
        : intents.filter(({ type }) => type !== "send_peer"),
  }],
  ["operatorsAreToldTheTruth", [], onFleet(refuseWrongly)],
  ["ordersAreCarriedOut", [CONFIGURE], {
    ...without("send_order"),
    ...onFleet(({ engines }) => {
      engines[3]!.fencings.push(1 as FencingNumber);
    }),
  }],
  ["fleetRecovers", [], {
    intents: (_, intents) =>
      intents.filter((intent) =>
        intent.type !== "start_attempt" || !intent.req.startsWith("prompt")
      ),
  }],
];

test.each(ROWS)(
  "a broken mechanism shows as %s",
  async (name, actions, mutation) => {
    const violation = await runSchedule({ seed: 1, actions }, mutation);
    expect(violation?.invariant, violation?.trace.join("\n")).toBe(name);
  },
);

test("each invariant has been seen broken", () => {
  const rows = ROWS.map(([name]) => name);
  const names = INVARIANTS.map(({ name }) => name);
  expect(rows.toSorted()).toEqual([...names, "fleetRecovers"].toSorted());
});
