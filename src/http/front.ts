import type { Context } from "hono";
import { err, type Result } from "neverthrow";
import type { Blackboard } from "../board/blackboard.ts";
import type { Event } from "../core/event.ts";
import { entryAnswer } from "../core/entry_answer.ts";
import { type Problem, problem, problemStatus } from "../core/problem.ts";
import { SECOND_MS, type Timestamp } from "../core/time.ts";
import type { ExchangeTable, PromptExchange } from "../daemon/exchange.ts";
import { identify, type Identity } from "./identity.ts";
import type { AppEnv } from "./app_env.ts";
import { problemBody, problemHeaders } from "./problem_body.ts";

/** What the routes work with. */
export type Front = Readonly<{
  board: Blackboard;
  exchanges: ExchangeTable;
  now: () => Timestamp;
  post: (event: Event) => void;
  /** Returns a new UUIDv7. */
  uuid: () => string;
  /** SHA-256 digest of the operators' token; absent where all may ask. */
  adminDigest: string | undefined;
  /** Ends the attempt of a client that went away. */
  leave: (exchange: PromptExchange) => void;
  /** Logs an unexpected error. */
  report: (cause: unknown) => void;
}>;

/** Who sent a request; refused while no configuration is in force. */
export function identityOf(
  front: Front,
  ctx: Context<AppEnv>,
): Result<Identity, Problem> {
  const { serving } = front.board.config;
  if (serving === undefined) return err(notConfigured());
  return identify(serving, (name) => ctx.req.header(name), front.now());
}

function notConfigured(): Problem {
  const detail = "No configuration has been read yet.";
  return problem("not_configured", detail, { retryAfterMs: SECOND_MS });
}

/** Counts a refusal that never reached the core, and answers with it. */
export function refuse(
  front: Front,
  cause: Problem,
): Response {
  front.board.counters.refuse(cause.code);
  return answerProblem(front, cause);
}

/** Answers with a problem; a daemon that shuts down names others. */
export function answerProblem(
  front: Front,
  err: Problem,
): Response {
  return new Response(problemBody(err, problemExtra(front, err)), {
    status: problemStatus(err),
    headers: problemHeaders(err),
  });
}

/** What a problem's body says beside the problem. */
export function problemExtra(
  front: Front,
  err: Problem,
): Readonly<Record<string, unknown>> {
  if (err.code !== "draining") return {};
  const answer = entryAnswer(front.board, {
    client: "",
    now: front.now(),
    maxAgeMs: 0,
  });
  return { entries: answer.entries };
}
