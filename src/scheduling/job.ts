import type { RequestId, UpstreamId } from "../core/id.ts";
import type { Segment } from "../core/request.ts";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import type { CellPlacementRequest } from "./cell_placement.ts";

/** Share of a placed prompt that one engine prefills: the tokens in [`from`, `to`). */
export type JobPart = Readonly<{
  engine: UpstreamId;
  from: number;
  to: number;
  /** Tokens of KV memory that the part holds until the prompt has ended. */
  memoryTokens: number;
  /** Predicted prefill time. */
  costMs: Millis;
  /** Predicted start of the prefill. */
  startsAt: Timestamp;
}>;

/** A placed prompt whose end has not been reported. */
export type Job = {
  readonly ask: CellPlacementRequest;
  readonly long: boolean;
  readonly cachedTokens: number;
  parts: readonly JobPart[];
  readonly placedAt: Timestamp;
  readonly priority: number;
  /** Whether no other prefill shared the engine, so that the time to the first token is a sample for the cost model. */
  prefillsAlone: boolean;
  firstTokenAt: Timestamp | undefined;
  /** Whether its content may have crashed an engine since it was placed. */
  becameSuspect?: boolean;
};

/** Key of a job; further rounds of a request replace its job. */
export type JobKey = RequestId;

/** Returns the part whose prefill is predicted to run at `now`. */
export function currentPart(job: Job, now: Timestamp): JobPart {
  let current = job.parts[0]!;
  for (const part of job.parts) {
    if (part.startsAt <= now) current = part;
  }
  return current;
}

/** Returns the part on an engine, or undefined. */
export function partOn(job: Job, engine: UpstreamId): JobPart | undefined {
  return job.parts.find((part) => part.engine === engine);
}

/** Returns the part that decodes. */
export function lastPart(job: Job): JobPart {
  return job.parts[job.parts.length - 1]!;
}

/** Extends the current part by `ms` and delays the later ones, because other work runs first. */
export function delayPrefill(job: Job, ms: Millis, now: Timestamp): void {
  const current = currentPart(job, now);
  job.parts = job.parts.map((part) => {
    if (part === current) return { ...part, costMs: part.costMs + ms };
    if (part.startsAt <= now) return part;
    return { ...part, startsAt: addMs(part.startsAt, ms) };
  });
}

/** Moves the predicted end of a part to `endsAt`, and shifts all later parts by the same time. */
export function movePartEnd(job: Job, part: JobPart, endsAt: Timestamp): void {
  const shiftMs = endsAt - part.startsAt - part.costMs;
  job.parts = job.parts.map((other) => {
    if (other === part) return { ...other, costMs: other.costMs + shiftMs };
    if (other.startsAt <= part.startsAt) return other;
    return { ...other, startsAt: addMs(other.startsAt, shiftMs) };
  });
}

/** Returns the segments of a job that is spread over several engines. */
export function segmentsOf(job: Job): readonly Segment[] {
  return job.parts.map(({ engine, from, to }) => ({
    upstream: engine,
    from,
    to,
  }));
}

/** Predicted time left until the first token of a placed prompt; 0 after it. */
export function remainingPrefillMs(job: Job, now: Timestamp): Millis {
  if (job.firstTokenAt !== undefined) return 0;
  const totalMs = job.parts.reduce((sum, part) => sum + part.costMs, 0);
  return Math.max(0, addMs(job.placedAt, totalMs) - now);
}
