import { err, ok } from "neverthrow";
import type { UpstreamId } from "../../core/id.ts";
import { type Problem, problem } from "../../core/problem.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { ServiceAdmissions } from "./admission/service_admissions.ts";
import { type Shortage, shortageDetail } from "./admission/shortage.ts";
import { admissionLimitMs } from "./admission_limit.ts";
import type { PlacementInput } from "./candidate.ts";
import { type EnginePace, prefillMs } from "./engine_pace.ts";
import { classOf } from "./engine_time.ts";
import { engineMs } from "./engine_worth.ts";
import type { JobTracker } from "./job_tracker.ts";
import type { LongPromptQueue, PromptSubmission } from "./long_prompt_queue.ts";
import type { PoolDecision, PoolSubmission } from "./pool_decision.ts";
import { grantOf, type PoolMember } from "./pool_grant.ts";
import type { PlacementRequest, PoolGrant, PoolJob } from "./pool_job.ts";
import { noUpstreamProblem } from "./pool_refusals.ts";
import type { RateBudgets } from "./rate_budgets.ts";
import type { RoomTerms } from "./room_terms.ts";
import type { RoomDemand } from "./service_room.ts";
import type { ServiceRooms } from "./service_rooms.ts";
import type { SlowEngineDetector } from "./slow_engine_detector.ts";

/** The state that grants and refusals are recorded in. */
type PoolOutcomesParts = Readonly<{
  rooms: ServiceRooms;
  tracker: JobTracker;
  rates: RateBudgets;
  slowEngines: SlowEngineDetector;
  admissions: ServiceAdmissions;
  queue: LongPromptQueue;
}>;

/** Turns placements into grants and refusals, and records them. */
export class PoolOutcomes {
  readonly #parts: PoolOutcomesParts;

  private constructor(parts: PoolOutcomesParts) {
    this.#parts = parts;
  }

  static create(parts: PoolOutcomesParts): PoolOutcomes {
    return new PoolOutcomes(parts);
  }

  /** Refuses a prompt for want of room. */
  refuse(
    req: PromptSubmission,
    now: Timestamp,
    shortage: Shortage,
  ): PoolDecision {
    const { ask, pace, terms, members } = req;
    const code =
      shortage.room === "memory" && this.#parts.queue.get(ask.job) !== undefined
        ? "no_memory"
        : "deadline_unreachable";
    const told = this.#parts.rooms.of(ask.service).refuse({
      ...this.demandOf(ask, pace, now),
      engines: members.length,
      freeInMs: this.#freeInMs(req, shortage, now),
    }, now);
    const result = err(problem(code, shortageDetail(shortage), {
      retryAfterMs: told.inMs,
    }));
    return { ask, result, shortage, terms, told };
  }

  /** What a prompt asks of the room. */
  demandOf(
    ask: PlacementRequest,
    pace: EnginePace,
    now: Timestamp,
  ): RoomDemand {
    return {
      ask,
      promptClass: classOf(prefillMs(pace, ask.promptTokens)),
      engineMs: engineMs(ask, pace),
      waitedMs: this.#parts.admissions.of(ask.service).waitedMs(ask, now),
    };
  }

  /** Time until what is placed and queued now would let a prompt in. */
  #freeInMs(
    req: PromptSubmission,
    shortage: Shortage,
    now: Timestamp,
  ): Millis {
    const { ask, pace, terms } = req;
    const queued = this.#parts.queue.get(ask.job);
    if (queued === undefined) {
      return shortage.expectMs - admissionLimitMs(ask, pace, terms);
    }
    const { candidates } = this.inputOf(req, now);
    return this.#parts.queue.backlogMs(ask.service, candidates, now);
  }

  /** Tracks a placed job, counts it against the rate of its upstream, and grants it. */
  grant(
    job: PoolJob,
    req: PoolSubmission & Readonly<{ terms?: RoomTerms }>,
    options: Readonly<{ now: Timestamp; expectMs: Millis; savedMs?: Millis }>,
  ): PoolDecision {
    const { ask, terms } = req;
    const { now, expectMs, savedMs = 0 } = options;
    this.#parts.tracker.add(job, now);
    this.#parts.rates.charge(job.upstream, now);
    if (job.kind === "prompt") {
      // Without the saving: a part that the engine turns out not to hold is no sign that it is slow.
      this.#parts.slowEngines.expectFirstEvent(job, expectMs, now);
      this.#parts.rooms.of(ask.service).admit(ask, now);
    }
    const grant = this.grantOf(job, req, expectMs);
    const result = ok(savedMs > 0 ? { ...grant, savedMs } : grant);
    return { ask, result, terms };
  }

  /** The grant of a job that is tracked already. */
  grantOf(job: PoolJob, req: PoolSubmission, expectMs?: Millis): PoolGrant {
    const grant = grantOf(job, req, expectMs);
    return this.#parts.rates.has(job.upstream)
      ? { ...grant, counted: true }
      : grant;
  }

  /** The refusal of a request that no member may be sent now. */
  noUpstream(
    ask: PlacementRequest,
    members: readonly PoolMember[],
    now: Timestamp,
  ): Problem {
    const retryMs = this.#parts.rates.nextRetryMs(members, { ...ask, now });
    if (retryMs === 0) return noUpstreamProblem();
    return problem("no_upstream", "All upstreams have reached their rates", {
      retryAfterMs: retryMs,
    });
  }

  /** The upstreams that a request may be placed on now, with their loads. */
  inputOf(req: PoolSubmission, now: Timestamp): PlacementInput {
    const { ask } = req;
    const open = this.#parts.rates.open(req.members, now);
    const candidates = withoutFailed(open, ask.avoid).map((member) => ({
      ...member,
      load: this.#parts.tracker.loadOf(member.id),
    }));
    return { ask, candidates, now };
  }
}

/** Excludes upstreams that this request failed on, unless there are no others. */
function withoutFailed(
  members: readonly PoolMember[],
  avoid: readonly UpstreamId[],
): readonly PoolMember[] {
  const others = members.filter((member) => !avoid.includes(member.id));
  return others.length > 0 ? others : members;
}
