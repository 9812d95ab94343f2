import type { RequestEntry } from "../board/requests_section.ts";
import type { Digest, UpstreamId } from "../core/id.ts";
import type { Outcome } from "../core/request.ts";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import type { Envelope, Suspect } from "../gen/peer.ts";
import { readBlocks } from "../scheduling/place_messages.ts";
import { suspectRetentionMs } from "./crash_limit.ts";

/** Content that an engine ran when it crashed or fell silent. */
export type ContentRun = Readonly<{
  digest: Digest;
  upstream: UpstreamId;
  incarnation: string;
  /** Leading blocks of the prompt; absent in reports of earlier builds. */
  blocks?: readonly Digest[];
  /** Time of the content's last crash, by this daemon's clock; absent for a new crash or a silence. */
  seenAt?: Timestamp;
  /** Start of the attempt, if this report is the first of the crash. */
  sentAt?: Timestamp;
}>;

/** Runs that a message reports as crashed, or as silent; without crashes that are past their retention time. */
export function reportedRuns(
  envelope: Envelope,
  now: Timestamp,
): readonly Readonly<{ run: ContentRun; silent: boolean }>[] {
  const suspects = suspectsOf(envelope);
  const crashes = suspects.filter(({ silent }) => !silent);
  return suspects.flatMap((suspect) => {
    const { digest, upstream, incarnation, silent, blocks, ranMs } = suspect;
    const ageMs = silent ? 0 : reportAgeMs(envelope, suspect);
    const count = crashes.filter((one) => one.digest === digest).length;
    if (ageMs > suspectRetentionMs(count)) return [];
    const run = {
      digest: digest as Digest,
      upstream: upstream as UpstreamId,
      incarnation,
      blocks: blocks === undefined ? undefined : readBlocks(blocks),
      seenAt: addMs(now, -ageMs),
      sentAt: ranMs === undefined ? undefined : addMs(now, -ranMs),
    };
    return [{ run, silent }];
  });
}

/** Whether a silent engine no longer has the response of its attempt; it has probably crashed in between. */
export function lostResponse(
  entry: RequestEntry,
  outcome: Extract<Outcome, { type: "failed" }>,
): boolean {
  const { cause } = outcome;
  return entry.reattached === true && !lacksResponse(entry, outcome) &&
    (cause === "connect_failed" || cause === "resume_failed");
}

/**
 * Whether an engine that was found alive after the connection broke doesn't know the attempt: the request has not
 * reached it, unless the engine has crashed since.
 */
export function lacksResponse(
  entry: RequestEntry,
  outcome: Extract<Outcome, { type: "failed" }>,
): boolean {
  return entry.reattached === true &&
    entry.reattachedAfter === "answer_broken" &&
    outcome.cause === "resume_failed";
}

/** Age of a reported crash by the sender's clock, as the clocks of daemons differ. */
function reportAgeMs({ body }: Envelope, { atMs }: Suspect): Millis {
  return body?.$case === "heartbeat" ? Math.max(0, body.value.atMs - atMs) : 0;
}

function suspectsOf(envelope: Envelope): readonly Suspect[] {
  const { body } = envelope;
  if (body?.$case === "heartbeat") return body.value.suspects;
  if (body?.$case !== "placeUpdate") return [];
  return body.value.suspect === undefined ? [] : [body.value.suspect];
}
