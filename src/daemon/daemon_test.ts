import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterAll, beforeAll, expect, test } from "vitest";
import winston from "winston";
import { EngineServer } from "../../stand_ins/engine/engine_server.ts";
import { LogService } from "../../stand_ins/log_service/log_service.ts";
import { Service } from "../../stand_ins/service/service.ts";
import { VmList } from "../../stand_ins/vm_list/vm_list.ts";
import { canonicalText } from "../config/canonical.ts";
import { checkDaemonSettings } from "../config/daemon_settings.ts";
import { Random } from "../core/random.ts";
import { HttpEngineClient } from "../engine/http_engine_client.ts";
import { CONFIG_STREAM } from "../fold/streams.ts";
import { HttpLogClient } from "../platform/http_log_client.ts";
import { HttpVmListClient } from "../platform/http_vm_list_client.ts";
import { HttpServiceClient } from "../service/http_service_client.ts";
import { servingFixture } from "../testing/fixtures.ts";
import { AdminStatusSchema } from "../wire/admin.ts";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import { Clock, SystemClock } from "./clock.ts";
import { Daemon } from "./daemon.ts";

const MAX_PROMPT_BYTES = 4_096;
const JSON_TYPE = { "content-type": "application/json" };
const AS_MAKERS = { ...JSON_TYPE, "x-team": "makers" };
const PROMPT = { model: "sage", max_tokens: 5, prompt: "Which wire?" };
const CHAT = {
  model: "sage",
  max_tokens: 5,
  stream: true,
  messages: [{ role: "user", content: "Which wire for a peg?" }],
};

/** System clock plus an offset by which a test advances time. */
class SkippingClock extends Clock {
  readonly #clock = SystemClock.create();
  skippedMs: Millis = 0;

  override now(): Timestamp {
    return addMs(this.#clock.now(), this.skippedMs);
  }
}

const clock = new SkippingClock();
const log = LogService.create();
const vmList = VmList.create();
const service = Service.create();
const loaded = [{ model: "sage", version: "2", adapters: [] }];
const engine = EngineServer.create({ loaded: loaded as never, timeScale: 20 });
let daemon: Daemon;
let base = "";
let exited: Promise<void>;

beforeAll(async () => {
  const logUrl = `http://${await log.listen()}`;
  const vmListUrl = `http://${await vmList.listen()}`;
  const common = { domain: "a", state: "live" };
  const vms = [
    { id: "engine-1", role: "engine", address: await engine.listen() },
    {
      id: "stock-1",
      role: "service",
      service: "stock",
      address: await service.listen(),
    },
  ];
  for (const vm of vms) {
    vmList.put({ ...common, incarnation: `${vm.id}-run`, ...vm } as never);
  }
  await publish(logUrl);
  await startDaemon(logUrl, vmListUrl);
  await waitUntil(async () => (await send("/readyz")).status === 200);
  await waitUntil(async () =>
    (await sendPrompt(CHAT)).headers.has("x-resume-token")
  );
});

afterAll(async () => {
  await daemon.kill();
  await Promise.all([
    log.close(),
    vmList.close(),
    service.close(),
    engine.close(),
  ]);
});

async function publish(logUrl: string): Promise<void> {
  const serving = servingFixture({ maxPromptBytes: MAX_PROMPT_BYTES });
  const [makers, buyers] = serving.teams;
  const secret = { ...buyers!, id: "guarded", tokenDigests: ["0".repeat(64)] };
  const teams = [makers!, buyers!, secret as typeof makers & object];
  const text = canonicalText({ ...serving, teams });
  const headline = { change: "c", author: "test", at: 1, text };
  const record = { type: "config_change", id: "1", base: -1, ...headline };
  const client = HttpLogClient.create(logUrl);
  await client.append(CONFIG_STREAM, [JSON.stringify(record)]);
}

async function startDaemon(logUrl: string, vmListUrl: string): Promise<void> {
  const clientAddress = `127.0.0.1:${await freePort()}`;
  const text = [
    "[daemon]",
    "vm = entry-1",
    "domain = a",
    `client_address = ${clientAddress}`,
    `peer_address = 127.0.0.1:${await freePort()}`,
    "[platform]",
    `log_url = ${logUrl}`,
    `vm_list_url = ${vmListUrl}`,
    "[admin]",
    `token_digest = ${createHash("sha256").update("operate").digest("hex")}`,
  ].join("\n");
  const settings = checkDaemonSettings({ name: "daemon.ini", text });
  let onExit: () => void = () => {};
  exited = new Promise((resolve) => onExit = resolve);
  daemon = Daemon.create({
    settings: settings._unsafeUnwrap(),
    clock,
    random: Random.create(1),
    logger: winston.createLogger({ silent: true }),
    log: HttpLogClient.create(logUrl),
    vmList: HttpVmListClient.create(vmListUrl),
    upstreams: {
      engine: (address) => HttpEngineClient.create(address),
      service: (address) => HttpServiceClient.create(address),
    },
    createSecret: () => "s".repeat(32),
    onExit,
  });
  (await daemon.listen())._unsafeUnwrap();
  base = `http://${clientAddress}`;
}

async function freePort(): Promise<number> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as { port: number };
  server.close();
  await once(server, "close");
  return port;
}

