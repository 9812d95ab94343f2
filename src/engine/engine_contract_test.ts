import { Buffer } from "node:buffer";
import { afterEach, expect, test } from "vitest";
import { answerLength, answerText } from "../../stand_ins/engine/answer.ts";
import {
  EngineServer,
  type EngineServerConfig,
} from "../../stand_ins/engine/engine_server.ts";
import type { AnswerFault, CallFault } from "../../stand_ins/engine/faults.ts";
import { Relay } from "../../stand_ins/relay/relay.ts";
import { ManualTimers } from "../testing/manual_timers.ts";
import type {
  AdapterId,
  AttemptId,
  FencingNumber,
  ModelId,
  PlanId,
  RequestId,
  VersionId,
} from "../core/id.ts";
import type { EngineEvent, GenerateHead } from "../wire/engine.ts";
import { digestPrompt } from "./block_digests.ts";
import type {
  CachePosition,
  EngineError,
  EngineStream,
} from "./engine_client.ts";
import {
  HttpEngineClient,
  type HttpEngineClientOptions,
} from "./http_engine_client.ts";

const SILENCE = { silenceMs: 20_000 };
const SHORT_SILENCE = { silenceMs: 300 };
const WEIGHTS = { model: "m" as ModelId, version: "v1" as VersionId };
const LOADED = [{ ...WEIGHTS, adapters: ["lora" as AdapterId] }];
const PLAN = "plan-1" as PlanId;
const TEXT = Buffer.from("How springy is a spring? ".repeat(100));

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  for (const close of cleanups.splice(0).reverse()) await close();
});

/** Long, since a busy machine may be slow to accept a connection, which no test here checks. */
const CONNECT_TIMEOUT_MS = 60_000;

async function startEngine(
  cfg: Partial<EngineServerConfig> = {},
): Promise<{ server: EngineServer; client: HttpEngineClient }> {
  const server = EngineServer.create({
    loaded: LOADED,
    timeScale: 500,
    ...cfg,
  });
  cleanups.push(() => server.close());
  return { server, client: createClient(await server.listen()) };
}

function createClient(
  address: string,
  options: HttpEngineClientOptions = {},
): HttpEngineClient {
  const client = HttpEngineClient.create(address, {
    connectMs: CONNECT_TIMEOUT_MS,
    ...options,
  });
  cleanups.push(() => client.close());
  return client;
}

let attempts = 0;

function head(overrides: Partial<GenerateHead> = {}): GenerateHead {
  attempts += 1;
  return {
    request: "req-1" as RequestId,
    attempt: `attempt-${attempts}` as AttemptId,
    ...WEIGHTS,
    max_tokens: 300,
    priority: 0,
    deadline_ms: 60_000,
    ...overrides,
  };
}

function expectedTexts(text: Uint8Array, maxTokens = 300): string[] {
  const { digest } = digestPrompt(text);
  const key = { prompt: digest, weights: WEIGHTS };
  const count = answerLength(digest, maxTokens);
  return Array.from(
    { length: count },
    (_, i) => answerText(key, i + 1).slice(answerText(key, i).length),
  );
}

type StreamResult = Readonly<{ events: EngineEvent[]; err?: EngineError }>;

async function readAll(stream: EngineStream): Promise<StreamResult> {
  const events: EngineEvent[] = [];
  for await (const item of stream.events) {
    if (!item.ok) return { events, err: item.err };
    events.push(item.event);
  }
  return { events };
}

function texts(read: StreamResult): string[] {
  return read.events.flatMap((event) =>
    event.type === "token" ? [event.text] : []
  );
}

async function generate(
  client: HttpEngineClient,
  promptHead = head(),
): Promise<StreamResult> {
  const stream = await client.generate(promptHead, [TEXT], SILENCE);
  return stream.isOk()
    ? readAll(stream.value)
    : { events: [], err: stream.error };
}

test("an answer is complete, in order, and ends with its final event", async () => {
  const { client } = await startEngine();
  const first = await generate(client);
  expect(texts(first)).toEqual(expectedTexts(TEXT));
  expect(first.events.at(-1)).toMatchObject({
    type: "done",
    count: expectedTexts(TEXT).length,
    finish: "stop",
    prompt_tokens: 625,
    cached_tokens: 0,
    ...WEIGHTS,
  });
  const second = await generate(client);
  expect(texts(second)).toEqual(expectedTexts(TEXT));
  expect(second.events.at(-1)).toMatchObject({ cached_tokens: 512 });
});

