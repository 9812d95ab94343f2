import { addMs, type Millis, type Timestamp } from "../../../core/time.ts";
import { type EnginePace, passMs } from "../engine_pace.ts";
import type { PoolJob } from "../pool_job.ts";
import type { UpstreamLoad } from "../upstream_load.ts";

/** Time from a grant until the engine has the request, and from an event until it is known here. */
const WAY_MS: Millis = 10;

/** The next pass of an engine, as far as it is known now. */
export type NextPass = Readonly<{
  /** Time until the current pass ends and the next one begins; 0 if the engine is idle. */
  startsInMs: Millis;
  /** Prefill that waits for the next pass already. */
  waitingMs: Millis;
  /** Streams that get an event at its end, and their context tokens. */
  streams: number;
  contextTokens: number;
}>;

/** When a prompt that is placed now gets its first event, and how long the engine's streams pause for it. */
export type PassPrediction = Readonly<{ firstMs: Millis; pauseMs: Millis }>;

/**
 * Follows an engine's passes from the last event that is known of it: what arrives during a pass waits for the next
 * one, and is prefilled whole in it.
 * Load pattern: a crest of short prompts, many of which are placed on one engine within a pass. Each one by itself is in
 * time; together they make one long pass, in which all streams of the engine pause too long.
 */
export function nextPass(
  load: UpstreamLoad,
  pace: EnginePace,
  now: Timestamp,
): NextPass {
  let streams = 0;
  let contextTokens = 0;
  let pending: PoolJob[] = [];
  for (const job of load.jobs.values()) {
    if (!job.writing) pending.push(job);
    else if (job.upstream === load.id) {
      streams += 1;
      contextTokens += job.tokens;
    }
  }
  pending.sort((a, b) => a.placedAt - b.placedAt);
  const slowdown = load.slowdownAt(now);
  let at = load.passEndedAt;
  for (;;) {
    if (streams === 0) {
      const [first] = pending;
      if (first === undefined) break;
      at = Math.max(at, addMs(first.placedAt, WAY_MS)) as Timestamp;
    }
    const isRead = (job: PoolJob) => addMs(job.placedAt, WAY_MS) <= at;
    const read = pending.filter(isRead);
    let ms = streams === 0 ? pace.stepMs : passMs(pace, streams, contextTokens);
    for (const job of read) ms += job.partMs;
    ms *= slowdown;
    if (read.length === 0 && now > at) {
      // Passes without prefill are of equal length.
      const arrivesAt = pending.length === 0
        ? now
        : Math.min(now, addMs(pending[0]!.placedAt, WAY_MS));
      at = addMs(at, Math.max(0, Math.floor((arrivesAt - at) / ms)) * ms);
    }
    at = addMs(at, ms);
    pending = pending.filter((job) => !read.includes(job));
    for (const job of read) {
      if (job.upstream !== load.id) continue;
      streams += 1;
      contextTokens += job.tokens;
    }
    if (at <= now) continue;
    const waitingMs = pending.reduce((sum, job) => sum + job.partMs, 0);
    const startsInMs = Math.max(at - now, load.backlogMs(now) - waitingMs);
    return { startsInMs, waitingMs, streams, contextTokens };
  }
  return {
    startsInMs: load.backlogMs(now),
    waitingMs: 0,
    streams,
    contextTokens,
  };
}

/** Predicts the first event of a prompt that `prefillMs` of prefill lie before, its own included. */
export function predictPass(
  next: NextPass,
  pace: EnginePace,
  options: Readonly<{ prefillMs: Millis; slowdown: number }>,
): PassPrediction {
  const { streams, contextTokens, waitingMs, startsInMs } = next;
  const writeMs = streams === 0
    ? pace.stepMs
    : passMs(pace, streams, contextTokens);
  const pauseMs = (writeMs + waitingMs + options.prefillMs) * options.slowdown;
  return { firstMs: WAY_MS + startsInMs + pauseMs, pauseMs };
}