async function waitUntil(holds: () => Promise<boolean>): Promise<void> {
  while (!await holds()) await sleep(20);
}

const OPERATOR = { headers: { authorization: "Bearer operate" } };

type Init = Readonly<{
  method?: string;
  headers?: Record<string, string>;
  body?: string;
}>;

async function send(path: string, init: Init = {}) {
  const res = await fetch(base + path, init);
  return { status: res.status, headers: res.headers, text: await res.text() };
}

function sendPrompt(body: object, headers: Record<string, string> = {}) {
  const path = "messages" in body ? "/v1/chat/completions" : "/v1/completions";
  return send(path, {
    method: "POST",
    headers: { ...AS_MAKERS, ...headers },
    body: JSON.stringify(body),
  });
}

function resume(id: string, headers: Record<string, string>) {
  return send(`/v1/requests/${id}/stream`, { headers });
}

const post = (headers: Record<string, string>, body: string) => ({
  path: "/v1/chat/completions",
  init: { method: "POST", headers, body },
});

const chatBody = JSON.stringify(CHAT);

test.each([
  ["no team", post(JSON_TYPE, chatBody), "401 unauthorized"],
  [
    "a team that isn't configured",
    post({ ...JSON_TYPE, "x-team": "nobody" }, chatBody),
    "401 unauthorized",
  ],
  [
    "a wrong token",
    post({ ...JSON_TYPE, authorization: "Bearer wrong" }, chatBody),
    "401 unauthorized",
  ],
  [
    "a team's name in place of its token",
    post({ ...JSON_TYPE, "x-team": "guarded" }, chatBody),
    "401 unauthorized",
  ],
  [
    "an unknown class",
    post({ ...AS_MAKERS, "x-class": "none" }, chatBody),
    "400 bad_request",
  ],
  [
    "a deadline that is not a number",
    post({ ...AS_MAKERS, "x-deadline-ms": "soon" }, chatBody),
    "400 bad_request",
  ],
  [
    "a deadline beyond the maximum of the class",
    post({ ...AS_MAKERS, "x-deadline-ms": "60001" }, chatBody),
    "400 bad_request",
  ],
  ["a body that isn't JSON", post(AS_MAKERS, "{"), "400 bad_request"],
  ["a body without messages", post(AS_MAKERS, "{}"), "400 bad_request"],
  [
    "a body beyond the limit",
    post(AS_MAKERS, "x".repeat(MAX_PROMPT_BYTES + 1)),
    "413 body_too_large",
  ],
  [
    "a body far beyond the limit",
    post(AS_MAKERS, "x".repeat(4_000_000)),
    "413 body_too_large",
  ],
  [
    "an unknown model",
    post(AS_MAKERS, JSON.stringify({ ...CHAT, model: "rosemary" })),
    "404 unknown_model",
  ],
  [
    "an unknown version",
    post(AS_MAKERS, JSON.stringify({ ...CHAT, version: "9" })),
    "404 unknown_model",
  ],
  [
    "a model that the team may not use",
    post({ ...JSON_TYPE, "x-team": "buyers" }, chatBody),
    "403 forbidden_model",
  ],
  [
    "a reservation without a key",
    {
      path: "/v1/services/stock/reservations",
      init: { method: "POST", headers: AS_MAKERS, body: "{}" },
    },
    "400 key_missing",
  ],
  [
    "a reservation with a key that is not a UUIDv7",
    {
      path: "/v1/services/stock/reservations",
      init: {
        method: "POST",
        headers: { ...AS_MAKERS, "idempotency-key": "1" },
        body: "{}",
      },
    },
    "400 key_malformed",
  ],
  [
    "an unknown service",
    { path: "/v1/services/none/x", init: { headers: AS_MAKERS } },
    "404 unknown_service",
  ],
  [
    "an unknown request",
    { path: "/v1/requests/none", init: { headers: AS_MAKERS } },
    "404 unknown_request",
  ],
  ["an unknown path", { path: "/v2", init: {} }, "404 unknown_path"],
])("%s is refused with the verdict not_run", async (_name, call, expected) => {
  const { status, headers, text } = await send(call.path, call.init);
  const body = JSON.parse(text);
  expect(`${status} ${body.code}`).toBe(expected);
  expect(headers.get("content-type")).toBe("application/problem+json");
  expect([headers.get("x-verdict"), body.verdict]).toEqual([
    "not_run",
    "not_run",
  ]);
  expect(body).toMatchObject({ status, type: `urn:parsleyfield:${body.code}` });
});

