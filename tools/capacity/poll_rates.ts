import { setTimeout as sleep } from "node:timers/promises";
import { okAsync } from "neverthrow";
import {
  type Blackboard,
  createBlackboard,
} from "../../src/board/blackboard.ts";
import type { DaemonId, UpstreamId } from "../../src/core/id.ts";
import type { Timestamp } from "../../src/core/time.ts";
import type { Loop } from "../../src/daemon/loop.ts";
import { UpstreamClients } from "../../src/daemon/upstream_clients.ts";
import { UpstreamPoller } from "../../src/daemon/upstream_poller.ts";
import { VmListPoller } from "../../src/daemon/vm_list_poller.ts";
import type { EngineClient } from "../../src/engine/engine_client.ts";
import type { VmListClient } from "../../src/platform/vm_list_client.ts";
import {
  engineState,
  engineVm,
  heartbeatOf,
  loadReport,
  runId,
  START,
} from "./samples.ts";

const WINDOW_MS = 16_000;
const SETTLE_MS = 200;

/** Calls a second to one engine. */
export type EngineRates = Readonly<
  { load: number; state: number; cache: number }
>;

/** How often the real pollers ask. */
export type PollRates = Readonly<{
  scheduling: EngineRates;
  other: EngineRates;
  /** Reads of the VM list a second by one daemon, by daemons of the cell. */
  vmList: readonly Readonly<{ daemons: number; perSecond: number }>[];
}>;

type Calls = { load: number; state: number; cache: number };

/** Runs the real pollers against fakes for some seconds and counts their calls. */
export async function measurePollRates(
  cells: readonly number[],
): Promise<PollRates> {
  const scheduling = countEngineCalls(true);
  const other = countEngineCalls(false);
  const lists = cells.map((daemons) => ({ daemons, ...countLists(daemons) }));
  await sleep(SETTLE_MS);
  const counters = [scheduling, other, ...lists];
  const before = counters.map((one) => one.read());
  await sleep(WINDOW_MS);
  for (const one of counters) one.stop();
  const rates = counters.map((one, i) => rate(one.read(), before[i]!));
  return {
    scheduling: rates[0]!,
    other: rates[1]!,
    vmList: cells.map((daemons, i) => ({
      daemons,
      perSecond: rates[i + 2]!.load,
    })),
  };
}

function countEngineCalls(schedules: boolean) {
  const calls: Calls = { load: 0, state: 0, cache: 0 };
  const board = boardOf(1);
  board.members.scheduler = schedules ? board.self.id : runId(5) as DaemonId;
  const id = "engine-0" as UpstreamId;
  board.upstreams.byId.set(id, {
    ...engineVm(0),
    id,
    kind: "engine",
    state: "live",
    engine: engineState(0),
  });
  const engine = {
    load: () => counted(calls, "load", loadReport(0, START)),
    state: () => counted(calls, "state", engineState(0)),
    cacheEvents: () => counted(calls, "cache", []),
  } as unknown as EngineClient;
  const clients = UpstreamClients.create({
    engine: () => engine,
    service: () => {
      throw new Error("Not asked for");
    },
  });
  const poller = UpstreamPoller.create(() => loopOf(board), clients);
  poller.start();
  return { read: () => ({ ...calls }), stop: () => poller.stop() };
}

function countLists(daemons: number) {
  const calls: Calls = { load: 0, state: 0, cache: 0 };
  const client = {
    list: () => counted(calls, "load", []),
  } as unknown as VmListClient;
  const board = boardOf(daemons);
  const poller = VmListPoller.create(() => loopOf(board), client);
  poller.start();
  return { read: () => ({ ...calls }), stop: () => poller.stop() };
}

function counted<T>(calls: Calls, kind: keyof Calls, value: T) {
  calls[kind] += 1;
  return okAsync(value);
}

function loopOf(board: Blackboard): Loop {
  return {
    core: { board },
    post: () => {},
    now: () => START,
  } as unknown as Loop;
}

function boardOf(daemons: number): Blackboard {
  const board = createBlackboard({
    id: runId(0) as DaemonId,
    vm: "entry-0" as never,
    domain: "a" as never,
    clientAddress: "10.3.0.0:8080",
    peerAddress: "10.3.0.0:9000",
    startedAt: START,
  });
  for (let i = 1; i < daemons; i += 1) {
    const beat = heartbeatOf(i, 0);
    board.members.peers.set(runId(i) as DaemonId, {
      ...beat,
      id: runId(i) as DaemonId,
      state: "serving",
      heardAt: START as Timestamp,
    } as never);
  }
  return board;
}

function rate(after: Calls, before: Calls): EngineRates {
  const perSecond = (kind: keyof Calls) =>
    (after[kind] - before[kind]) * 1_000 / WINDOW_MS;
  return {
    load: perSecond("load"),
    state: perSecond("state"),
    cache: perSecond("cache"),
  };
}