test("a long prompt that is sent in several chunks arrives unchanged", async () => {
  const { client } = await startEngine({ timeScale: 50_000 });
  const text = Buffer.alloc(1_600_000, "ledger row 17; ");
  const parts = [text.subarray(0, 700_001), text.subarray(700_001)];
  const stream = await client.generate(
    head({ deadline_ms: 600_000, max_tokens: 50 }),
    parts,
    SILENCE,
  );
  const read = await readAll(stream._unsafeUnwrap());
  expect(texts(read)).toEqual(expectedTexts(text, 50));
  expect(read.events.at(-1)).toMatchObject({ prompt_tokens: 400_000 });
});

test("another client can resume an answer after any token", async () => {
  const { server, client } = await startEngine();
  const promptHead = head();
  const allTexts = texts(await generate(client, promptHead));
  const other = createClient(server.address);
  for (let after = 0; after <= allTexts.length; after += 1) {
    const stream = await other.resume(promptHead.attempt, after, SILENCE);
    const read = await readAll(stream._unsafeUnwrap());
    expect(texts(read)).toEqual(allTexts.slice(after));
    expect(read.events.at(-1)?.type).toBe("done");
  }
  const unknown = await other.resume("none" as AttemptId, 0, SILENCE);
  expect(unknown._unsafeUnwrapErr()).toMatchObject({
    code: "refused",
    refusal: { code: "unknown_stream" },
  });
});

test("a finished answer is removed after the retention time, also when it was resumed", async () => {
  const { server, client } = await startEngine({ keepMs: 50 });
  const promptHead = head();
  const stream = await client.generate(promptHead, [TEXT], SILENCE);
  await readAll(stream._unsafeUnwrap());
  const again = await client.resume(promptHead.attempt, 0, SILENCE);
  if (again.isOk()) await readAll(again.value);
  await until(() => server.streams === 0);
});

test("an answer that continues after delivered tokens has the same text", async () => {
  const { client } = await startEngine();
  const allTexts = expectedTexts(TEXT);
  const answered = { text: allTexts.slice(0, 7).join(""), count: 7 };
  const read = await generate(client, head({ answered }));
  expect(texts(read)).toEqual(allTexts.slice(7));
  expect(read.events[0]).toMatchObject({ type: "token", index: 7 });
  expect(read.events.at(-1)).toMatchObject({ count: allTexts.length });
});

test("the same attempt sent twice runs once", async () => {
  const { server, client } = await startEngine();
  const promptHead = head();
  const [a, b] = await Promise.all([
    generate(client, promptHead),
    generate(client, promptHead),
  ]);
  expect(texts(a)).toEqual(expectedTexts(TEXT));
  expect(texts(b)).toEqual(texts(a));
  expect(server.streams).toBe(1);
  // A second run would report cached prefix tokens.
  expect((await generate(client, promptHead)).events).toEqual(a.events);
});

test("cancelling ends the answer and frees its memory, and is idempotent", async () => {
  const { server, client } = await startEngine({ timeScale: 1 });
  const promptHead = head();
  const stream = await client.generate(promptHead, [TEXT], SILENCE);
  const reading = readAll(stream._unsafeUnwrap());
  expect((await client.cancel(promptHead.attempt)).isOk()).toBe(true);
  expect((await client.cancel(promptHead.attempt)).isOk()).toBe(true);
  expect((await reading).events.at(-1)).toMatchObject({ finish: "cancelled" });
  expect(freeTokens(server)).toBe(450_000);
});

test("an answer without a reader continues for the orphan time, then frees its memory", async () => {
  const timers = ManualTimers.create();
  const orphanMs = 200;
  const { server, client } = await startEngine({
    timeScale: 1,
    orphanMs,
    meanAnswerTokens: 1_000_000,
    timers,
  });
  const promptHead = head({ max_tokens: 32_768 });
  const stream = await client.generate(promptHead, [TEXT], SILENCE);
  stream._unsafeUnwrap().close();
  await until(() => server.readers === 0);
  timers.advance(orphanMs - 1);
  const again = await client.resume(promptHead.attempt, 0, SILENCE);
  expect(again.isOk()).toBe(true);
  timers.advance(orphanMs);
  expect(server.model.has(promptHead.attempt)).toBe(true);
  again._unsafeUnwrap().close();
  await until(() => server.readers === 0);
  timers.advance(orphanMs);
  expect(server.model.has(promptHead.attempt)).toBe(false);
  expect(freeTokens(server)).toBe(450_000);
});

