import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { listenOnLoopback } from "../lib/loopback.ts";
import {
  type GenerateHead,
  GenerateHeadSchema,
} from "../../src/wire/engine.ts";

/** Events written at a time where tokens are not paced. */
const BATCH_EVENTS = 16;
const LOADED = [{
  model: "assistant",
  version: "2026-09",
  adapters: ["wire-and-wood", "ledgers"],
}];
const RUN = "token-source-run";

/**
 * An engine without a model: it sends `max_tokens` tokens, one each PACE_MS milliseconds, or as fast as they are
 * read for a pace of 0. Its only argument is the pace.
 */
const paceMs = Number(process.argv[2] ?? 0);
const server = createServer((req, res) => {
  if (req.method === "POST") return void answer(req, res);
  req.resume();
  res.setHeader("content-type", "application/json");
  res.end(JSON.stringify(report(req.url ?? "")));
});
const port = await listenOnLoopback(server);
console.log(JSON.stringify({ address: `127.0.0.1:${port}` }));

async function answer(
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const head = await readHead(req);
  const { request, attempt, model, version, adapter } = head;
  res.writeHead(200, { "content-type": "text/event-stream" });
  const batch = paceMs > 0 ? 1 : BATCH_EVENTS;
  for (let index = 0; index < head.max_tokens; index += batch) {
    const end = Math.min(head.max_tokens, index + batch);
    let text = "";
    for (let i = index; i < end; i += 1) {
      text += event({
        type: "token",
        request,
        attempt,
        index: i,
        text: "peg ",
      });
    }
    if (res.destroyed) return;
    if (!res.write(text)) {
      await Promise.race([once(res, "drain"), once(res, "close")]);
    }
    if (paceMs > 0) await sleep(paceMs);
  }
  const count = head.max_tokens;
  res.end(event({
    type: "done",
    request,
    attempt,
    count,
    finish: "length",
    model,
    version,
    adapter,
    prompt_tokens: 1,
    cached_tokens: 0,
  }));
}

function event(value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}

async function readHead(req: IncomingMessage): Promise<GenerateHead> {
  let line = "";
  let complete = false;
  for await (const chunk of req as AsyncIterable<Uint8Array>) {
    if (complete) continue;
    const end = chunk.indexOf(10);
    complete = end >= 0;
    line += new TextDecoder().decode(complete ? chunk.subarray(0, end) : chunk);
  }
  return GenerateHeadSchema.parse(JSON.parse(line));
}

function report(url: string): unknown {
  const common = {
    incarnation: RUN,
    loaded: LOADED,
    role: "mixed",
    leaving: false,
  };
  if (url.startsWith("/v1/cache_events")) {
    return { incarnation: RUN, events: [] };
  }
  if (url.startsWith("/v1/state")) return { ...common, loading: [] };
  return {
    ...common,
    at: Date.now(),
    running: 0,
    waiting: 0,
    decoding: 0,
    prefill_tokens: 0,
    kv_capacity_tokens: 50_000_000,
    kv_free_tokens: 50_000_000,
  };
}
