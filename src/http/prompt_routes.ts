import { limitsOf } from "../board/limits_in_force.ts";
import type { ServerResponse } from "node:http";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { type Context, Hono } from "hono";
import type { Digest, RequestId } from "../core/id.ts";
import type { PromptRequest } from "../core/request.ts";
import type { PromptExchange } from "../daemon/exchange.ts";
import { digestPrompt } from "../engine/block_digests.ts";
import { BYTES_PER_TOKEN } from "../wire/engine.ts";
import type { AnswerApi, AnswerHead } from "./answer_format.ts";
import type { AnswerWriter } from "./answer_writer.ts";
import type { AppEnv } from "./app_env.ts";
import { readBody } from "./body_reader.ts";
import { type Front, identityOf, refuse } from "./front.ts";
import { REQUEST_HEADER, RESUME_HEADER, REVISION_HEADER } from "./headers.ts";
import type { Identity } from "./identity.ts";
import { parsePromptBody, type PromptBodyFields } from "./prompt_body.ts";
import { signResume } from "./resume_token.ts";
import { SseWriter } from "./sse_writer.ts";
import { WholeWriter } from "./whole_writer.ts";
import { SECOND_MS } from "../core/time.ts";

/** `POST /v1/chat/completions` and `POST /v1/completions`. */
export function promptRoutes(front: Front): Hono<AppEnv> {
  const app = new Hono<AppEnv>();
  app.post("/v1/chat/completions", (ctx) => serve(front, ctx, "chat"));
  app.post("/v1/completions", (ctx) => serve(front, ctx, "completion"));
  return app;
}

async function serve(
  front: Front,
  ctx: Context<AppEnv>,
  api: AnswerApi,
): Promise<Response> {
  const identity = identityOf(front, ctx);
  if (identity.isErr()) return refuse(front, identity.error);
  const body = await readBody(
    ctx.env.incoming,
    limitsOf(front.board).maxPromptBytes,
  );
  if (body.isErr()) return refuse(front, body.error);
  const fields = parsePromptBody(api, body.value);
  if (fields.isErr()) return refuse(front, fields.error);
  const req = promptRequest(front, identity.value, fields.value);
  const head = answerHead(req, api);
  const writer = createWriter(front, {
    req,
    head,
    res: ctx.env.outgoing as ServerResponse,
    stream: fields.value.stream,
  });
  const exchange: PromptExchange = {
    kind: "prompt",
    req,
    prompt: [fields.value.prompt],
    writer,
    resumedAfter: 0,
    relayedTokens: [],
  };
  startPrompt(front, exchange, ctx.env.outgoing as ServerResponse);
  front.post({ type: "request_arrived", req });
  return RESPONSE_ALREADY_SENT;
}

function promptRequest(
  front: Front,
  identity: Identity,
  fields: PromptBodyFields,
): PromptRequest {
  const { digest, blocks } = digestPrompt(fields.prompt);
  const { model, adapter, version, maxTokens } = fields;
  return {
    kind: "prompt",
    id: front.uuid() as RequestId,
    ...identity,
    arrivedAt: front.now(),
    digest: `${model}/${digest}` as Digest,
    model,
    adapter,
    version,
    promptTokens: Math.ceil(fields.prompt.byteLength / BYTES_PER_TOKEN),
    maxTokens,
    blocks,
  };
}

/** The head that all parts of one answer repeat. */
export function answerHead(req: PromptRequest, api: AnswerApi): AnswerHead {
  return {
    api,
    id: req.id,
    model: req.model,
    createdAt: Math.floor(req.arrivedAt / SECOND_MS),
  };
}

/** Registers a prompt and watches its client's connection. */
export function startPrompt(
  front: Front,
  exchange: PromptExchange,
  res: ServerResponse,
): void {
  const { id } = exchange.req;
  front.exchanges.set(id, exchange);
  res.on("close", () => {
    front.exchanges.delete(id);
    if (res.writableFinished) return;
    front.leave(exchange);
    front.post({ type: "client_left", req: id });
  });
}

function createWriter(
  front: Front,
  options: {
    req: PromptRequest;
    head: AnswerHead;
    res: ServerResponse;
    stream: boolean;
  },
): AnswerWriter {
  const { req, head, res, stream } = options;
  const headers = () => answerHeaders(front, req, head.api);
  return stream
    ? SseWriter.create({ res, head, headers })
    : WholeWriter.create({ res, head, headers });
}

/** Headers of an answer: request id, revision in force, and the token to resume a stream with. */
export function answerHeaders(
  front: Front,
  req: PromptRequest,
  api: AnswerApi,
): Record<string, string> {
  const entry = front.board.requests.byId.get(req.id);
  const headers: Record<string, string> = { [REQUEST_HEADER]: req.id };
  if (entry?.attempt === undefined || entry.weights === undefined) {
    return headers;
  }
  headers[REVISION_HEADER] = String(entry.ranUnder.revision);
  const { signing } = front.board.keys;
  if (signing === undefined) return headers;
  headers[RESUME_HEADER] = signResume({
    request: req.id,
    attempt: entry.attempt.id,
    upstream: entry.attempt.placement.upstream,
    team: req.team,
    classId: req.classId,
    api,
    ...entry.weights,
    revision: entry.ranUnder.revision,
    maxTokens: req.maxTokens,
    deadlineAt: req.deadlineAt,
  }, signing);
  return headers;
}
