import { limitsOf } from "../board/limits_in_force.ts";
import type { ServerResponse } from "node:http";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { type Context, Hono } from "hono";
import type { Digest, RequestId } from "../core/id.ts";
import type { PromptRequest } from "../core/request.ts";
import type { PromptExchange } from "../daemon/exchange.ts";
import { digestPrompt } from "../engine/block_digests.ts";
import { BYTES_PER_TOKEN } from "../wire/engine.ts";
import type { PromptApi, ResponseMetadata } from "./response_format.ts";
import type { ResponseWriter } from "./response_writer.ts";
import type { AppEnv } from "./app_env.ts";
import { readBody } from "./body_reader.ts";
import { identityOf, refuse, type RouteDeps } from "./route_deps.ts";
import { REQUEST_HEADER, RESUME_HEADER, REVISION_HEADER } from "./headers.ts";
import type { Identity } from "./identity.ts";
import { parsePromptBody, type PromptBodyFields } from "./prompt_body.ts";
import { signResumeToken } from "./resume_token.ts";
import { SseWriter } from "./sse_writer.ts";
import { JsonWriter } from "./json_writer.ts";
import { SECOND_MS } from "../core/time.ts";

/** `POST /v1/chat/completions` and `POST /v1/completions`. */
export function promptRoutes(deps: RouteDeps): Hono<AppEnv> {
  const app = new Hono<AppEnv>();
  app.post("/v1/chat/completions", (ctx) => serve(deps, ctx, "chat"));
  app.post("/v1/completions", (ctx) => serve(deps, ctx, "completion"));
  return app;
}

async function serve(
  deps: RouteDeps,
  ctx: Context<AppEnv>,
  api: PromptApi,
): Promise<Response> {
  const identity = identityOf(deps, ctx);
  if (identity.isErr()) return refuse(deps, identity.error);
  const body = await readBody(
    ctx.env.incoming,
    limitsOf(deps.board).maxPromptBytes,
  );
  if (body.isErr()) return refuse(deps, body.error);
  const fields = parsePromptBody(api, body.value);
  if (fields.isErr()) return refuse(deps, fields.error);
  const req = promptRequest(deps, identity.value, fields.value);
  const metadata = responseMetadata(req, api);
  const writer = createWriter(deps, {
    req,
    metadata,
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
  trackPrompt(deps, exchange, ctx.env.outgoing as ServerResponse);
  deps.post({ type: "request_arrived", req });
  return RESPONSE_ALREADY_SENT;
}

function promptRequest(
  deps: RouteDeps,
  identity: Identity,
  fields: PromptBodyFields,
): PromptRequest {
  const { digest, blocks } = digestPrompt(fields.prompt);
  const { model, adapter, version, maxTokens } = fields;
  return {
    kind: "prompt",
    id: deps.uuid() as RequestId,
    ...identity,
    arrivedAt: deps.now(),
    digest: `${model}/${digest}` as Digest,
    model,
    adapter,
    version,
    promptTokens: Math.ceil(fields.prompt.byteLength / BYTES_PER_TOKEN),
    maxTokens,
    blocks,
  };
}

/** Builds the values that all chunks of one response repeat. */
export function responseMetadata(
  req: PromptRequest,
  api: PromptApi,
): ResponseMetadata {
  return {
    api,
    id: req.id,
    model: req.model,
    createdAt: Math.floor(req.arrivedAt / SECOND_MS),
  };
}

/** Adds a prompt to the open exchanges, and cancels it if its client disconnects. */
export function trackPrompt(
  deps: RouteDeps,
  exchange: PromptExchange,
  res: ServerResponse,
): void {
  const { id } = exchange.req;
  deps.exchanges.set(id, exchange);
  res.on("close", () => {
    deps.exchanges.delete(id);
    if (res.writableFinished) return;
    deps.cancelExchange(exchange);
    deps.post({ type: "client_left", req: id });
  });
}

function createWriter(
  deps: RouteDeps,
  options: {
    req: PromptRequest;
    metadata: ResponseMetadata;
    res: ServerResponse;
    stream: boolean;
  },
): ResponseWriter {
  const { req, metadata, res, stream } = options;
  const headers = () => responseHeaders(deps, req, metadata);
  return stream
    ? SseWriter.create({ res, metadata, headers })
    : JsonWriter.create({ res, metadata, headers });
}

/** Response headers: request id, configuration revision of the request, and the token to resume its stream with. */
export function responseHeaders(
  deps: RouteDeps,
  req: PromptRequest,
  metadata: Pick<ResponseMetadata, "api" | "createdAt">,
): Record<string, string> {
  const entry = deps.board.requests.byId.get(req.id);
  const headers: Record<string, string> = { [REQUEST_HEADER]: req.id };
  if (entry?.attempt === undefined || entry.weights === undefined) {
    return headers;
  }
  headers[REVISION_HEADER] = String(entry.ranUnder.revision);
  const { signing } = deps.board.keys;
  if (signing === undefined) return headers;
  headers[RESUME_HEADER] = signResumeToken({
    request: req.id,
    attempt: entry.attempt.id,
    upstream: entry.attempt.placement.upstream,
    team: req.team,
    classId: req.classId,
    api: metadata.api,
    ...entry.weights,
    revision: entry.ranUnder.revision,
    maxTokens: req.maxTokens,
    deadlineAt: req.deadlineAt,
    createdAt: metadata.createdAt,
  }, signing);
  return headers;
}
