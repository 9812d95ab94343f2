import type { UpstreamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import { joinVerdicts, type Verdict } from "../../core/verdict.ts";
import {
  type AttemptFailure,
  decideRetry,
  type RetryDecision,
} from "./retry_policy.ts";
import { isRepeatable, type Route } from "../serving/serving_config.ts";

/** Why no other attempt may take the place of a silent one. */
export type ReplacementObstacle =
  | "committed"
  | "max_attempts"
  | "no_other"
  | "no_time"
  | "retry_budget";

/** Attempts at one request so far, and the decisions that follow from them. */
export class AttemptHistory {
  readonly #route: Route;
  readonly #failedUpstreams: UpstreamId[] = [];
  #placed = 0;
  #lastNumber = 0;
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

  /** Failed attempts that may have run. */
  get possibleRuns(): number {
    return this.#possibleRuns;
  }

  /** Upstreams on which attempts failed. */
  get failedUpstreams(): readonly UpstreamId[] {
    return this.#failedUpstreams;
  }

  /** Joined verdict of all attempts. */
  get verdict(): Verdict {
    return this.#verdict;
  }

  /** Counts another placed attempt; returns a number that no other one has. */
  countPlacement(): number {
    this.#placed += 1;
    this.#lastNumber += 1;
    return this.#lastNumber;
  }

  /** Takes back a placement, as the attempt before it goes on. */
  dropPlacement(): void {
    this.#placed -= 1;
  }

  /** Joins the verdict of an attempt with the others. */
  mergeVerdict(verdict: Verdict): void {
    this.#verdict = joinVerdicts(this.#verdict, verdict);
  }

  /** Records a failed attempt, and decides whether to retry. */
  recordFailure(
    failure: AttemptFailure,
    options: Readonly<{
      leftMs: Millis;
      upstream?: UpstreamId;
      /** Whether the last placement is of the next attempt already. */
      seeking?: boolean;
    }>,
  ): RetryDecision {
    const { leftMs, upstream, seeking = false } = options;
    if (failure.verdict !== "not_run") this.#possibleRuns += 1;
    if (upstream !== undefined) this.#failedUpstreams.push(upstream);
    this.mergeVerdict(failure.verdict);
    const placed = this.#placed - (seeking ? 1 : 0);
    const possibleRuns = this.#possibleRuns;
    return decideRetry(this.#route, failure, { placed, possibleRuns, leftMs });
  }

  /** Why a silent attempt may not be replaced, by the attempts so far and the time left. */
  replacementObstacle(
    leftMs: Millis,
    options: Readonly<{ seeking: boolean }>,
  ): ReplacementObstacle | undefined {
    const decision = this.#decideAfter("may_have_run", leftMs, options);
    if (decision.type === "retry") return undefined;
    return decision.code === "deadline_exceeded" ? "no_time" : "max_attempts";
  }

  /** Whether a 5xx response of an upstream would lead to a retry. */
  mayRetryUpstreamError(leftMs: Millis): boolean {
    return isRepeatable(this.#route) &&
      this.#decideAfter("ran", leftMs).type === "retry";
  }

  /** The decision if the running attempt ended with a verdict. */
  #decideAfter(
    verdict: Verdict,
    leftMs: Millis,
    options: Readonly<{ seeking?: boolean }> = {},
  ): RetryDecision {
    return decideRetry(this.#route, { verdict }, {
      placed: this.#placed - (options.seeking === true ? 1 : 0),
      possibleRuns: this.#possibleRuns + 1,
      leftMs,
    });
  }
}
