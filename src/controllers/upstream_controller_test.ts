import { expect, test } from "vitest";
import type { DomainId, Incarnation, UpstreamId, VmId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { CoreFixture, serviceFixture } from "../testing/fixtures.ts";
import type { EngineState, LoadReport } from "../wire/engine.ts";
import type { Vm } from "../wire/vm_list.ts";
import { UpstreamController } from "./upstream_controller.ts";

const ID = "e1" as UpstreamId;

function vm(run: number, state: Vm["state"] = "live"): Vm {
  return {
    id: "e1" as VmId,
    role: "engine",
    domain: "a" as DomainId,
    address: "e1:1",
    incarnation: `run-${run}` as Incarnation,
    state,
  };
}

function listed(...vms: readonly Vm[]) {
  return { type: "vms_listed", vms } as const;
}

function loadReported(run: number, overrides: Partial<LoadReport> = {}) {
  const report: LoadReport = {
    incarnation: `run-${run}` as Incarnation,
    at: 0 as Timestamp,
    running: 0,
    waiting: 0,
    decoding: 0,
    prefill_tokens: 0,
    kv_capacity_tokens: 450_000,
    kv_free_tokens: 450_000,
    loaded: [],
    role: "mixed",
    leaving: false,
    ...overrides,
  };
  return { type: "load_reported", upstream: ID, report } as const;
}

function create(): CoreFixture {
  const core = CoreFixture.create([UpstreamController.create()]);
  core.step(listed(vm(1)));
  return core;
}

function stateOf(core: CoreFixture) {
  return core.board.upstreams.byId.get(ID)?.state;
}

test("an upstream is leaving as soon as the list, a report, a peer or its absence from the list says so", () => {
  const byList = create();
  byList.step(listed(vm(1, "leaving")));
  const byReport = create();
  byReport.step(loadReported(1, { leaving: true }));
  const byPeer = create();
  byPeer.board.members.upstreamUpdates.set(ID, {
    incarnation: "run-1",
    state: "leaving",
  });
  byPeer.step();
  const byAbsence = create();
  byAbsence.step(listed());
  expect([byList, byReport, byPeer, byAbsence].map(stateOf))
    .toEqual(["leaving", "leaving", "leaving", "leaving"]);
});

test("a late update of the same run does not make a leaving upstream live again", () => {
  const core = create();
  core.step(loadReported(1, { leaving: true }));
  core.step(listed(vm(1)), loadReported(1));
  expect(stateOf(core)).toBe("leaving");
  core.step(listed(vm(2)));
  expect(stateOf(core)).toBe("live");
  core.step(listed(vm(1)), loadReported(1));
  expect(core.board.upstreams.byId.get(ID)?.incarnation).toBe("run-2");
});

test("a leaving upstream is still leaving after it was unreachable", () => {
  const core = create();
  core.step(loadReported(1, { leaving: true }));
  core.step({ type: "upstream_unreachable", upstream: ID });
  core.step(loadReported(1));
  expect(stateOf(core)).toBe("leaving");
});

test("an unreachable service is live again after one second", () => {
  const core = create();
  const service = serviceFixture("s1");
  core.add(service);
  core.step({ type: "upstream_unreachable", upstream: service.id });
  const stateNow = () => core.board.upstreams.byId.get(service.id)?.state;
  expect(stateNow()).toBe("unreachable");
  const result = core.after(999);
  expect([stateNow(), result.wakeAt]).toEqual(["unreachable", core.now + 1]);
  core.after(1);
  expect(stateNow()).toBe("live");
});

test("a report of a restarted engine takes precedence over an older list", () => {
  const core = create();
  core.step(loadReported(1));
  core.step({ type: "upstream_unreachable", upstream: ID });
  expect(stateOf(core)).toBe("unreachable");
  core.step(loadReported(2));
  core.step(listed(vm(1)));
  expect(core.board.upstreams.byId.get(ID)).toMatchObject({
    incarnation: "run-2",
    state: "live",
  });
});

test("a peer's update of an earlier run is ignored", () => {
  const core = create();
  core.step(listed(vm(2)));
  core.board.members.upstreamUpdates.set(ID, {
    incarnation: "run-1",
    state: "leaving",
  });
  core.step();
  expect(stateOf(core)).toBe("live");
});

function stateReported(run: number) {
  const state: EngineState = {
    incarnation: `run-${run}` as Incarnation,
    loaded: [],
    loading: [],
    role: "mixed",
    leaving: false,
  };
  return { type: "state_reported", upstream: ID, state } as const;
}

test("an outdated run in the list does not replace the run that reports", () => {
  const core = create();
  const seen = [
    core.step(stateReported(3)),
    core.step(listed(vm(2))),
    core.step(listed(vm(3))),
    core.step({ type: "upstream_unreachable", upstream: ID }),
    core.step(listed(vm(2, "leaving"))),
    core.step(stateReported(3)),
  ].map(() => stateOf(core));
  expect(core.board.upstreams.byId.get(ID)?.incarnation).toBe("run-3");
  expect(seen.at(-1)).toBe("live");
});

test("a leaving run is still leaving when it is reported again after another run", () => {
  const core = create();
  core.step(listed(vm(1, "leaving")));
  core.step(stateReported(2));
  core.step(stateReported(1));
  expect(stateOf(core)).toBe("leaving");
});
