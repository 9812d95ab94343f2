import type { Context } from "hono";
import { err, type Result } from "neverthrow";
import type { Blackboard } from "../board/blackboard.ts";
import type { Event } from "../core/event.ts";
import { listEntries } from "../core/entry_list.ts";
import { type Problem, problem, problemStatus } from "../core/problem.ts";
import { SECOND_MS, type Timestamp } from "../core/time.ts";
import type { ExchangeTable, PromptExchange } from "../daemon/exchange.ts";
import { identify, type Identity } from "./identity.ts";
import type { AppEnv } from "./app_env.ts";
import { problemBody, problemHeaders } from "./problem_body.ts";

/** What the routes work with. */
export type RouteDeps = Readonly<{
  board: Blackboard;
  exchanges: ExchangeTable;
  now: () => Timestamp;
  post: (event: Event) => void;
  /** Returns a new UUIDv7. */
  uuid: () => string;
  /** SHA-256 digest of the operators' token; absent where all may ask. */
  adminTokenDigest: string | undefined;
  /** Ends the attempt of a client that went away. */
  cancelExchange: (exchange: PromptExchange) => void;
  /** Logs an unexpected error. */
  logError: (cause: unknown) => void;
}>;

/** Who sent a request; refused while no configuration is in force. */
export function identityOf(
  deps: RouteDeps,
  ctx: Context<AppEnv>,
): Result<Identity, Problem> {
  const { serving } = deps.board.config;
  if (serving === undefined) return err(notConfiguredProblem());
  return identify(serving, (name) => ctx.req.header(name), deps.now());
}

function notConfiguredProblem(): Problem {
  const detail = "No configuration has been read yet.";
  return problem("not_configured", detail, { retryAfterMs: SECOND_MS });
}

/** Counts a refusal that never reached the core, and answers with it. */
export function refuse(
  deps: RouteDeps,
  cause: Problem,
): Response {
  deps.board.counters.refuse(cause.code);
  return problemResponse(deps, cause);
}

/** Answers with a problem; a daemon that shuts down names others. */
export function problemResponse(
  deps: RouteDeps,
  err: Problem,
): Response {
  return new Response(problemBody(err, problemExtraFields(deps, err)), {
    status: problemStatus(err),
    headers: problemHeaders(err),
  });
}

/** What a problem's body says beside the problem. */
export function problemExtraFields(
  deps: RouteDeps,
  err: Problem,
): Readonly<Record<string, unknown>> {
  if (err.code !== "draining") return {};
  const answer = listEntries(deps.board, {
    client: "",
    now: deps.now(),
    maxAgeMs: 0,
  });
  return { entries: answer.entries };
}
