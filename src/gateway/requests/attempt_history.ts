import type { UpstreamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import { joinVerdicts, type Verdict } from "../../core/verdict.ts";
import {
  type AttemptFailure,
  decideRetry,
  type RetryDecision,
} from "./retry_policy.ts";
import { isRepeatable, type Route } from "../serving/serving_config.ts";

/** Attempts at one request so far, and the decisions that follow from them. */
export class AttemptHistory {
  readonly #route: Route;
  readonly #failedUpstreams: UpstreamId[] = [];
  #placed = 0;
  #possibleRuns = 0;
  #verdict: Verdict = "not_run";

  private constructor(route: Route) {
    this.#route = route;
  }

  static create(route: Route): AttemptHistory {
    return new AttemptHistory(route);
  }

  /** Attempts that were placed. */
  get placed(): number {
    return this.#placed;
  }

  /** Upstreams on which attempts failed. */
  get failedUpstreams(): readonly UpstreamId[] {
    return this.#failedUpstreams;
  }

  /** Joined verdict of all attempts. */
  get verdict(): Verdict {
    return this.#verdict;
  }

  /** Counts another placed attempt; returns its number. */
  countPlacement(): number {
    this.#placed += 1;
    return this.#placed;
  }

  /** Joins the verdict of an attempt with the others. */
  mergeVerdict(verdict: Verdict): void {
    this.#verdict = joinVerdicts(this.#verdict, verdict);
  }

  /** Records a failed attempt, and decides whether to retry. */
  recordFailure(
    failure: AttemptFailure,
    options: Readonly<{ leftMs: Millis; upstream?: UpstreamId }>,
  ): RetryDecision {
    const { leftMs, upstream } = options;
    if (failure.verdict !== "not_run") this.#possibleRuns += 1;
    if (upstream !== undefined) this.#failedUpstreams.push(upstream);
    this.mergeVerdict(failure.verdict);
    return this.#decide(failure, this.#possibleRuns, leftMs);
  }

  /** Whether a 5xx response of an upstream would lead to a retry. */
  mayRetryUpstreamError(leftMs: Millis): boolean {
    const failure: AttemptFailure = {
      cause: "upstream_refused",
      verdict: "ran",
      detail: "",
      upstreamAtFault: false,
    };
    return isRepeatable(this.#route) &&
      this.#decide(failure, this.#possibleRuns + 1, leftMs).type === "retry";
  }

  #decide(
    failure: AttemptFailure,
    possibleRuns: number,
    leftMs: Millis,
  ): RetryDecision {
    const state = { placed: this.#placed, possibleRuns: possibleRuns, leftMs };
    return decideRetry(this.#route, failure, state);
  }
}
