import type { Digest, RequestId, UpstreamId } from "../core/id.ts";
import type { Attempt, RanUnder, Request, Weights } from "../core/request.ts";
import type { Refusal, Retry } from "../core/reason.ts";
import type { Verdict } from "../core/verdict.ts";

/** Stage of a request: waiting for a claim or a placement, running, or forwarded to the daemon that issued its key. */
export type RequestState = "claiming" | "placing" | "running" | "forwarded";

/** A request that was admitted and has not ended. */
export type RequestEntry = {
  readonly req: Request;
  readonly ranUnder: RanUnder;
  readonly weights?: Weights;
  /** Whether the call may run at most once. */
  readonly once: boolean;
  state: RequestState;
  attempt: Attempt | undefined;
  attempts: number;
  /** Number of the placement round; incremented for each placement request. */
  round: number;
  /** Upstreams that have failed this request. */
  excluded: UpstreamId[];
  /** Tokens that the client has received. */
  tokens: number;
  /** Combined verdict of all earlier attempts. */
  verdict: Verdict;
  /** Whether this daemon has the prompt, so that it can run again from the start. */
  readonly replayable: boolean;
  /** Whether the daemon has already reconnected to the running attempt. */
  reattached?: boolean;
  /** Why it last reconnected. */
  reattachedAfter?: Retry;
};

/** An ended request and its result, to be recorded. */
export type RequestEnd = Readonly<{
  entry: RequestEntry;
  result: Readonly<{
    end: "ok" | "recorded" | "forwarded" | Refusal;
    verdict: Verdict;
    tokens?: number;
    answerDigest?: Digest;
  }>;
}>;

/** Requests that this daemon serves; written by `RequestController`. */
export type RequestsSection = {
  byId: Map<RequestId, RequestEntry>;
  /** Requests that ended in the current pass of the step. */
  ended: RequestEnd[];
};

/** State at start. */
export function createRequestsSection(): RequestsSection {
  return { byId: new Map(), ended: [] };
}
