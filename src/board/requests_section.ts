import type { Digest, RequestId, UpstreamId } from "../core/id.ts";
import type { Attempt, RanUnder, Request, Weights } from "../core/request.ts";
import type { Refusal } from "../core/reason.ts";
import type { Verdict } from "../core/verdict.ts";

/** How far a request is: waiting for a claim or a place, running, or sent to its key's home. */
export type RequestState = "claiming" | "placing" | "running" | "forwarded";

/** A request that was admitted and has not ended. */
export type RequestEntry = {
  readonly req: Request;
  readonly ranUnder: RanUnder;
  readonly weights?: Weights;
  /** Whether it may run at most once. */
  readonly once: boolean;
  state: RequestState;
  attempt: Attempt | undefined;
  attempts: number;
  /** Grows each time a place is asked for. */
  round: number;
  /** Upstreams that have failed this request. */
  excluded: UpstreamId[];
  /** Tokens that the client has received. */
  tokens: number;
  /** All earlier attempts taken together. */
  verdict: Verdict;
  /** Whether the prompt is at hand, so that it can run again from its start. */
  readonly replayable: boolean;
  /** Whether the attempt has been connected to a second time already. */
  reattached?: boolean;
};

/** How a request has ended, for the record. */
export type RequestEnd = Readonly<{
  entry: RequestEntry;
  result: Readonly<{
    end: "ok" | "recorded" | "forwarded" | Refusal;
    verdict: Verdict;
    tokens?: number;
    answerDigest?: Digest;
  }>;
}>;

/** Requests that this daemon is answering; written by `RequestController`. */
export type RequestsSection = {
  byId: Map<RequestId, RequestEntry>;
  /** Requests that ended in the present pass of the step. */
  ended: RequestEnd[];
};

/** A daemon's view at its start. */
export function createRequestsSection(): RequestsSection {
  return { byId: new Map(), ended: [] };
}
