import { limitsOf } from "../board/limits_in_force.ts";
import { type Context, Hono, type Next } from "hono";
import { problem } from "../core/problem.ts";
import { listEntries } from "../core/entry_list.ts";
import { SECOND_MS } from "../core/time.ts";
import type { AppEnv } from "./app_env.ts";
import { issueKeyPrefix } from "../fold/issued_key.ts";
import { refuse, type RouteDeps } from "./route_deps.ts";
import { hasToken, identify } from "./identity.ts";
import { adminStatus } from "./admin_status.ts";

/** Routes of entry addresses, health checks and the admin API. */
export function operatorRoutes(deps: RouteDeps): Hono<AppEnv> {
  const app = new Hono<AppEnv>();
  app.get("/v1/entries", (ctx) => entries(deps, ctx));
  app.use("/v1/admin/*", (ctx, next) => checkOperator(deps, ctx, next));
  app.get("/livez", (ctx) => ctx.json({ ok: true }));
  app.get("/readyz", (ctx) => ready(deps, ctx));
  app.get(
    "/v1/admin/status",
    (ctx) => ctx.json(adminStatus(deps.board, deps.now())),
  );
  app.post("/v1/admin/drain", (ctx) => drain(deps, ctx));
  return app;
}

function checkOperator(
  deps: RouteDeps,
  ctx: Context<AppEnv>,
  next: Next,
): Promise<Response | void> {
  const { adminTokenDigest: adminDigest } = deps;
  const header = (name: string) => ctx.req.header(name);
  if (adminDigest === undefined || hasToken(adminDigest, header)) return next();
  const detail = "Send the operators' token as a bearer token.";
  return Promise.resolve(refuse(deps, problem("unauthorized", detail)));
}

function entries(deps: RouteDeps, ctx: Context<AppEnv>): Response {
  const { entryMaxAgeMs } = limitsOf(deps.board);
  const client = ctx.req.query("client") ??
    ctx.env.incoming.socket.remoteAddress ?? "";
  const answer = listEntries(deps.board, {
    client,
    now: deps.now(),
    maxAgeMs: entryMaxAgeMs,
  });
  ctx.header(
    "cache-control",
    `max-age=${Math.floor(entryMaxAgeMs / SECOND_MS)}`,
  );
  return ctx.json({
    entries: answer.entries,
    max_age_ms: answer.maxAgeMs,
    key_prefix: keyPrefix(deps, ctx),
  });
}

/** Returns a prefix for keys of the requesting team; absent if the team is not known, or the daemon is draining or has no key secret. */
function keyPrefix(deps: RouteDeps, ctx: Context<AppEnv>): string | undefined {
  const { board, now } = deps;
  const { serving } = board.config;
  if (serving === undefined || board.members.drain !== "serving") {
    return undefined;
  }
  const identity = identify(serving, (name) => ctx.req.header(name), now());
  if (identity.isErr() || board.claims.keySecret === "") return undefined;
  const { team } = identity.value;
  const issue = { home: board.self.id, at: now(), team };
  return issueKeyPrefix(issue, board.claims.keySecret);
}

function ready(deps: RouteDeps, ctx: Context<AppEnv>): Response {
  const { config, members } = deps.board;
  const isReady = config.serving !== undefined && !config.stale &&
    members.drain === "serving" && members.ready;
  return ctx.json({
    ready: isReady,
    state: members.drain,
    revision: config.revision,
  }, isReady ? 200 : 503);
}

function drain(deps: RouteDeps, ctx: Context<AppEnv>): Response {
  deps.post({ type: "drain_requested" });
  const { self } = deps.board;
  const { drain } = deps.board.members;
  const state = drain === "serving" ? "leaving" : drain;
  return ctx.json({ id: self.id, vm: self.vm, state }, 202);
}
