import { err, ok, type Result } from "neverthrow";
import type { UpstreamId, VmId } from "../../core/id.ts";
import { type Problem, problem } from "../../core/problem.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { PlacementInput } from "./candidate.ts";
import { type EnginePace, prefillMs } from "./engine_pace.ts";
import { classOf } from "./engine_time.ts";
import { engineMs } from "./engine_worth.ts";
import type { QueuedPrompt } from "./long_queue.ts";
import { LongPromptQueue, type PromptSubmission } from "./long_prompt_queue.ts";
import { placeCall } from "./place_call.ts";
import { placeLong, requiredEnginesFreeInMs } from "./place_long.ts";
import { MAX_HELPERS } from "./plan_memory.ts";
import {
  exceedsPoolMemory,
  noUpstreamProblem,
  tooLargeProblem,
} from "./pool_refusals.ts";
import { placeShort } from "./place_short.ts";
import { JobTracker } from "./job_tracker.ts";
import { admissionLimitMs } from "./admission_limit.ts";
import { PredictionError } from "./admission/prediction_error.ts";
import { ServiceAdmissions } from "./admission/service_admissions.ts";
import {
  type Shortage,
  shortageDetail,
  shortageOf,
} from "./admission/shortage.ts";
import { RateBudgets } from "./rate_budgets.ts";
import type { ToldReturn } from "./returns/return_book.ts";
import type { RoomTerms } from "./room_terms.ts";
import type { RoomDemand } from "./service_room.ts";
import { ServiceRooms } from "./service_rooms.ts";
import { SlowEngineDetector } from "./slow_engine_detector.ts";
import { grantOf, jobOf, type PoolMember } from "./pool_grant.ts";
import type {
  JobId,
  PlacementRequest,
  PoolGrant,
  PoolJob,
} from "./pool_job.ts";

/** Queued prompts that may find the engines busy in one poll; further prompts would hardly fit either. */
const MAX_BUSY_TRIES = 8;
/** Time between polls of the queue while engines are busy. */
const QUEUE_POLL_MS: Millis = 15;

/** A placement request with the upstreams that may serve it. */
export type PoolSubmission = Readonly<{
  ask: PlacementRequest;
  members: readonly PoolMember[];
  /** Absent for plain services. */
  pace?: EnginePace;
}>;

/** The outcome of a placement request: a grant, or the reason for refusal. */
export type PoolDecision = Readonly<{
  ask: PlacementRequest;
  result: Result<PoolGrant, Problem>;
  /** Why a prompt is refused, if room is short. */
  shortage?: Shortage;
  /** Terms on which a prompt was decided. */
  terms?: RoomTerms;
  /** What the caller of a prompt that was refused for lack of room is told. */
  told?: ToldReturn;
}>;

/** Places requests on upstreams and queues long prompts until engines are free. Does no I/O and reads no clock. */
export class PoolScheduler {
  /** The room of the engines: shares of teams, and what is booked for refused callers. */
  readonly rooms = ServiceRooms.create();
  readonly tracker = JobTracker.create((job, now) =>
    this.rooms.charge(job, now)
  );
  readonly slowEngines = SlowEngineDetector.create();
  /** Predicted against seen first events of short prompts. */
  readonly predictions = PredictionError.create();
  /** Budgets for upstreams that accept a limited rate. */
  readonly rates = RateBudgets.create();
  readonly #admissions = ServiceAdmissions.create();
  readonly #queue = LongPromptQueue.create(this.#admissions);

  static create(): PoolScheduler {
    return new PoolScheduler();
  }

  /** Number of long prompts that wait for engines. */
  get queueLength(): number {
    return this.#queue.size;
  }