test("a chat is streamed with ids, a final event with the count, and [DONE]", async () => {
  const { status, headers, text } = await sendPrompt(CHAT);
  expect(status).toBe(200);
  expect(headers.get("content-type")).toBe("text/event-stream");
  expect(headers.get("x-config-revision")).toBe("0");
  expect(headers.get("x-request-id")).toMatch(/^[0-9a-f-]{36}$/);
  const ids = [...text.matchAll(/^id: (\d+)$/gm)].map((match) => match[1]);
  const [done, end] = text.trim().split("\n\n").slice(-2);
  expect(ids).toEqual(ids.map((_, index) => String(index + 1)));
  expect(done).toMatch(/^event: done\ndata: /);
  const final = JSON.parse(done!.slice("event: done\ndata: ".length));
  expect(final.count).toBe(ids.length);
  expect(final.usage.completion_tokens).toBe(ids.length);
  expect(end).toBe("data: [DONE]");
});

test("a completion without streaming gets one JSON response", async () => {
  const { status, headers, text } = await sendPrompt(PROMPT);
  const body = JSON.parse(text);
  expect(status).toBe(200);
  expect(headers.get("content-type")).toBe("application/json");
  expect(body.object).toBe("text_completion");
  expect(body.choices[0].text).toHaveLength(body.count * 5);
});

test("a stream is resumed after an event by its token, and by nothing else", async () => {
  const full = await sendPrompt(CHAT);
  const id = full.headers.get("x-request-id")!;
  const token = full.headers.get("x-resume-token")!;
  const headers = { "x-team": "makers", "last-event-id": "1" };
  const rest = await resume(id, { ...headers, "x-resume-token": token });
  expect(rest.status).toBe(200);
  expect(full.text.endsWith(rest.text)).toBe(true);
  const [payload, signature] = token.split(".");
  const claims = JSON.parse(Buffer.from(payload!, "base64url").toString());
  const changed = JSON.stringify({ ...claims, team: "buyers" });
  const forged = `${Buffer.from(changed).toString("base64url")}.${signature}`;
  const refused = [
    await resume(id, headers),
    await resume(id, { ...headers, "x-resume-token": `${token}x` }),
    await resume(id, { "x-team": "buyers", "x-resume-token": forged }),
    await resume(id, { "x-team": "buyers", "x-resume-token": token }),
    await resume("another", { ...headers, "x-resume-token": token }),
  ];
  expect(refused.map(({ status }) => status)).toEqual(refused.map(() => 401));
  const malformed = {
    ...headers,
    "x-resume-token": token,
    "last-event-id": "-1",
  };
  expect((await resume(id, malformed)).status).toBe(400);
});

