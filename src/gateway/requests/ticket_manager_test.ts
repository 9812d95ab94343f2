import { err, errAsync, okAsync, ResultAsync } from "neverthrow";
import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import type { ServiceId, UpstreamId, VmId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import type { JobId, PoolGrant } from "../../scheduling/pool/pool_job.ts";
import {
  EngineOrders,
  type Reservation,
  type ReservationError,
} from "./engine_orders.ts";
import { TicketManager } from "./ticket_manager.ts";

const CALL_TIMEOUT_MS = 300;

/** Engines that record the reserved memory with its expiry. */
class FakeEngineOrders extends EngineOrders {
  readonly until = new Map<string, number>();
  refusing = "";
  /** Engine that doesn't respond: its calls time out. */
  silent = "";
  /** Engine whose address refuses connections. */
  dead = "";
  startedAt = 1;
  unreachable = false;

  override reserve(one: Reservation) {
    if (this.refusing === one.address) {
      return errAsync({ code: "refused", detail: "full" } as const);
    }
    if (!this.unreachable) this.until.set(one.address, Date.now() + one.holdMs);
    return okAsync(undefined);
  }

  override fetchReport(address: string) {
    if (this.dead === address) {
      return errAsync({ code: "unreachable", detail: "refused" } as const);
    }
    if (this.silent !== address) {
      return okAsync({ pace: 1, startedAt: this.startedAt });
    }
    return new ResultAsync<never, ReservationError>(
      new Promise((resolve) => {
        const failure = { code: "unknown", detail: "silent" } as const;
        setTimeout(() => resolve(err(failure)), CALL_TIMEOUT_MS);
      }),
    );
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

/** Longest time that the platform lets memory stay reserved after the last request that used it. */
const FREE_MS = 4_000;

let engines: FakeEngineOrders;
let failures: ReservationError[];
let lossCount = 0;
const onUpstreamLost = () => {
  lossCount += 1;
  manager.release();
};
let manager: TicketManager;

beforeEach(() => {
  vi.useFakeTimers();
  engines = new FakeEngineOrders();
  failures = [];
  lossCount = 0;
  manager = TicketManager.create(engines, GRANT, {
    onError: (err) => failures.push(err),
  });
});
afterEach(() => {
  manager.release();
  vi.useRealTimers();
});

test("memory stays reserved while the prompt runs, and is free afterwards", async () => {
  await manager.reserve(onUpstreamLost);
  await vi.advanceTimersByTimeAsync(14_000);
  expect(engines.held()).toEqual(["e1:1", "e2:1"]);
  manager.release();
  expect(engines.held()).toEqual([]);
});

test("all tickets are reserved, or none", async () => {
  engines.refusing = "e2:1";
  expect((await manager.reserve(onUpstreamLost)).isErr()).toBe(true);
  expect(engines.held()).toEqual([]);
  expect(failures.map((failure) => failure.code)).toEqual(["refused"]);
});

test("the reservations of a dead daemon expire in time", async () => {
  await manager.reserve(onUpstreamLost);
  await vi.advanceTimersByTimeAsync(5_000);
  engines.unreachable = true;
  await vi.advanceTimersByTimeAsync(FREE_MS);
  expect(engines.held()).toEqual([]);
});

/** Times of an engine's failure, at all distances to a renewal. */
const FAILURE_TIMES_MS = Array.from({ length: 16 }, (_, i) => 2_000 + 100 * i);

describe.each(FAILURE_TIMES_MS)("an engine that fails after %i ms", (ms) => {
  beforeEach(async () => {
    await manager.reserve(onUpstreamLost);
    await vi.advanceTimersByTimeAsync(ms);
  });

  test("keeps its prompt and the memory if it only pauses for 1.6 s", async () => {
    engines.silent = "e0:1";
    await vi.advanceTimersByTimeAsync(1_600);
    engines.silent = "";
    for (let i = 0; i < 100; i += 1) {
      await vi.advanceTimersByTimeAsync(50);
      expect(engines.held()).toEqual(["e1:1", "e2:1"]);
    }
    expect(lossCount).toBe(0);
  });

  test("frees the memory in time if it stays silent, although its connection stays open", async () => {
    engines.silent = "e0:1";
    await vi.advanceTimersByTimeAsync(FREE_MS);
    expect(engines.held()).toEqual([]);
    const known = failures.length;
    engines.silent = "";
    await vi.advanceTimersByTimeAsync(FREE_MS);
    expect(engines.held()).toEqual([]);
    expect(lossCount).toBe(0);
    expect(failures).toHaveLength(known);
    expect(known).toBeLessThan(5);
  });

  test.each<[string, () => void]>([
    ["its address refuses connections", () => engines.dead = "e0:1"],
    ["another process has taken its place", () => engines.startedAt = 2],
  ])("loses its prompt and frees the memory in time if %s", async (_, fail) => {
    fail();
    await vi.advanceTimersByTimeAsync(FREE_MS);
    expect(lossCount).toBe(1);
    expect(engines.held()).toEqual([]);
  });
});