  /** Submits a request. Returns its decision, or undefined if it is queued and `decide` returns it later. */
  submit(req: PoolSubmission, now: Timestamp): PoolDecision | undefined {
    const { ask, pace } = req;
    const known = this.tracker.jobs.get(ask.job);
    if (known !== undefined) {
      return { ask, result: ok(this.#grantOf(known, req)) };
    }
    if (this.#queue.get(ask.job) !== undefined) return undefined;
    if (req.members.length === 0) {
      return { ask, result: err(noUpstreamProblem()) };
    }
    if (ask.kind === "call" || pace === undefined) {
      return this.#placeCall(req, now);
    }
    const demand = this.#demandOf(ask, pace, now);
    const { promptClass } = demand;
    this.#admissions.of(ask.service).offer(ask, now, { pace, promptClass });
    const terms = this.rooms.of(ask.service).request(demand, now);
    const prompt = { ...req, pace, terms };
    if (promptClass === "short") return this.#placeShort(prompt, now);
    if (this.rates.openForSplit(req.members, now).length === 0) {
      return { ask, result: err(this.#noUpstream(ask, req.members, now)) };
    }
    if (exceedsPoolMemory(ask, pace, req.members.length)) {
      return { ask, result: err(tooLargeProblem()) };
    }
    this.#queue.add(prompt, now);
    return undefined;
  }

  /** Places queued prompts as far as engines are free, and refuses prompts that can't be served in time. */
  decide(
    now: Timestamp,
    members: (ask: PlacementRequest) => readonly PoolMember[],
  ): readonly PoolDecision[] {
    const decisions: PoolDecision[] = [];
    // Backfill: while a prompt waits for engines, later prompts may use them only until enough are free for it.
    let backfillMs = Infinity;
    let busyTries = 0;
    let aheadMs: Millis | undefined;
    const candidatesOf = (req: PromptSubmission) =>
      this.#inputOf(req, now).candidates;
    for (
      const { prompt, shed, closed } of this.#queue.plan(now, candidatesOf)
    ) {
      const queued = this.#queue.get(prompt.job)!;
      const { ask, pace } = queued;
      const listed = members(ask);
      const open = this.rates.openForSplit(listed, now);
      const req = { ...queued, members: open };
      aheadMs ??= this.#totalBacklogMs(open, now);
      const finishesInMs = (aheadMs + prompt.prefillMs) / open.length;
      let decision: PoolDecision | undefined;
      if (open.length === 0) {
        decision = { ask, result: err(this.#noUpstream(ask, listed, now)) };
      } else if (shed) {
        const expectMs = finishesInMs;
        decision = this.#refuse(req, now, { room: "queue", expectMs });
      } else if (busyTries < MAX_BUSY_TRIES) {
        decision = this.#placeLong(req, prompt, { now, backfillMs, closed });
      }
      if (
        decision === undefined && addMs(now, finishesInMs) > prompt.timeoutAt
      ) {
        const expectMs = finishesInMs;
        decision = this.#refuse(req, now, { room: "queue", expectMs });
      }
      if (decision === undefined) {
        busyTries += 1;
        aheadMs += prompt.prefillMs;
        // After the last attempt no prompt is placed, so the limit is not needed.
        if (busyTries < MAX_BUSY_TRIES) {
          const input = { ...this.#inputOf(req, now), pace };
          backfillMs = Math.min(backfillMs, requiredEnginesFreeInMs(input));
        }
        continue;
      }
      this.#queue.delete(ask.job);
      const placed = decision.result.isOk();
      this.#admissions.of(ask.service).decided(ask, placed, now);
      decisions.push(decision);
    }
    return decisions;
  }

  /** When to call `decide` again; undefined if the queue is empty. */
  nextPollAt(now: Timestamp): Timestamp | undefined {
    return this.#queue.size === 0 ? undefined : addMs(now, QUEUE_POLL_MS);
  }

  /** Records a request's first event. */
  started(job: JobId, now: Timestamp): void {
    this.slowEngines.firstEventReceived(job, now);
    this.tracker.started(job, now);
    this.predictions.seen(job, now);
  }

  /** Removes a request that is queued or placed. */
  withdraw(job: JobId, now: Timestamp): void {
    this.#queue.delete(job);
    this.slowEngines.removeJob(job);
    this.predictions.forget(job);
    this.tracker.ended(job, now);
  }

  /** Removes the queued and placed requests of a daemon. */
  removeDaemon(vm: VmId, now: Timestamp): void {
    this.#queue.removeDaemon(vm);
    this.tracker.removeDaemon(vm, now);
  }

  #placeLong(
    req: PromptSubmission,
    prompt: QueuedPrompt,
    options: Readonly<{
      now: Timestamp;
      backfillMs: Millis;
      closed?: ReadonlySet<UpstreamId> | undefined;
    }>,
  ): PoolDecision | undefined {
    const { now, backfillMs } = options;
    const { ask, pace } = req;
    const input = { ...this.#inputOf(req, now), pace };
    const admission = this.#admissions.of(ask.service);
    const placement = placeLong(input, {
      dueInMs: prompt.dueAt - now,
      timeoutInMs: Math.min(prompt.timeoutAt - now, backfillMs),
      shortEngines: options.closed ??
        admission.shortEngines(input.candidates, now),
    });
    if (placement === "busy" || placement === "no_memory") {
      const engines = Math.min(req.members.length, MAX_HELPERS + 1);
      const expectMs = prompt.prefillMs / engines;
      if (now + expectMs < prompt.timeoutAt) return undefined;
      const room = placement === "busy" ? "queue" : "memory";
      return this.#refuse(req, now, { room, expectMs });
    }
    const { engine, helpers, tickets, partMs, expectMs } = placement;
    const job = jobOf(ask, now, {
      upstream: engine.id,
      partMs,
      engineMs: engineMs(ask, pace),
      helpers: helpers.map((member) => member.id),
      tickets,
    });
    return this.#grant(job, req, { now, expectMs });
  }

  /** Sum of the prefill time left on all engines. */
  #totalBacklogMs(members: readonly PoolMember[], now: Timestamp): Millis {
    let sum = 0;
    for (const { id } of members) sum += this.tracker.loadOf(id).backlogMs(now);
    return sum;
  }

  /** Refuses a prompt for want of room. */
  #refuse(
    req: PromptSubmission,
    now: Timestamp,
    shortage: Shortage,
  ): PoolDecision {
    const { ask, pace, terms, members } = req;
    const code =
      shortage.room === "memory" && this.#queue.get(ask.job) !== undefined
        ? "no_memory"
        : "deadline_unreachable";
    const told = this.rooms.of(ask.service).refuse({
      ...this.#demandOf(ask, pace, now),
      engines: members.length,
      freeInMs: this.#freeInMs(req, shortage, now),
    }, now);
    const result = err(problem(code, shortageDetail(shortage), {
      retryAfterMs: told.inMs,
    }));
    return { ask, result, shortage, terms, told };
  }

  #demandOf(
    ask: PlacementRequest,
    pace: EnginePace,
    now: Timestamp,
  ): RoomDemand {
    return {
      ask,
      promptClass: classOf(prefillMs(pace, ask.promptTokens)),
      engineMs: engineMs(ask, pace),
      waitedMs: this.#admissions.of(ask.service).waitedMs(ask, now),
    };
  }

  /** Time until what is placed and queued now would let a prompt in. */
  #freeInMs(
    req: PromptSubmission,
    shortage: Shortage,
    now: Timestamp,
  ): Millis {
    const { ask, pace, terms } = req;
    const queued = this.#queue.get(ask.job);
    if (queued === undefined) {
      return shortage.expectMs - admissionLimitMs(ask, pace, terms);
    }
    const { candidates } = this.#inputOf(queued, now);
    return this.#queue.backlogMs(ask.service, candidates, now);
  }

  #placeShort(req: PromptSubmission, now: Timestamp): PoolDecision {
    const { ask, pace, terms } = req;
    const input = { ...this.#inputOf(req, now), pace };
    const admission = this.#admissions.of(ask.service);
    const shortEngines = admission.shortEngines(input.candidates, now);
    const { marginMs } = this.predictions;
    const placement = placeShort(input, {
      marginMs,
      shortEngines: terms.isDue ? undefined : shortEngines,
      terms,
    });
    if (placement === undefined) {
      return { ask, result: err(this.#noUpstream(ask, req.members, now)) };
    }
    const { engine, expectMs, savedMs, lacks } = placement;
    if (lacks !== undefined && lacks !== "team_share") admission.lacked(now);
    const room = shortageOf(ask, pace, {
      ...placement,
      terms,
      isCrest: shortEngines !== undefined,
    });
    if (room !== undefined) {
      admission.refused(ask, now);
      return this.#refuse(req, now, { room, expectMs });
    }
    const job = jobOf(ask, now, {
      upstream: engine.id,
      partMs: prefillMs(pace, ask.promptTokens),
      engineMs: engineMs(ask, pace),
    });
    this.predictions.expect(job.id, addMs(now, expectMs - savedMs));
    return this.#grant(job, req, { now, expectMs, savedMs });
  }

  #placeCall(req: PoolSubmission, now: Timestamp): PoolDecision {
    const { ask } = req;
    const placement = placeCall(this.#inputOf(req, now));
    if (placement === undefined) {
      return { ask, result: err(this.#noUpstream(ask, req.members, now)) };
    }
    const { instance, expectMs } = placement;
    const job = jobOf(ask, now, { upstream: instance.id, partMs: 0 });
    return this.#grant(job, req, { now, expectMs });
  }

  /** Tracks a placed job, counts it against the rate of its upstream, and grants it. */
  #grant(
    job: PoolJob,
    req: PoolSubmission & Readonly<{ terms?: RoomTerms }>,
    options: Readonly<{ now: Timestamp; expectMs: Millis; savedMs?: Millis }>,
  ): PoolDecision {
    const { ask, terms } = req;
    const { now, expectMs, savedMs = 0 } = options;
    this.tracker.add(job, now);
    this.rates.charge(job.upstream, now);
    if (job.kind === "prompt") {
      // Without the saving: a part that the engine turns out not to hold is no sign that it is slow.
      this.slowEngines.expectFirstEvent(job, expectMs, now);
      this.rooms.of(ask.service).admit(ask, now);
    }
    const grant = this.#grantOf(job, req, expectMs);
    const result = ok(savedMs > 0 ? { ...grant, savedMs } : grant);
    return { ask, result, terms };
  }

  #grantOf(job: PoolJob, req: PoolSubmission, expectMs?: Millis): PoolGrant {
    const grant = grantOf(job, req, expectMs);
    return this.rates.has(job.upstream) ? { ...grant, counted: true } : grant;
  }

  /** The refusal of a request that no member may be sent now. */
  #noUpstream(
    ask: PlacementRequest,
    members: readonly PoolMember[],
    now: Timestamp,
  ): Problem {
    const retryMs = this.rates.nextRetryMs(members, { ...ask, now });
    if (retryMs === 0) return noUpstreamProblem();
    return problem("no_upstream", "All upstreams have reached their rates", {
      retryAfterMs: retryMs,
    });
  }

  #inputOf(req: PoolSubmission, now: Timestamp): PlacementInput {
    const { ask } = req;
    const open = this.rates.open(req.members, now);
    const candidates = withoutFailed(open, ask.avoid).map((member) => ({
      ...member,
      load: this.tracker.loadOf(member.id),
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
