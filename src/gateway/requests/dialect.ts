import type { Result } from "neverthrow";
import type { RequestId, TeamId, UpstreamId } from "../../core/id.ts";
import type { UpstreamAvailability } from "./upstream_availability.ts";
import type { Problem } from "../../core/problem.ts";
import type { Millis } from "../../core/time.ts";

/** The head of a client's request, decoded. */
export type RequestHead = Readonly<{
  id: RequestId;
  method: string;
  host: string;
  /** Path and query, unchanged. */
  path: string;
  key?: string;
  /** How long the client will wait. */
  leftMs?: Millis;
  promptTokens: number;
  /** Tokens that the answer is expected to have. */
  answerTokens: number;
  /** The last event that the client has, where it resumes a stream. */
  lastEventId?: string;
  /** Names and values to be passed on, one after the other. */
  headers: readonly string[];
}>;

/** What the system tells an upstream about one attempt. */
export type AttemptHead = Readonly<{
  /** The only upstream that may run the attempt. */
  upstream: UpstreamId;
  team?: TeamId;
  leftMs: Millis;
  priority?: number;
  /** Engines that prefill a part, in order; those with a ticket hold memory. */
  helpers: readonly Readonly<{ address: string; ticket?: string }>[];
  lastEventId?: string;
  bodyBytes?: number;
}>;

/** The head of an upstream's answer, decoded. */
export type ResponseHead = Readonly<{
  /** The request that it answers, as the upstream says. */
  requestId?: string;
  /** Whether it bears the upstream's digest. */
  hasDigest: boolean;
  /** Whether the upstream says that it has not run the request. */
  notRun: boolean;
  /** Whether another upstream has the address by now. */
  misdirected: boolean;
  /** Address of the upstream at fault, where that is another one. */
  culprit?: string;
  retryAfterMs?: Millis;
  availability: UpstreamAvailability;
  /** Whether the body is a stream of events. */
  isEventStream: boolean;
  /** Names and values to be passed on, one after the other. */
  headers: readonly string[];
}>;

/** The wire format that clients and upstreams speak. */
export abstract class Dialect {
  abstract decodeRequest(
    method: string,
    url: string,
    rawHeaders: readonly string[],
  ): Result<RequestHead, Problem>;
  abstract encodeAttempt(head: RequestHead, attempt: AttemptHead): string[];
  abstract decodeResponse(
    status: number,
    rawHeaders: readonly string[],
  ): ResponseHead;
}
