import type { UpstreamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import { joinVerdicts, type Verdict } from "../../core/verdict.ts";
import {
  type AttemptFailure,
  decideRetry,
  type RetryDecision,
} from "./retry_policy.ts";
import { isRepeatable, type Route } from "../serving/serving.ts";

/** What was tried so far for one request, and what follows from it. */
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

  /** Upstreams that failed this request. */
  get failedUpstreams(): readonly UpstreamId[] {
    return this.#failedUpstreams;
  }

  /** What may have run of all attempts. */
  get verdict(): Verdict {
    return this.#verdict;
  }

  /** Counts another attempt; returns its number. */
  countPlacement(): number {
    this.#placed += 1;
    return this.#placed;
  }

  /** Notes that something may have run. */
  mergeVerdict(verdict: Verdict): void {
    this.#verdict = joinVerdicts(this.#verdict, verdict);
  }

  /** Applies a failed attempt, and decides what follows. */
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

  /** Whether an upstream's own failure would be tried elsewhere. */
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