test.each<[string, Partial<GenerateHead>, string]>([
  [
    "a request for weights that are not loaded",
    { version: "v9" as VersionId },
    "not_loaded",
  ],
  ["a request for an adapter that is not loaded", {
    adapter: "none" as AdapterId,
  }, "not_loaded"],
  [
    "a prompt whose answer does not fit in memory",
    { max_tokens: 450_000 },
    "too_long",
  ],
  ["a segment of a plan without reserved memory", {
    segment: { plan: PLAN, from: 0, to: 9, last: false, total: 99 },
  }, "unknown_plan"],
  ["an invalid head", { priority: 1.5 }, "bad_request"],
])("%s is refused and nothing runs", async (_name, overrides, code) => {
  const { server, client } = await startEngine();
  expect((await generate(client, head(overrides))).err).toMatchObject({
    code: "refused",
    verdict: "not_run",
    refusal: { code },
  });
  expect(server.streams).toBe(0);
});

test("a leaving engine refuses new prompts and finishes running answers", async () => {
  const { server, client } = await startEngine();
  const running = await client.generate(head(), [TEXT], SILENCE);
  server.control({ leaving: true });
  expect((await generate(client)).err).toMatchObject({
    refusal: { code: "leaving" },
  });
  expect(texts(await readAll(running._unsafeUnwrap()))).toEqual(
    expectedTexts(TEXT),
  );
  expect((await client.state())._unsafeUnwrap().leaving).toBe(true);
});

test("an answer past its deadline ends with a `deadline` error", async () => {
  const { server, client } = await startEngine({ timeScale: 1 });
  const read = await generate(client, head({ deadline_ms: 30 }));
  expect(read.events.at(-1)).toMatchObject({ type: "error", code: "deadline" });
  expect(freeTokens(server)).toBe(450_000);
});

const ANSWER_FAULTS: readonly [AnswerFault["type"], string, boolean][] = [
  ["truncated", "truncated", false],
  ["reset", "broken", false],
  ["silent", "silent", false],
  ["garbage", "malformed", false],
  ["huge", "malformed", false],
  ["doubled", "done", true],
  ["crossed", "done", true],
  ["late", "done", true],
  ["gap", "done", false],
  ["wrong_weights", "done", true],
];

test.each(ANSWER_FAULTS)(
  "an answer with fault %s ends as %s",
  async (type, end, isWhole) => {
    const { server, client } = await startEngine();
    server.control({ answer_fault: { type, after: 3 } });
    const promptHead = head();
    const silence = type === "silent" ? SHORT_SILENCE : SILENCE;
    const stream = await client.generate(promptHead, [TEXT], silence);
    const read = await readAll(stream._unsafeUnwrap());
    expect(read.err?.code ?? read.events.at(-1)?.type).toBe(end);
    if (read.err) expect(read.err.verdict).toBe("may_have_run");
    const own = read.events.filter((event) =>
      event.type === "token" && event.attempt === promptHead.attempt
    );
    const indexes = new Set(
      own.map((event) => event.type === "token" ? event.index : -1),
    );
    expect(indexes.size === expectedTexts(TEXT).length).toBe(isWhole);
    const again = await client.resume(promptHead.attempt, 3, SILENCE);
    const rest = await readAll(again._unsafeUnwrap());
    expect(texts(rest)).toEqual(expectedTexts(TEXT).slice(3));
  },
);

test("events of another request are passed on unchanged", async () => {
  const { server, client } = await startEngine();
  server.control({ answer_fault: { type: "crossed" } });
  const read = await generate(client);
  const owners = new Set(read.events.map((event) => event.request));
  expect([...owners].sort()).toEqual(["req-1", "request-of-another"]);
});

const CALL_FAULTS: readonly [CallFault["type"], string, string, number][] = [
  ["silent", "silent", "may_have_run", 0],
  ["reset", "broken", "may_have_run", 0],
  ["lost_answer", "broken", "may_have_run", 1],
  ["garbage", "broken", "may_have_run", 0],
  ["bare_503", "malformed", "may_have_run", 0],
  ["refused", "refused", "not_run", 0],
];

