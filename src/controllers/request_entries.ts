import { err, ok, type Result } from "neverthrow";
import type { Blackboard } from "../board/blackboard.ts";
import type { RequestEntry } from "../board/requests_section.ts";
import type { Admission } from "../core/admission.ts";
import type { Event } from "../core/event.ts";
import type { Revision } from "../core/id.ts";
import { type Problem, problem } from "../core/problem.ts";
import type { Request } from "../core/request.ts";
import { SECOND_MS, type Timestamp } from "../core/time.ts";

type Resumed = Extract<Event, { type: "request_resumed" }>;

/** Entry of a newly admitted request, of which nothing has run. */
export function admittedEntry(
  req: Request,
  admission: Admission,
  revision: Revision,
): RequestEntry {
  const { weights, atMostOnce: once } = admission;
  return {
    req,
    ranUnder: { revision, weights },
    weights,
    once,
    state: once ? "claiming" : "placing",
    attempt: undefined,
    attempts: 0,
    round: 1,
    excluded: [],
    tokens: 0,
    verdict: "not_run",
    replayable: true,
  };
}

/**
 * Entry of a request that resumes a running stream. It is also accepted while this daemon drains, since no other daemon
 * may be near the client.
 */
export function resumedEntry(
  board: Blackboard,
  now: Timestamp,
  { req, running }: Resumed,
): Result<RequestEntry, Problem> {
  const { attempt, upstream, ranUnder, tokens } = running;
  if (!board.upstreams.byId.has(upstream)) {
    return err(
      resumeProblem(
        "no_upstream",
        `Upstream ${upstream} is not known to this daemon.`,
      ),
    );
  }
  const maxRequests = board.config.serving?.limits.maxRequests ?? 0;
  if (board.requests.byId.size >= maxRequests) {
    const detail = "This daemon already holds its maximum number of requests.";
    return err(resumeProblem("queue_full", detail));
  }
  const placement = { upstream, priority: 0 };
  return ok({
    req,
    ranUnder,
    weights: ranUnder.weights,
    once: false,
    state: "running",
    attempt: { id: attempt, placement, startedAt: now, tokens },
    attempts: 1,
    round: 1,
    excluded: [],
    tokens,
    verdict: "may_have_run",
    replayable: false,
  });
}

function resumeProblem(
  code: "no_upstream" | "queue_full",
  detail: string,
): Problem {
  return problem(code, detail, {
    verdict: "may_have_run",
    retryAfterMs: SECOND_MS,
  });
}
