import type { ServerResponse } from "node:http";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { type Context, Hono } from "hono";
import type { Digest, RequestId } from "../core/id.ts";
import { type Problem, problem } from "../core/problem.ts";
import type { PromptRequest } from "../core/request.ts";
import { SECOND_MS } from "../core/time.ts";
import type { PromptExchange } from "../daemon/exchange.ts";
import type { AppEnv } from "./app_env.ts";
import { identityOf, refuse, type RouteDeps } from "./route_deps.ts";
import { LAST_EVENT_HEADER, REQUEST_HEADER, RESUME_HEADER } from "./headers.ts";
import { responseMetadata, trackPrompt } from "./prompt_routes.ts";
import { type ResumeClaims, verifyResumeToken } from "./resume_token.ts";
import { SseWriter } from "./sse_writer.ts";

/** `GET /v1/requests/{id}` and the resumption of its stream. */
export function requestRoutes(deps: RouteDeps): Hono<AppEnv> {
  const app = new Hono<AppEnv>();
  app.get(
    "/v1/requests/:id",
    (ctx) => showRequest(deps, ctx, ctx.req.param("id")),
  );
  app.get(
    "/v1/requests/:id/stream",
    (ctx) => resume(deps, ctx, ctx.req.param("id")),
  );
  return app;
}

function showRequest(
  deps: RouteDeps,
  ctx: Context<AppEnv>,
  id: string,
): Response {
  const identity = identityOf(deps, ctx);
  if (identity.isErr()) return refuse(deps, identity.error);
  const entry = deps.board.requests.byId.get(id as RequestId);
  if (entry === undefined || entry.req.team !== identity.value.team) {
    return refuse(
      deps,
      problem(
        "unknown_request",
        `Request ${id} is not running at this daemon.`,
      ),
    );
  }
  return ctx.json({
    id,
    state: entry.state,
    attempts: entry.attempts,
    tokens: entry.tokens,
    deadline_ms: Math.max(0, entry.req.deadlineAt - deps.now()),
    revision: entry.ranUnder.revision,
  });
}

function resume(deps: RouteDeps, ctx: Context<AppEnv>, id: string): Response {
  const identity = identityOf(deps, ctx);
  if (identity.isErr()) return refuse(deps, identity.error);
  const { accepted } = deps.board.keys;
  if (accepted.length === 0) return refuse(deps, keysNotReadProblem());
  const claims = verifyResumeToken(
    ctx.req.header(RESUME_HEADER) ?? "",
    accepted,
  );
  if (claims.isErr()) return refuse(deps, claims.error);
  const after = Number(ctx.req.header(LAST_EVENT_HEADER) ?? "0");
  const refusal = checkClaims(claims.value, {
    id,
    team: identity.value.team,
    after,
  });
  if (refusal !== undefined) return refuse(deps, refusal);
  startResumed(deps, ctx, { claims: claims.value, after });
  return RESPONSE_ALREADY_SENT;
}

/** The refusal while no signing key is known and thus no token can be verified. */
function keysNotReadProblem(): Problem {
  const detail = "No signing key has been read yet.";
  return problem("not_configured", detail, {
    verdict: "may_have_run",
    retryAfterMs: SECOND_MS,
  });
}

function checkClaims(
  claims: ResumeClaims,
  expected: { id: string; team: string; after: number },
): Problem | undefined {
  if (claims.request !== expected.id) {
    return problem("unauthorized", "The resume token is for another request.");
  }
  if (claims.team !== expected.team) {
    return problem("unauthorized", "The resume token is for another team.");
  }
  if (Number.isInteger(expected.after) && expected.after >= 0) return undefined;
  return problem(
    "bad_request",
    `${LAST_EVENT_HEADER} must be a whole number from 0.`,
  );
}

function startResumed(
  deps: RouteDeps,
  ctx: Context<AppEnv>,
  options: { claims: ResumeClaims; after: number },
): void {
  const { claims, after } = options;
  const res = ctx.env.outgoing as ServerResponse;
  const req = resumedRequest(deps, claims);
  const metadata = responseMetadata(req, claims.api);
  const writer = SseWriter.create({
    res,
    metadata: {
      ...metadata,
      createdAt: claims.createdAt ?? metadata.createdAt,
    },
    headers: () => ({
      [REQUEST_HEADER]: req.id,
      [RESUME_HEADER]: ctx.req.header(RESUME_HEADER) ?? "",
    }),
  });
  const exchange: PromptExchange = {
    kind: "prompt",
    req,
    writer,
    resumedAfter: after,
    relayedTokens: [],
  };
  trackPrompt(deps, exchange, res);
  deps.post({
    type: "request_resumed",
    req,
    running: runningStream(claims, after),
  });
}

function runningStream(claims: ResumeClaims, tokens: number) {
  const { attempt, upstream, revision, model, version, adapter } = claims;
  return {
    attempt,
    upstream,
    ranUnder: { revision, weights: { model, version, adapter } },
    tokens,
  };
}

function resumedRequest(deps: RouteDeps, claims: ResumeClaims): PromptRequest {
  return {
    kind: "prompt",
    id: claims.request,
    team: claims.team,
    classId: claims.classId,
    arrivedAt: deps.now(),
    deadlineAt: claims.deadlineAt,
    digest: `resumed/${claims.request}` as Digest,
    model: claims.model,
    adapter: claims.adapter,
    version: claims.version,
    promptTokens: 0,
    maxTokens: claims.maxTokens,
    blocks: [],
  };
}
