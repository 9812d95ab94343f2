import type { RequestId, UpstreamId } from "../core/id.ts";
import type { Segment } from "../core/request.ts";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import type { CellPlacementRequest } from "./cell_placement.ts";

/** One engine's part of a placed prompt. */
export type JobPart = Readonly<{
  engine: UpstreamId;
  from: number;
  to: number;
  /** Tokens of memory that it holds until the prompt has ended. */
  memoryTokens: number;
  /** Predicted prefill time. */
  costMs: Millis;
  /** Predicted start of its prefill. */
  startsAt: Timestamp;
}>;

/** A prompt that was given a place and has not ended, as far as is known. */
export type Job = {
  readonly ask: CellPlacementRequest;
  readonly long: boolean;
  readonly cachedTokens: number;
  parts: readonly JobPart[];
  readonly placedAt: Timestamp;
  readonly priority: number;
  /** Whether it had the engine's prefill to itself, so that its time tells the cost. */
  prefillsAlone: boolean;
  firstTokenAt: Timestamp | undefined;
};

/** Names a job; a request that is placed again is another round of the same one. */
export type JobKey = RequestId;

/** Returns the part whose prefill is under way at `now`, as predicted. */
export function currentPart(job: Job, now: Timestamp): JobPart {
  let current = job.parts[0]!;
  for (const part of job.parts) {
    if (part.startsAt <= now) current = part;
  }
  return current;
}

/** Returns the part on an engine; none if the job has none there. */
export function partOn(job: Job, engine: UpstreamId): JobPart | undefined {
  return job.parts.find((part) => part.engine === engine);
}

/** Returns the part that decodes. */
export function lastPart(job: Job): JobPart {
  return job.parts[job.parts.length - 1]!;
}

/** Puts off what is left of a job's prefill, because other work goes first. */
export function delayPrefill(job: Job, ms: Millis, now: Timestamp): void {
  const current = currentPart(job, now);
  job.parts = job.parts.map((part) => {
    if (part === current) return { ...part, costMs: part.costMs + ms };
    if (part.startsAt <= now) return part;
    return { ...part, startsAt: addMs(part.startsAt, ms) };
  });
}

/** Moves the end of a part to where a report shows it, and all later parts with it. */
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

/** Predicted time to the first token of a placed prompt. */
export function remainingPrefillMs(job: Job, now: Timestamp): Millis {
  if (job.firstTokenAt !== undefined) return 0;
  const totalMs = job.parts.reduce((sum, part) => sum + part.costMs, 0);
  return Math.max(0, addMs(job.placedAt, totalMs) - now);
}
