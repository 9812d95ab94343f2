import type { Blackboard } from "../board/blackboard.ts";
import type { ServingConfig, Team } from "../config/serving.ts";
import type { ModelId } from "./id.ts";
import { type Problem, problem } from "./problem.ts";
import type {
  CallRequest,
  PromptRequest,
  Request,
  Weights,
} from "./request.ts";
import { SECOND_MS, type Timestamp } from "./time.ts";
import { err, ok, type Result } from "neverthrow";
import { runsAtMostOnce } from "./at_most_once.ts";

const SHORT_RETRY_AFTER_MS = SECOND_MS;
const LONG_RETRY_AFTER_MS = 5 * SECOND_MS;

/** The weights that an admitted prompt runs on, and whether the request may run at most once. */
export type Admission = Readonly<{ weights?: Weights; atMostOnce: boolean }>;

/** Checks whether a request may start on this daemon now; refusals have the verdict `not_run`. */
export function admit(
  board: Blackboard,
  req: Request,
  now: Timestamp,
): Result<Admission, Problem> {
  return checkDaemon(board, req, now)
    .andThen((serving) =>
      req.kind === "prompt"
        ? admitPrompt(serving, req)
        : admitCall(serving, req)
    );
}

function checkDaemon(
  board: Blackboard,
  req: Request,
  now: Timestamp,
): Result<ServingConfig, Problem> {
  const { serving, stale } = board.config;
  if (serving === undefined) {
    return err(
      problem("not_configured", "No configuration has been read yet.", {
        retryAfterMs: SHORT_RETRY_AFTER_MS,
      }),
    );
  }
  if (stale) {
    return err(
      problem(
        "config_stale",
        "Neither the log nor enough peers can be reached.",
        { retryAfterMs: LONG_RETRY_AFTER_MS },
      ),
    );
  }
  if (
    board.members.drain === "refusing" || board.members.drain === "finished"
  ) {
    return err(
      problem("draining", "Use another entry address.", { retryAfterMs: 0 }),
    );
  }
  if (board.requests.byId.size >= serving.limits.maxRequests) {
    return err(
      problem(
        "queue_full",
        "This daemon already holds its maximum number of requests.",
        { retryAfterMs: SHORT_RETRY_AFTER_MS },
      ),
    );
  }
  if (req.deadlineAt <= now) {
    return err(
      problem("deadline_exceeded", "The deadline had passed on arrival."),
    );
  }
  if (board.quarantine.quarantined.has(req.digest)) {
    return err(
      problem(
        "quarantined",
        "Each engine that ran this content crashed.",
      ),
    );
  }
  return ok(serving);
}

function admitPrompt(
  serving: ServingConfig,
  req: PromptRequest,
): Result<Admission, Problem> {
  const model = serving.models.find((candidate) => candidate.id === req.model);
  if (model === undefined) {
    return err(
      problem("unknown_model", `No model ${req.model} is configured.`),
    );
  }
  const version = req.version ?? model.version;
  if (!model.versions.includes(version)) {
    return err(
      problem("unknown_model", `Model ${req.model} has no version ${version}.`),
    );
  }
  if (req.adapter !== undefined && !model.adapters.includes(req.adapter)) {
    return err(
      problem(
        "unknown_model",
        `Model ${req.model} has no adapter ${req.adapter}.`,
      ),
    );
  }
  const team = findTeam(serving, req);
  if (team === undefined) {
    return err(problem("unauthorized", `No team ${req.team} is configured.`));
  }
  if (!allowsModel(team.models, req.model)) {
    return err(
      problem(
        "forbidden_model",
        `Team ${req.team} may not use model ${req.model}.`,
      ),
    );
  }
  return ok({
    weights: { model: req.model, version, adapter: req.adapter },
    atMostOnce: false,
  });
}

function admitCall(
  serving: ServingConfig,
  req: CallRequest,
): Result<Admission, Problem> {
  const service = serving.services.find((candidate) =>
    candidate.id === req.service
  );
  if (service === undefined) {
    return err(
      problem("unknown_service", `No service ${req.service} is configured.`),
    );
  }
  const team = findTeam(serving, req);
  if (team === undefined) {
    return err(problem("unauthorized", `No team ${req.team} is configured.`));
  }
  if (team.services.length > 0 && !team.services.includes(req.service)) {
    return err(
      problem(
        "unknown_service",
        `Team ${req.team} may not use service ${req.service}.`,
      ),
    );
  }
  const atMostOnce = runsAtMostOnce(service, req.method, req.path);
  if (atMostOnce && req.key === undefined) {
    return err(
      problem(
        "key_missing",
        `${req.method} ${req.path} may not be repeated; send an Idempotency-Key.`,
      ),
    );
  }
  return ok({ atMostOnce });
}

function findTeam(serving: ServingConfig, req: Request): Team | undefined {
  return serving.teams.find((candidate) => candidate.id === req.team);
}

function allowsModel(allowed: readonly ModelId[], model: ModelId): boolean {
  return allowed.length === 0 || allowed.includes(model);
}
