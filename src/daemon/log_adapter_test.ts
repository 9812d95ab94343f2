import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Event } from "../core/event.ts";
import type { Offset, RecordId, StreamName } from "../core/id.ts";
import { CLAIMS_STREAM, CONFIG_STREAM } from "../fold/streams.ts";
import { LogClient, type LogError } from "../platform/log_client.ts";
import type { LogBatch } from "../wire/log.ts";
import { LogAdapter } from "./log_adapter.ts";

class FakeLogClient extends LogClient {
  readonly appends: string[][] = [];
  readonly waits: number[] = [];
  nextAppend: () => ResultAsync<Offset, LogError> = () => okAsync(0 as Offset);
  nextRead: () => ResultAsync<LogBatch, LogError> = hang;

  override append(_stream: StreamName, values: readonly string[]) {
    this.appends.push([...values]);
    return this.nextAppend();
  }

  override read(
    _stream: StreamName,
    _from: Offset,
    options: { waitMs: number },
  ) {
    this.waits.push(options.waitMs);
    return this.nextRead();
  }
}

function hang<T>(): ResultAsync<T, LogError> {
  return new ResultAsync(new Promise(() => {}));
}

function setUp(appendsPerSecond = 1_000) {
  const client = new FakeLogClient();
  const events: Event[] = [];
  const adapter = LogAdapter.create(client, {
    liveDaemons: () => 2,
    onEvent: (event) => events.push(event),
    appendsPerSecond,
  });
  return { client, events, adapter };
}

function records(...ids: string[]) {
  return ids.map((id) => ({ id: id as RecordId, body: id }));
}

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

test("an append without a response ends as unknown after the time-out", async () => {
  const { client, events, adapter } = setUp();
  client.nextAppend = hang;
  adapter.append({
    type: "append",
    stream: CLAIMS_STREAM,
    records: records("a", "b"),
  });
  await vi.advanceTimersByTimeAsync(2_900);
  expect(events).toEqual([]);
  await vi.advanceTimersByTimeAsync(200);
  expect(events).toMatchInlineSnapshot(`
    [
      {
        "records": [
          "a",
          "b",
        ],
        "result": "unknown",
        "retryAfterMs": undefined,
        "stream": "claims",
        "type": "append_ended",
      },
    ]
  `);
});

test("errors of the log are posted as events", async () => {
  const { client, events, adapter } = setUp();
  const answers: LogError[] = [
    { code: "refused", detail: "", retryAfterMs: 70 },
    { code: "unknown", detail: "" },
  ];
  for (const answer of answers) {
    client.nextAppend = () => errAsync(answer);
    adapter.append({
      type: "append",
      stream: CLAIMS_STREAM,
      records: records(answer.code),
    });
    await vi.advanceTimersByTimeAsync(100);
  }
  client.nextRead = () =>
    errAsync({ code: "gone", detail: "", firstOffset: 9 as Offset });
  await adapter.read({
    type: "read_log",
    stream: CONFIG_STREAM,
    from: 0 as Offset,
    wait: false,
  });
  expect(events).toMatchInlineSnapshot(`
    [
      {
        "records": [
          "refused",
        ],
        "result": "refused",
        "retryAfterMs": 70,
        "stream": "claims",
        "type": "append_ended",
      },
      {
        "records": [
          "unknown",
        ],
        "result": "unknown",
        "retryAfterMs": undefined,
        "stream": "claims",
        "type": "append_ended",
      },
      {
        "firstOffset": 9,
        "stream": "config",
        "type": "log_gap",
      },
    ]
  `);
});

test("a read without a response times out, and a newer read replaces an older one", async () => {
  const { client, events, adapter } = setUp();
  const read = { type: "read_log", stream: CONFIG_STREAM, wait: true } as const;
  void adapter.read({ ...read, from: 0 as Offset });
  await vi.advanceTimersByTimeAsync(1_000);
  void adapter.read({ ...read, from: 0 as Offset });
  await vi.advanceTimersByTimeAsync(6_500);
  expect(events).toEqual([]);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(events).toEqual([{ type: "log_unreachable", stream: CONFIG_STREAM }]);
  expect(client.appends).toEqual([]);
});

test("records are batched when this daemon's share of the append budget is used up", async () => {
  const { client, events, adapter } = setUp(4);
  for (let index = 0; index < 40; index += 1) {
    adapter.append({
      type: "append",
      stream: CLAIMS_STREAM,
      records: records(`r${index}`),
    });
    await vi.advanceTimersByTimeAsync(50);
  }
  await vi.advanceTimersByTimeAsync(1_000);
  expect(events.length).toBe(client.appends.length);
  expect(client.appends.map((batch) => batch.length)).toMatchInlineSnapshot(`
    [
      1,
      9,
      10,
      10,
      10,
    ]
  `);
});

test("a read is a long poll only if the intent asks for it", async () => {
  const { client, adapter } = setUp();
  const offsets = { firstOffset: 0, nextOffset: 0, endOffset: 0 } as const;
  const empty = okAsync({ records: [], ...offsets } as unknown as LogBatch);
  for (const wait of [false, true, false]) {
    client.nextRead = () => empty;
    const from = 0 as Offset;
    await adapter.read({ type: "read_log", stream: CLAIMS_STREAM, from, wait });
  }
  expect(client.waits).toEqual([0, 4_000, 0]);
});
