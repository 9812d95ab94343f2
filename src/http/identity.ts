import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { RequestClass, ServingConfig, Team } from "../config/serving.ts";
import type { ClassId, TeamId } from "../core/id.ts";
import { type Problem, problem } from "../core/problem.ts";
import { addMs, type Timestamp } from "../core/time.ts";
import { CLASS_HEADER, DEADLINE_HEADER, TEAM_HEADER } from "./headers.ts";

const BEARER = "Bearer ";

/** Reads one request header. */
export type HeaderReader = (name: string) => string | undefined;

/** Team, request class and deadline of a request. */
export type Identity = Readonly<
  { team: TeamId; classId: ClassId; deadlineAt: Timestamp }
>;

/** Reads team, class and deadline from the headers and checks them against the configuration. */
export function identify(
  serving: ServingConfig,
  header: HeaderReader,
  now: Timestamp,
): Result<Identity, Problem> {
  return findTeam(serving, header).andThen((team) =>
    findClass(serving, header).andThen((cls) =>
      parseDeadline(cls, header(DEADLINE_HEADER), now).map((deadlineAt) => ({
        team: team.id,
        classId: cls.id,
        deadlineAt,
      }))
    )
  );
}

/** Whether the headers carry the token with this digest. */
export function hasToken(digest: string, header: HeaderReader): boolean {
  const found = tokenDigest(header);
  return found !== undefined &&
    timingSafeEqual(Buffer.from(found), Buffer.from(digest));
}

function tokenDigest(header: HeaderReader): string | undefined {
  const authorization = header("authorization");
  if (!authorization?.startsWith(BEARER)) return undefined;
  return createHash("sha256").update(authorization.slice(BEARER.length))
    .digest("hex");
}

function findTeam(
  serving: ServingConfig,
  header: HeaderReader,
): Result<Team, Problem> {
  const digest = tokenDigest(header);
  if (digest !== undefined) {
    const team = serving.teams.find((candidate) =>
      (candidate.tokenDigests as readonly string[]).includes(digest)
    );
    if (team !== undefined) return ok(team);
    return err(problem("unauthorized", "No team has this token."));
  }
  const name = header(TEAM_HEADER);
  if (name === undefined) {
    return err(
      problem("unauthorized", `Send a bearer token or ${TEAM_HEADER}.`),
    );
  }
  const team = serving.teams.find((candidate) => candidate.id === name);
  if (team === undefined) {
    return err(problem("unauthorized", `No team ${name} is configured.`));
  }
  if (team.tokenDigests.length > 0) {
    return err(problem("unauthorized", `Team ${name} needs its token.`));
  }
  return ok(team);
}

function findClass(
  serving: ServingConfig,
  header: HeaderReader,
): Result<RequestClass, Problem> {
  const name = header(CLASS_HEADER);
  const found = name === undefined
    ? serving.classes[0]
    : serving.classes.find((candidate) => candidate.id === name);
  if (found !== undefined) return ok(found);
  return err(problem("bad_request", `No request class ${name} is configured.`));
}

function parseDeadline(
  cls: RequestClass,
  value: string | undefined,
  now: Timestamp,
): Result<Timestamp, Problem> {
  if (value === undefined) return ok(addMs(now, cls.deadlineMs));
  const ms = Number(value);
  if (Number.isInteger(ms) && ms >= 1 && ms <= cls.maxDeadlineMs) {
    return ok(addMs(now, ms));
  }
  return err(
    problem(
      "bad_request",
      `${DEADLINE_HEADER} must be 1 to ${cls.maxDeadlineMs}; found ${value}.`,
    ),
  );
}
