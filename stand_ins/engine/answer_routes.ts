import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { ServerResponse } from "node:http";
import type { AttemptId } from "../../src/core/id.ts";
import { addMs } from "../../src/core/time.ts";
import { BYTES_PER_TOKEN } from "../../src/wire/engine.ts";
import { resetConnection } from "../common/break.ts";
import type { HostContext } from "../common/http_host.ts";
import { answerLength, MEAN_ANSWER_TOKENS } from "./answer.ts";
import type { AnswerEntry } from "./answers.ts";
import type { EngineRoutes } from "./engine_routes.ts";
import type { EngineRuntime } from "./engine_runtime.ts";
import type { EngineJob } from "./job.ts";
import { peersHold } from "./kv_exchange.ts";
import { type ReadPrompt, readPrompt } from "./prompt_reader.ts";
import { refuse } from "./refusals.ts";

/** Starting, resuming and cancelling answers. */
export function addAnswerRoutes(
  routes: EngineRoutes,
  engine: EngineRuntime,
): void {
  routes.on("POST /v1/generate", "generate", (c) => generate(engine, c));
  routes.on("GET /v1/streams/:attempt", "resume", (c) => resume(engine, c));
  routes.on("DELETE /v1/streams/:attempt", "cancel", (c) => {
    engine.cancel(attemptOf(c));
    return c.json({ ok: true });
  });
}

async function generate(
  engine: EngineRuntime,
  c: HostContext,
): Promise<Response> {
  const read = await readPrompt(c.env.incoming, engine.poison)
    .catch((cause: Error) => ({ aborted: cause }));
  if ("aborted" in read) return resetConnection(c);
  if (read.isErr()) {
    return refuse(c, { code: "bad_request", detail: read.error });
  }
  const { attempt, segment } = read.value.head;
  const isRunning = engine.answers.get(attempt) !== undefined;
  if (!isRunning && segment && !await peersHold(segment)) {
    const detail = "Another engine of the plan has lost its part";
    return refuse(c, { code: "unknown_plan", detail });
  }
  return start(engine, c, read.value);
}

/** Starts an answer; one that runs already is read by this call, too. */
function start(
  engine: EngineRuntime,
  c: HostContext,
  read: ReadPrompt,
): Response {
  const { head, prompt } = read;
  const after = head.answered?.count ?? 0;
  const running = engine.answers.get(head.attempt);
  if (running) return attach(engine, c, { entry: running, after });
  if (!engine.answers.makeRoom()) {
    return refuse(c, { code: "queue_full", detail: "Too many answers" });
  }
  const job = jobOf(engine, read);
  const submitted = engine.model.submit(engine.clock.now(), job);
  if (submitted.isErr()) return refuse(c, submitted.error);
  const key = { prompt: prompt.digest, weights: job.weights };
  const entry = engine.answers.add(head, key);
  return attach(engine, c, { entry, after });
}

function jobOf(engine: EngineRuntime, read: ReadPrompt): EngineJob {
  const { head, prompt, poison } = read;
  const { request, attempt, model, version, adapter, segment } = head;
  const { meanAnswerTokens = MEAN_ANSWER_TOKENS } = engine.cfg;
  const leftMs = engine.clock.scaled(head.deadline_ms);
  const maxTokens = head.max_tokens;
  return {
    request,
    attempt,
    promptTokens: Math.max(1, Math.ceil(prompt.bytes / BYTES_PER_TOKEN)),
    blocks: prompt.blocks,
    maxTokens,
    answerTokens: answerLength(prompt.digest, maxTokens, meanAnswerTokens),
    priority: head.priority,
    weights: { model, version, adapter },
    deadlineAt: addMs(engine.clock.now(), leftMs),
    segment,
    answeredTokens: head.answered?.count,
    poison,
  };
}

function attach(
  engine: EngineRuntime,
  c: HostContext,
  options: { entry: AnswerEntry; after: number },
): Response {
  const { entry, after } = options;
  const fault = engine.faults.takeAnswer();
  const res = c.env.outgoing as ServerResponse;
  engine.answers.attach(entry, res, { after, fault });
  engine.pump();
  return RESPONSE_ALREADY_SENT;
}

function resume(engine: EngineRuntime, c: HostContext): Response {
  const entry = engine.answers.get(attemptOf(c));
  if (!entry) {
    return refuse(c, { code: "unknown_stream", detail: "No such answer" });
  }
  const after = c.req.query("after") ?? c.req.header("last-event-id") ?? "0";
  if (!/^\d{1,9}$/.test(after)) {
    return refuse(c, { code: "bad_request", detail: "Wrong `after`" });
  }
  return attach(engine, c, { entry, after: Number(after) });
}

function attemptOf(c: HostContext): AttemptId {
  return c.req.param("attempt") as AttemptId;
}