test.each(CALL_FAULTS)(
  "a generate call with fault %s fails as %s, %s",
  async (type, code, verdict, streams) => {
    const { server, client } = await startEngine();
    server.control({ call_fault: { call: "generate", type } });
    const silence = type === "silent" ? SHORT_SILENCE : SILENCE;
    const failed = await client.generate(head(), [TEXT], silence);
    const read = failed.isOk() ? await readAll(failed.value) : undefined;
    const failure = read?.err ?? failed._unsafeUnwrapErr();
    expect([failure.code, failure.verdict]).toEqual([code, verdict]);
    expect(server.streams).toBe(streams);
    expect(texts(await generate(client))).toEqual(expectedTexts(TEXT));
  },
);

test("a refused connection gives the verdict `not_run`", async () => {
  const { server, client } = await startEngine();
  await server.close();
  expect((await generate(client)).err).toMatchObject({
    code: "connect_failed",
    verdict: "not_run",
  });
  expect((await client.load())._unsafeUnwrapErr().verdict).toBe("not_run");
});

test("after a silent connection, the next call opens a new connection", async () => {
  const { server } = await startEngine();
  const relay = Relay.create({ target: server.address });
  cleanups.push(() => relay.close());
  const client = createClient(await relay.listen());
  await Promise.all([generate(client), generate(client), generate(client)]);
  // A caller receives the end of an answer before the connection is free again, so the next call may open another connection.
  let accepted: number;
  do {
    accepted = relay.counts().accepted;
    await generate(client);
  } while (relay.counts().accepted > accepted);
  expect(relay.freezeOpen()).toBeGreaterThan(0);
  const silent = await client.generate(head(), [TEXT], SHORT_SILENCE);
  expect(silent._unsafeUnwrapErr()).toMatchObject({
    code: "silent",
    verdict: "may_have_run",
  });
  expect(texts(await generate(client))).toEqual(expectedTexts(TEXT));
});

test("stream comments keep the connection of a queued answer alive", async () => {
  const { client } = await startEngine({ timeScale: 1, pingMs: 20 });
  const text = Buffer.alloc(120_000, "x");
  const stream = await client.generate(head({ max_tokens: 1 }), [text], {
    silenceMs: 1_000,
  });
  const read = await readAll(stream._unsafeUnwrap());
  expect(read.events.at(-1)?.type).toBe("done");
});

test("a call to a frozen engine ends as silent, and the next call succeeds", async () => {
  const { server, client } = await startEngine();
  const promptHead = head();
  server.control({ freeze_ms: 600 });
  const frozen = await client.generate(promptHead, [TEXT], SHORT_SILENCE);
  expect(frozen._unsafeUnwrapErr().code).toBe("silent");
  expect(texts(await generate(client))).toEqual(expectedTexts(TEXT));
});

test("a poison prompt crashes the engine, which restarts with a new incarnation", async () => {
  const { server, client } = await startEngine();
  server.control({ poison: "is a spring? How" });
  const before = (await client.state())._unsafeUnwrap().incarnation;
  expect((await generate(client)).err).toMatchObject({
    code: "broken",
    verdict: "may_have_run",
  });
  expect((await generate(client)).err?.code).toBe("connect_failed");
  server.control({ poison: "" });
  await server.restart();
  expect((await client.state())._unsafeUnwrap().incarnation).not.toBe(before);
  expect(texts(await generate(client))).toEqual(expectedTexts(TEXT));
});

test.each([[true, "refused"], [false, "accepted"]])(
  "with fencing checks %s, an order with an old fencing number is %s",
  async (checksFencing, expectedResult) => {
    const { client } = await startEngine({ checksFencing });
    const order = { loaded: LOADED, role: "mixed" } as const;
    const send = (fencing: number) =>
      client.order({ ...order, fencing: fencing as FencingNumber });
    expect((await send(8)).isOk()).toBe(true);
    const old = await send(7);
    const result = old.isOk() ? "accepted" : old.error.code;
    expect(result).toBe(expectedResult);
    expect((await client.state())._unsafeUnwrap().fencing)
      .toBe(checksFencing ? 8 : undefined);
  },
);

test("an order loads missing weights and unloads those it does not name", async () => {
  const { client } = await startEngine({ timeScale: 100_000 });
  const loaded = [{ ...WEIGHTS, version: "v2" as VersionId, adapters: [] }];
  const order = { fencing: 1 as FencingNumber, loaded, role: "mixed" } as const;
  expect((await client.order(order)).isOk()).toBe(true);
  expect((await generate(client)).err).toMatchObject({
    refusal: { code: "not_loaded" },
  });
  await until(async () => {
    const state = (await client.state())._unsafeUnwrap();
    return state.loaded[0]?.version === "v2" && state.loading.length === 0;
  });
});

