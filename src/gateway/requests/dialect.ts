import type { Result } from "neverthrow";
import type {
  PromptPartId,
  RequestId,
  TeamId,
  UpstreamId,
} from "../../core/id.ts";
import type { LeadingPart } from "../../scheduling/held/leading_parts.ts";
import type { UpstreamAvailability } from "./upstream_availability.ts";
import type { Problem } from "../../core/problem.ts";
import type { Millis } from "../../core/time.ts";

/** Decoded head of a client's request. */
export type RequestHead = Readonly<{
  id: RequestId;
  method: string;
  host: string;
  /** Path and query, unchanged. */
  path: string;
  key?: string;
  /** Time until the client's deadline. */
  leftMs?: Millis;
  promptTokens: number;
  /** Expected length of the response. */
  answerTokens: number;
  /** Parts of the prompt that other requests may share, in order, without duplicates. */
  sharedParts: readonly PromptPartId[];
  /** Parts of the prompt from its start, with their sizes, as far as these are known. */
  leadingParts?: readonly LeadingPart[];
  /** Id of the last event that the client received, if it resumes a stream. */
  lastEventId?: string;
  /** Headers to forward, as alternating names and values. */
  headers: readonly string[];
}>;

/** Data about one attempt that is sent to the upstream as headers. */
export type AttemptHead = Readonly<{
  /** The only upstream that may run the attempt. */
  upstream: UpstreamId;
  team?: TeamId;
  leftMs: Millis;
  priority?: number;
  /** Engines that prefill a part, in order; those with a ticket have memory reserved. */
  helpers: readonly Readonly<{ address: string; ticket?: string }>[];
  lastEventId?: string;
  bodyBytes?: number;
}>;

/** Decoded head of an upstream's response. */
export type ResponseHead = Readonly<{
  /** Id of the request that the response belongs to, as stated by the upstream. */
  requestId?: string;
  /** Whether it carries the upstream's digest. */
  hasDigest: boolean;
  /** Whether the upstream states that it has not run the request. */
  notRun: boolean;
  /** Whether the address now belongs to another upstream (421). */
  misdirected: boolean;
  /** Address of the upstream at fault, if it is not the one that responded. */
  culprit?: string;
  retryAfterMs?: Millis;
  availability: UpstreamAvailability;
  /** Whether the body is a stream of events. */
  isEventStream: boolean;
  /** Headers to forward, as alternating names and values. */
  headers: readonly string[];
}>;

/** Wire format of requests from clients and to upstreams. */
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
