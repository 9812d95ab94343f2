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

/** State and callbacks that the routes need. */
export type RouteDeps = Readonly<{
  board: Blackboard;
  exchanges: ExchangeTable;
  now: () => Timestamp;
  post: (event: Event) => void;
  /** Returns a new UUIDv7. */
  uuid: () => string;
  /** SHA-256 digest of the operators' token; without it the admin routes are open to everyone. */
  adminTokenDigest: string | undefined;
  /** Ends the attempt of a client that has disconnected. */
  cancelExchange: (exchange: PromptExchange) => void;
  /** Logs an unexpected error. */
  logError: (cause: unknown) => void;
}>;

/** Returns the sender of a request; refused while no configuration is in force. */
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

/** Counts a refusal that does not reach the core and responds with it. */
export function refuse(
  deps: RouteDeps,
  cause: Problem,
): Response {
  deps.board.counters.refuse(cause.code);
  return problemResponse(deps, cause);
}

/** Builds a response from a problem. */
export function problemResponse(
  deps: RouteDeps,
  err: Problem,
): Response {
  return new Response(problemBody(err, problemExtraFields(deps, err)), {
    status: problemStatus(err),
    headers: problemHeaders(err),
  });
}

/** Extra fields of a problem's body; a draining daemon lists the addresses of others. */
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
