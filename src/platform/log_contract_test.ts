import { setImmediate } from "node:timers/promises";
import { describe, expect, test } from "vitest";
import type { LogControl } from "../../stand_ins/log_service/control.ts";
import { LogService } from "../../stand_ins/log_service/log_service.ts";
import type { LogServiceConfig } from "../../stand_ins/log_service/log_service.ts";
import { Relay } from "../../stand_ins/relay/relay.ts";
import type { Offset, StreamName } from "../core/id.ts";
import { HttpLogClient } from "./http_log_client.ts";
import type { LogClient } from "./log_client.ts";

type Fixture = Readonly<{
  log: LogService;
  relay: Relay;
  client: LogClient;
  close: () => Promise<void>;
}>;

const STREAM = "s" as StreamName;
const SHORT_TIMEOUT_MS = 500;
const LONG_TIMEOUT_MS = 20_000;
const NO_WAIT = { limit: 10, waitMs: 0 };

const ADAPTERS = {
  HttpLogClient: (url: string, options: { timeoutMs: number }) =>
    HttpLogClient.create(url, options),
};

describe.each(Object.entries(ADAPTERS))("%s", (_name, createClient) => {
  async function start(
    options: { timeoutMs?: number; cfg?: LogServiceConfig } = {},
  ): Promise<Fixture> {
    const log = LogService.create(options.cfg);
    const relay = Relay.create({ target: await log.listen() });
    const url = `http://${await relay.listen()}`;
    const timeoutMs = options.timeoutMs ?? LONG_TIMEOUT_MS;
    const client = createClient(url, { timeoutMs });
    const close = async () => {
      await client.close();
      await relay.close();
      await log.close();
    };
    return { log, relay, client, close };
  }

  function endOf(log: LogService): number {
    return log.extents()[STREAM]?.end_offset ?? 0;
  }

  function offset(value: number): Offset {
    return value as Offset;
  }

  test("appended records are read back in order, in batches up to the limit", async () => {
    const { client, close } = await start();
    expect((await client.append(STREAM, ["a", "é\n", ""]))._unsafeUnwrap())
      .toBe(0);
    expect((await client.append(STREAM, ["d"]))._unsafeUnwrap()).toBe(3);
    const part = { limit: 3, waitMs: 0 };
    const first = (await client.read(STREAM, offset(0), part))._unsafeUnwrap();
    const next = (await client.read(STREAM, first.next_offset, part))
      ._unsafeUnwrap();
    await close();
    expect([first, next].map((batch) => ({
      values: batch.records.map((record) => record.value),
      next: batch.next_offset,
      end: batch.end_offset,
    }))).toEqual([
      { values: ["a", "é\n", ""], next: 3, end: 4 },
      { values: ["d"], next: 4, end: 4 },
    ]);
  });

  test("a read waits for the next record, and returns an empty batch after its wait time", async () => {
    const { log, client, close } = await start();
    const empty = await client.read(STREAM, offset(0), {
      limit: 1,
      waitMs: 20,
    });
    const waiting = client.read(STREAM, offset(0), {
      limit: 1,
      waitMs: LONG_TIMEOUT_MS,
    });
    await expect.poll(() => log.waiting()).toBe(1);
    await client.append(STREAM, ["a"]);
    const values = (await waiting)._unsafeUnwrap().records.map((record) =>
      record.value
    );
    await close();
    expect(empty._unsafeUnwrap().records).toEqual([]);
    expect(values).toEqual(["a"]);
  });

  test("a read below the first retained offset fails with `gone`", async () => {
    const { log, client, close } = await start();
    await client.append(STREAM, ["a", "b", "c"]);
    log.control({ expire: { stream: STREAM, below: 2 } });
    const gone = (await client.read(STREAM, offset(1), NO_WAIT))
      ._unsafeUnwrapErr();
    const rest = (await client.read(STREAM, offset(2), NO_WAIT))
      ._unsafeUnwrap();
    await close();
    expect(gone).toMatchObject({ code: "gone", firstOffset: 2 });
    expect(rest.records.map((record) => record.value)).toEqual(["c"]);
  });

  test("a read beyond the end of the log fails with `unknown`", async () => {
    const { client, close } = await start();
    const result = await client.read(STREAM, offset(7), NO_WAIT);
    await close();
    expect(result._unsafeUnwrapErr().code).toBe("unknown");
  });

  test("appends above the rate limit are refused with a retry delay", async () => {
    const cfg = { recordsPerSecond: 1, now: () => 0 as never };
    const { log, client, close } = await start({ cfg });
    await client.append(STREAM, ["a"]);
    const refused = (await client.append(STREAM, ["b"]))._unsafeUnwrapErr();
    await close();
    expect(refused).toMatchObject({ code: "refused", retryAfterMs: 1_000 });
    expect(endOf(log)).toBe(1);
  });

  const records = Array.from({ length: 1_001 }, () => "x");
  test.each([[[]], [records], [["x".repeat(5_000_000)]]])(
    "an append with an invalid number or size of records is refused",
    async (values) => {
      const { log, client, close } = await start();
      const refused = (await client.append(STREAM, values))._unsafeUnwrapErr();
      await close();
      expect([refused.code, endOf(log)]).toEqual(["refused", 0]);
    },
  );

  type FaultCase = Readonly<{
    name: string;
    faults?: LogControl;
    relay?: "refuse" | "freeze";
    timeoutMs?: number;
    /** Outcome of an append, and the number of records in the log afterwards. */
    append: readonly [code: string, end: number];
    read: string;
  }>;

  const FAULT_CASES: readonly FaultCase[] = [
    {
      name: "outage",
      faults: { outage: "both" },
      append: ["refused", 0],
      read: "refused",
    },
    {
      name: "outage of appends",
      faults: { outage: "appends" },
      append: ["refused", 0],
      read: "ok",
    },
    {
      name: "outage of reads",
      faults: { outage: "reads" },
      append: ["ok", 1],
      read: "refused",
    },
    {
      name: "reset before the effect",
      faults: { reset_before_append: 1 },
      append: ["unknown", 0],
      read: "ok",
    },
    {
      name: "reset after the effect",
      faults: { reset_after_append: 1 },
      append: ["unknown", 1],
      read: "ok",
    },
    {
      name: "error after the effect",
      faults: { error_after_append: 1 },
      append: ["unknown", 1],
      read: "ok",
    },
    {
      name: "malformed responses",
      faults: { malformed: "both" },
      append: ["unknown", 1],
      read: "unknown",
    },
    {
      name: "a record missing from the batch",
      faults: { leave_out: true },
      append: ["ok", 1],
      read: "unknown",
    },
    {
      name: "hang",
      faults: { hang: "both" },
      timeoutMs: SHORT_TIMEOUT_MS,
      append: ["unknown", 0],
      read: "unknown",
    },
    {
      name: "slow beyond the time limit",
      faults: { delay_ms: 2_000 },
      timeoutMs: SHORT_TIMEOUT_MS,
      append: ["unknown", 0],
      read: "unknown",
    },
    {
      name: "connection refused",
      relay: "refuse",
      append: ["unknown", 0],
      read: "unknown",
    },
    {
      name: "connection accepted and silent",
      relay: "freeze",
      timeoutMs: SHORT_TIMEOUT_MS,
      append: ["unknown", 0],
      read: "unknown",
    },
  ];

  test.concurrent.each(FAULT_CASES)("$name", async (fault) => {
    const fixture = await start(fault);
    fixture.log.control(fault.faults ?? {});
    if (fault.relay !== undefined) await fixture.relay.setNew(fault.relay);
    const append = await fixture.client.append(STREAM, ["a"]);
    const left = endOf(fixture.log);
    const read = await fixture.client.read(STREAM, offset(0), NO_WAIT);
    await fixture.close();
    const codeOf = (result: typeof append | typeof read) =>
      result.isOk() ? "ok" : result.error.code;
    expect({ append: [codeOf(append), left], read: codeOf(read) })
      .toEqual({ append: fault.append, read: fault.read });
  });

  test("after a time-out the next call opens a new connection", async () => {
    const { relay, client, close } = await start({
      timeoutMs: SHORT_TIMEOUT_MS,
    });
    await Promise.all([1, 2].map(() => client.append(STREAM, ["a"])));
    for (let turn = 0; turn < 3; turn += 1) await setImmediate();
    relay.freezeOpen();
    const codes = [];
    for (const value of ["b", "c"]) {
      const result = await client.append(STREAM, [value]);
      codes.push(result.isOk() ? "ok" : result.error.code);
    }
    await close();
    expect(codes).toEqual(["unknown", "ok"]);
  });
});