test("a stream that is resumed seconds later keeps the creation time of its chunks", async () => {
  const full = await sendPrompt(CHAT);
  clock.skippedMs += 3_000;
  const rest = await resume(full.headers.get("x-request-id")!, {
    "x-team": "makers",
    "last-event-id": "1",
    "x-resume-token": full.headers.get("x-resume-token")!,
  });
  expect(rest.status).toBe(200);
  expect(full.text.endsWith(rest.text)).toBe(true);
});

test("a stream that breaks off before its end closes with an error event, not with [DONE]", async () => {
  engine.control({ answer_fault: { type: "truncated", after: 2, times: 9 } });
  const { text } = await sendPrompt(CHAT);
  engine.control({ answer_fault: { type: "doubled", times: 0 } });
  const [last] = text.trim().split("\n\n").slice(-1);
  expect(text).not.toContain("[DONE]");
  expect(last).toMatch(/^event: error\ndata: /);
  const problem = JSON.parse(last!.slice("event: error\ndata: ".length));
  expect(problem.verdict).toBe("may_have_run");
});

test("a service call is forwarded and its response relayed", async () => {
  const { status, text } = await send("/v1/services/stock/stock/pegs", {
    headers: AS_MAKERS,
  });
  expect(status).toBe(200);
  expect(JSON.parse(text)).toMatchObject({ item: "pegs" });
});

test("entries, health and status endpoints describe the daemon", async () => {
  const entries = await send("/v1/entries?client=c");
  expect(JSON.parse(entries.text)).toMatchObject({
    entries: [{ address: base.slice("http://".length), domain: "a" }],
    max_age_ms: 10_000,
  });
  expect(entries.headers.get("cache-control")).toBe("max-age=10");
  expect((await send("/livez")).status).toBe(200);
  const ready = JSON.parse((await send("/readyz")).text);
  expect(ready).toEqual({ ready: true, state: "serving", revision: 0 });
  const status = JSON.parse((await send("/v1/admin/status", OPERATOR)).text);
  const { upstreams, revision, state } = AdminStatusSchema.parse(status);
  expect({ revision, state }).toEqual({ revision: 0, state: "serving" });
  expect(upstreams.map(({ id }) => id)).toEqual(["engine-1", "stock-1"]);
});

test("status and drain need the operator token", async () => {
  const wrong = { headers: { authorization: "Bearer guess" } };
  for (const init of [{}, wrong]) {
    const status = await send("/v1/admin/status", init);
    const drain = await send("/v1/admin/drain", { ...init, method: "POST" });
    expect([status.status, drain.status]).toEqual([401, 401]);
  }
  expect((await send("/readyz")).status).toBe(200);
});

test("a draining daemon leaves the entries at once, keeps serving, and exits in time", async () => {
  const drain = await send("/v1/admin/drain", { ...OPERATOR, method: "POST" });
  expect([drain.status, JSON.parse(drain.text).state]).toEqual([
    202,
    "leaving",
  ]);
  await waitUntil(async () => (await send("/readyz")).status === 503);
  const { entries } = JSON.parse((await send("/v1/entries")).text);
  expect(entries).toEqual([]);
  expect((await sendPrompt(CHAT)).status).toBe(200);
  const again = await send("/v1/admin/drain", { ...OPERATOR, method: "POST" });
  expect(again.status).toBe(202);
  clock.skippedMs += 15_000;
  await exited;
});