test("load and cache reports arrive eventually", async () => {
  const { client } = await startEngine({ timeScale: 2_000 });
  const sent = new Set<string>();
  // The engine loses some cache events, so each attempt uses another prompt.
  await until(async () => {
    const text = Buffer.concat([Buffer.from(`${attempts} `), TEXT]);
    sent.add(digestPrompt(text).blocks.join());
    const stream = await client.generate(head(), [text], SILENCE);
    await readAll(stream._unsafeUnwrap());
    const { events } = (await client.cacheEvents())._unsafeUnwrap();
    return events.some((event) =>
      event.type === "stored" && sent.has(event.blocks.join())
    );
  });
  expect((await client.load())._unsafeUnwrap()).toMatchObject({
    kv_capacity_tokens: 450_000,
    loaded: LOADED,
  });
});

test("a call without a response fails as silent, and the next call succeeds", async () => {
  const { server } = await startEngine();
  const client = createClient(server.address, { callTimeoutMs: 300 });
  server.control({ call_fault: { call: "cancel", type: "silent" } });
  const silent = await client.cancel("attempt-x" as AttemptId);
  expect(silent._unsafeUnwrapErr()).toMatchObject({
    code: "silent",
    verdict: "may_have_run",
  });
  expect((await createClient(server.address).state()).isOk()).toBe(true);
});

test("after a restart of the engine, its cache events are read from the beginning", async () => {
  const { server, client } = await startEngine({ timeScale: 2_000 });
  const read = async (after?: CachePosition) =>
    (await client.cacheEvents(after))._unsafeUnwrap();
  // The engine loses some cache events, and the first call after a restart may fail, so each attempt uses another prompt.
  const fill = async (after?: CachePosition) => {
    await until(async () => {
      const text = Buffer.concat([Buffer.from(`${attempts} `), TEXT]);
      const stream = await client.generate(head(), [text], SILENCE);
      if (stream.isOk()) await readAll(stream.value);
      return (await read(after)).events.length > 0;
    });
  };
  const before = (await client.state())._unsafeUnwrap().incarnation;
  const position = { incarnation: before, seq: 1_000_000 };
  await fill();
  expect((await read(position)).events).toEqual([]);
  server.crash();
  await server.restart();
  await fill(position);
  expect((await read()).incarnation).not.toBe(before);
});

test("a truncated response to a call is a failure", async () => {
  const { server, client } = await startEngine();
  server.control({ call_fault: { call: "state", type: "half" } });
  expect((await client.state())._unsafeUnwrapErr().code).toBe("broken");
  expect((await client.state()).isOk()).toBe(true);
});

test("memory for a plan is reserved, released, and freed when its reservation expires", async () => {
  const { server, client } = await startEngine({ timeScale: 1 });
  const reservation = { owner: "d1", tokens: 440_000, ttl_ms: 60_000 };
  expect((await client.reserve(PLAN, reservation)).isOk()).toBe(true);
  const other = await client.reserve("plan-2" as PlanId, reservation);
  expect(other._unsafeUnwrapErr()).toMatchObject({
    code: "refused",
    refusal: { code: "no_memory" },
  });
  expect((await client.release(PLAN)).isOk()).toBe(true);
  expect((await client.release(PLAN)).isOk()).toBe(true);
  expect(freeTokens(server)).toBe(450_000);
  await client.reserve(PLAN, { ...reservation, ttl_ms: 100 });
  await until(() => freeTokens(server) === 450_000);
});

test("a plan's KV cache is copied to another engine", async () => {
  const source = await startEngine();
  const target = await startEngine();
  await prefillSegment(source.client);
  const memory = { owner: "d1", tokens: 1_000, ttl_ms: 60_000 };
  await target.client.reserve(PLAN, memory);
  const copied = await target.client.importKv(PLAN, source.server.address);
  expect(copied.isOk()).toBe(true);
  expect(target.server.model.held(PLAN)).toMatchObject({
    used: 625,
    imported: 625,
  });
});

