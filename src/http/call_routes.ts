import { limitsOf } from "../board/limits_in_force.ts";
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { ServerResponse } from "node:http";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { type Context, Hono } from "hono";
import type {
  Digest,
  IdempotencyKey,
  RequestId,
  ServiceId,
} from "../core/id.ts";
import { type Problem, problemStatus } from "../core/problem.ts";
import type { CallRequest } from "../core/request.ts";
import type { CallExchange } from "../daemon/exchange.ts";
import type { Verdict } from "../core/verdict.ts";
import type { ServiceResponse } from "../service/service_client.ts";
import type { AppEnv } from "./app_env.ts";
import { readBody } from "./body_reader.ts";
import {
  identityOf,
  problemExtraFields,
  refuse,
  type RouteDeps,
} from "./route_deps.ts";
import { KEY_HEADER, REQUEST_HEADER } from "./headers.ts";
import { problemBody, problemHeaders } from "./problem_body.ts";

const PREFIX = "/v1/services/";

/** `ANY /v1/services/{service}/...`. */
export function callRoutes(deps: RouteDeps): Hono<AppEnv> {
  const app = new Hono<AppEnv>();
  app.all(
    `${PREFIX}:service/*`,
    (ctx) => serve(deps, ctx, ctx.req.param("service")),
  );
  return app;
}

async function serve(
  deps: RouteDeps,
  ctx: Context<AppEnv>,
  service: string,
): Promise<Response> {
  const identity = identityOf(deps, ctx);
  if (identity.isErr()) return refuse(deps, identity.error);
  const body = await readBody(
    ctx.env.incoming,
    limitsOf(deps.board).maxCallBytes,
  );
  if (body.isErr()) return refuse(deps, body.error);
  const url = new URL(ctx.req.url);
  const path = url.pathname.slice(PREFIX.length + service.length) + url.search;
  const req: CallRequest = {
    kind: "call",
    id: deps.uuid() as RequestId,
    ...identity.value,
    arrivedAt: deps.now(),
    digest: callDigest(ctx.req.method, path, body.value),
    service: service as ServiceId,
    method: ctx.req.method,
    path,
    key: ctx.req.header(KEY_HEADER) as IdempotencyKey | undefined,
  };
  start(deps, ctx, { req, body: body.value });
  return RESPONSE_ALREADY_SENT;
}

function callDigest(method: string, path: string, body: Uint8Array): Digest {
  return createHash("sha256").update(`${method} ${path}\n`).update(body).digest(
    "hex",
  ) as Digest;
}

function start(
  deps: RouteDeps,
  ctx: Context<AppEnv>,
  options: { req: CallRequest; body: Uint8Array },
): void {
  const { req, body } = options;
  const res = ctx.env.outgoing as ServerResponse;
  const exchange: CallExchange = {
    kind: "call",
    req,
    contentType: ctx.req.header("content-type"),
    body,
    finish: (answer, verdict) => finish(res, req, { ...answer, verdict }),
    fail: (err) => fail(deps, res, err),
  };
  deps.exchanges.set(req.id, exchange);
  deps.post({ type: "request_arrived", req });
}

function finish(
  res: ServerResponse,
  req: CallRequest,
  answer: ServiceResponse & { verdict?: Verdict },
): void {
  if (res.headersSent) return;
  res.writeHead(answer.status, {
    "content-type": answer.contentType,
    [REQUEST_HEADER]: req.id,
    "x-verdict": answer.verdict ?? "ran",
  });
  res.end(Buffer.from(answer.body));
}

function fail(deps: RouteDeps, res: ServerResponse, err: Problem): void {
  if (res.headersSent) return;
  res.writeHead(problemStatus(err), problemHeaders(err));
  res.end(problemBody(err, problemExtraFields(deps, err)));
}
