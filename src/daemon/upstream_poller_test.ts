import { errAsync, okAsync } from "neverthrow";
import { expect, test, vi } from "vitest";
import { createBlackboard } from "../board/blackboard.ts";
import type { Event } from "../core/event.ts";
import type { DaemonId, UpstreamId } from "../core/id.ts";
import type { EngineClient, EngineError } from "../engine/engine_client.ts";
import { engineFixture, selfFixture } from "../testing/fixtures.ts";
import type { Loop } from "./loop.ts";
import { UpstreamClients } from "./upstream_clients.ts";
import { UpstreamPoller } from "./upstream_poller.ts";

const UNREACHABLE: EngineError = {
  code: "connect_failed",
  verdict: "not_run",
  detail: "Connection refused",
};

/** The tests wait for calls; the time-out is long enough for a slow machine. */
const WAIT_OPTIONS = { timeout: 50_000, interval: 10 };

function create(options: { schedules: boolean; loadFails?: boolean }) {
  const board = createBlackboard(selfFixture(1));
  if (!options.schedules) board.members.scheduler = "other" as DaemonId;
  const engine = engineFixture("e1");
  board.upstreams.byId.set(engine.id, engine);
  const calls = { load: 0, state: 0, cache: 0 };
  const client = {
    load: () => {
      calls.load += 1;
      return options.loadFails ? errAsync(UNREACHABLE) : okAsync({});
    },
    state: () => {
      calls.state += 1;
      return okAsync(engine.engine!);
    },
    cacheEvents: () => {
      calls.cache += 1;
      return okAsync({ incarnation: engine.incarnation, events: [] });
    },
  } as unknown as EngineClient;
  const events: Event[] = [];
  const loop = {
    core: { board },
    post: (event: Event) => events.push(event),
  } as unknown as Loop;
  const clients = UpstreamClients.create({
    engine: () => client,
    service: () => {
      throw new Error("No service client expected");
    },
  });
  return {
    calls,
    events,
    poller: UpstreamPoller.create(() => loop, clients),
  };
}

test("the scheduling daemon and the other daemons poll each report at their own intervals", async () => {
  const runs = [true, false].map((schedules) => create({ schedules }));
  for (const { poller } of runs) poller.start();
  await vi.waitFor(() => expect(runs[0]!.calls.load).toBe(5), WAIT_OPTIONS);
  for (const { poller } of runs) poller.stop();
  expect(runs.map(({ calls }) => calls)).toEqual([
    { load: 5, state: 2, cache: 3 },
    { load: 1, state: 1, cache: 0 },
  ]);
});

test("an unreachable engine is reported in a round that requests its load only", async () => {
  const { events, poller } = create({ schedules: true, loadFails: true });
  poller.start();
  const lost = {
    type: "upstream_unreachable",
    upstream: "e1" as UpstreamId,
  };
  await vi.waitFor(() => expect(events).not.toEqual([]), WAIT_OPTIONS);
  expect(events).not.toContainEqual(lost);
  await vi.waitFor(() => expect(events).toContainEqual(lost), WAIT_OPTIONS);
  poller.stop();
});