test.each([
  ["the source has crashed", "crash"],
  ["the source crashes during the copy", "crash_half_way"],
  ["there is too little memory", "small"],
  ["nothing is reserved", "unreserved"],
])("a failed import leaves no memory in use when %s", async (_name, fault) => {
  const source = await startEngine({ timeScale: 1 });
  const target = await startEngine({ timeScale: 1 });
  await prefillSegment(source.client);
  const tokens = fault === "small" ? 100 : 1_000;
  if (fault !== "unreserved") {
    const memory = { owner: "d1", tokens, ttl_ms: 60_000 };
    await target.client.reserve(PLAN, memory);
  }
  if (fault === "crash") source.server.crash();
  if (fault === "crash_half_way") {
    // Slow enough that the crash occurs during the copy: 625 tokens take 625 ms.
    for (const { server } of [source, target]) {
      server.control({ time_scale: 0.01 });
    }
  }
  const copying = target.client.importKv(PLAN, source.server.address);
  if (fault === "crash_half_way") {
    await until(() => (target.server.model.held(PLAN)?.used ?? 0) > 0);
    source.server.crash();
  }
  const copied = await copying;
  expect(copied._unsafeUnwrapErr()).toMatchObject({ code: "refused" });
  expect(target.server.model.held(PLAN)?.used ?? 0).toBe(0);
});

test("a decoding plan survives the expiry of its reservation, and ends when another engine loses its part", async () => {
  const timers = ManualTimers.create();
  const peerCheckMs = 50;
  const cfg = { timeScale: 1, meanAnswerTokens: 1e6, peerCheckMs, timers };
  const first = await startEngine(cfg);
  const last = await startEngine(cfg);
  const ttl_ms = 1_000;
  const prefilled = prefillSegment(first.client, ttl_ms);
  await until(() => first.server.streams > 0);
  while (first.server.model.held(PLAN)?.segments.length === 0) {
    timers.advance(10);
  }
  await prefilled;
  const memory = { owner: "d1", tokens: 10_000, ttl_ms };
  (await last.client.reserve(PLAN, memory))._unsafeUnwrap();
  const peers = [{ address: first.server.address, from: 0, to: 625 }];
  const segment = {
    plan: PLAN,
    from: 625,
    to: 900,
    last: true,
    total: 900,
    peers,
  };
  const promptHead = head({ segment, max_tokens: 9_000 });
  const stream = await last.client.generate(promptHead, [TEXT], SILENCE);
  const reading = readAll(stream._unsafeUnwrap());
  const expiries = () =>
    [first, last].map(({ server }) => server.model.held(PLAN)?.expiresAt ?? 0);
  for (let passedMs = 0; passedMs <= 2 * ttl_ms; passedMs += peerCheckMs) {
    const before = expiries();
    timers.advance(peerCheckMs);
    await until(() => expiries().every((at, i) => at > before[i]!));
  }
  expect(first.server.model.held(PLAN)).toBeDefined();
  expect(last.server.model.has(promptHead.attempt)).toBe(true);
  first.server.crash();
  timers.advance(peerCheckMs);
  const read = await reading;
  expect(read.events.at(-1)).toMatchObject({ code: "plan_broken" });
  expect(freeTokens(last.server)).toBe(450_000);
});

test("a segment is refused if another engine has no part of the plan", async () => {
  const first = await startEngine();
  const last = await startEngine();
  const memory = { owner: "d1", tokens: 10_000, ttl_ms: 60_000 };
  for (const { client } of [first, last]) await client.reserve(PLAN, memory);
  const peers = [{ address: first.server.address, from: 0, to: 625 }];
  const part = { plan: PLAN, from: 625, to: 900, last: true, total: 900 };
  const read = await generate(
    last.client,
    head({ segment: { ...part, peers } }),
  );
  expect(read.err).toMatchObject({ refusal: { code: "unknown_plan" } });
});

async function prefillSegment(
  client: HttpEngineClient,
  ttl_ms = 60_000,
): Promise<void> {
  const memory = { owner: "d1", tokens: 1_000, ttl_ms };
  (await client.reserve(PLAN, memory))._unsafeUnwrap();
  const segment = { plan: PLAN, from: 0, to: 625, last: false, total: 900 };
  const read = await generate(client, head({ segment }));
  expect(read.events.at(-1)).toMatchObject({ finish: "segment", count: 0 });
}

function freeTokens(server: EngineServer): number {
  return server.model.loadReport(0 as never).kv_free_tokens;
}

async function until(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!await condition()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
