import type { UpstreamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import { joinVerdicts, type Verdict } from "../../core/verdict.ts";
import {
  type AttemptFailure,
  decideRetry,
  type RetryDecision,
} from "./retry_rule.ts";
import { isRepeatable, type Route } from "../serving/serving_config.ts";

/** What was tried so far for one request, and what follows from it. */
export class TryHistory {
  readonly #route: Route;
  readonly #failedOn: UpstreamId[] = [];
  #placed = 0;
  #runs = 0;
  #verdict: Verdict = "not_run";

  private constructor(route: Route) {
    this.#route = route;
  }

  static create(route: Route): TryHistory {
    return new TryHistory(route);
  }

  /** Attempts that were placed. */
  get placed(): number {
    return this.#placed;
  }

  /** Upstreams that failed this request. */
  get failedOn(): readonly UpstreamId[] {
    return this.#failedOn;
  }

  /** What may have run of all attempts. */
  get verdict(): Verdict {
    return this.#verdict;
  }

  /** Counts another attempt; returns its number. */
  place(): number {
    this.#placed += 1;
    return this.#placed;
  }

  /** Notes that something may have run. */
  weaken(verdict: Verdict): void {
    this.#verdict = joinVerdicts(this.#verdict, verdict);
  }

  /** Applies a failed attempt, and decides what follows. */
  fail(
    failure: AttemptFailure,
    options: Readonly<{ leftMs: Millis; upstream?: UpstreamId }>,
  ): RetryDecision {
    const { leftMs, upstream } = options;
    if (failure.verdict !== "not_run") this.#runs += 1;
    if (upstream !== undefined) this.#failedOn.push(upstream);
    this.weaken(failure.verdict);
    return this.#decide(failure, this.#runs, leftMs);
  }

  /** Whether an upstream's own failure would be tried elsewhere. */
  mayReplaceFailure(leftMs: Millis): boolean {
    const failure: AttemptFailure = {
      cause: "upstream_refused",
      verdict: "ran",
      detail: "",
      blamed: false,
    };
    return isRepeatable(this.#route) &&
      this.#decide(failure, this.#runs + 1, leftMs).type === "retry";
  }

  #decide(
    failure: AttemptFailure,
    runs: number,
    leftMs: Millis,
  ): RetryDecision {
    const tries = { placed: this.#placed, runs, leftMs };
    return decideRetry(this.#route, failure, tries);
  }
}
