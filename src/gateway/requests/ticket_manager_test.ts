import { errAsync, okAsync } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { ServiceId, UpstreamId, VmId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import type { JobId, PoolGrant } from "../../scheduling/pool/pool_job.ts";
import {
  EngineOrders,
  type Reservation,
  type ReservationError,
} from "./engine_orders.ts";
import { TicketManager } from "./ticket_manager.ts";

/** Engines that note the memory that is set aside, and until when. */
class LeasedMemory extends EngineOrders {
  readonly until = new Map<string, number>();
  refusing = "";
  dead = "";
  unreachable = false;

  override reserve(one: Reservation) {
    if (this.refusing === one.address) {
      return errAsync({ code: "refused", detail: "full" } as const);
    }
    if (!this.unreachable) this.until.set(one.address, Date.now() + one.holdMs);
    return okAsync(undefined);
  }

  override fetchReport(address: string) {
    return this.dead === address
      ? errAsync({ code: "unknown", detail: "silent" } as const)
      : okAsync({ pace: 1 });
  }

  override release(address: string) {
    if (!this.unreachable) this.until.delete(address);
    return okAsync(undefined);
  }

  held(): string[] {
    const held = [...this.until].filter(([, until]) => until > Date.now());
    return held.map(([address]) => address);
  }
}

const GRANT: PoolGrant = {
  job: {
    id: "r1.1" as JobId,
    vm: "vm" as VmId,
    service: "s" as ServiceId,
    kind: "prompt",
    upstream: "e0" as UpstreamId,
    helpers: ["e1" as UpstreamId, "e2" as UpstreamId],
    tickets: [
      { upstream: "e1" as UpstreamId, tokens: 100_000 },
      { upstream: "e2" as UpstreamId, tokens: 50_000 },
    ],
    tokens: 450_000,
    partMs: 1_000,
    pauseMs: 1_000,
    writing: false,
    placedAt: 0 as Timestamp,
  },
  addresses: {
    ["e0" as UpstreamId]: "e0:1",
    ["e1" as UpstreamId]: "e1:1",
    ["e2" as UpstreamId]: "e2:1",
  } as PoolGrant["addresses"],
  priority: 1,
  expectMs: 1_000,
};

/** What the platform allows after the last request that used the memory. */
const FREE_MS = 4_000;

let memory: LeasedMemory;
let failures: ReservationError[];
let losses = 0;
const lost = () => {
  losses += 1;
  keeper.release();
};
let keeper: TicketManager;

beforeEach(() => {
  vi.useFakeTimers();
  memory = new LeasedMemory();
  failures = [];
  losses = 0;
  keeper = TicketManager.create(memory, GRANT, {
    onError: (err) => failures.push(err),
  });
});
afterEach(() => {
  keeper.release();
  vi.useRealTimers();
});

test("memory is held for as long as the prompt runs, and free afterwards", async () => {
  await keeper.reserve(lost);
  await vi.advanceTimersByTimeAsync(14_000);
  expect(memory.held()).toEqual(["e1:1", "e2:1"]);
  keeper.release();
  expect(memory.held()).toEqual([]);
});

test("all of it is set aside, or none", async () => {
  memory.refusing = "e2:1";
  expect((await keeper.reserve(lost)).isErr()).toBe(true);
  expect(memory.held()).toEqual([]);
  expect(failures.map((one) => one.code)).toEqual(["refused"]);
});

test("what a daemon that vanished held is free in time", async () => {
  await keeper.reserve(lost);
  await vi.advanceTimersByTimeAsync(5_000);
  memory.unreachable = true;
  await vi.advanceTimersByTimeAsync(FREE_MS);
  expect(memory.held()).toEqual([]);
});

test("what a dead engine would have used is free in time, although its connection is silent", async () => {
  await keeper.reserve(lost);
  await vi.advanceTimersByTimeAsync(2_000);
  memory.dead = "e0:1";
  await vi.advanceTimersByTimeAsync(FREE_MS);
  expect(losses).toBe(1);
  expect(memory.held()).toEqual([]);
});
