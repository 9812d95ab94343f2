import { err, ok } from "neverthrow";
import type { UpstreamId, VmId } from "../../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import { prefillMs } from "./engine_pace.ts";
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
import type { PoolDecision, PoolSubmission } from "./pool_decision.ts";
import { PoolOutcomes } from "./pool_outcomes.ts";
import { JobTracker } from "./job_tracker.ts";
import { PredictionError } from "./admission/prediction_error.ts";
import { ServiceAdmissions } from "./admission/service_admissions.ts";
import { shortageOf } from "./admission/shortage.ts";
import { RateBudgets } from "./rate_budgets.ts";
import { ServiceRooms } from "./service_rooms.ts";
import { SlowEngineDetector } from "./slow_engine_detector.ts";
import { jobOf, type PoolMember } from "./pool_grant.ts";
import type { JobId, PlacementRequest } from "./pool_job.ts";

/** Queued prompts that may find the engines busy in one poll; further prompts would hardly fit either. */
const MAX_BUSY_TRIES = 8;
/** Time between polls of the queue while engines are busy. */
const QUEUE_POLL_MS: Millis = 15;

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
  readonly #outcomes = PoolOutcomes.create({
    rooms: this.rooms,
    tracker: this.tracker,
    rates: this.rates,
    slowEngines: this.slowEngines,
    admissions: this.#admissions,
    queue: this.#queue,
  });

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
      return { ask, result: ok(this.#outcomes.grantOf(known, req)) };
    }
    if (this.#queue.get(ask.job) !== undefined) return undefined;
    if (req.members.length === 0) {
      return { ask, result: err(noUpstreamProblem()) };
    }
    if (ask.kind === "call" || pace === undefined) {
      return this.#placeCall(req, now);
    }
    const demand = this.#outcomes.demandOf(ask, pace, now);
    const { promptClass } = demand;
    this.#admissions.of(ask.service).offer(ask, now, { pace, promptClass });
    const terms = this.rooms.of(ask.service).request(demand, now);
    const prompt = { ...req, pace, terms };
    if (promptClass === "short") return this.#placeShort(prompt, now);
    if (this.rates.openForSplit(req.members, now).length === 0) {
      return {
        ask,
        result: err(this.#outcomes.noUpstream(ask, req.members, now)),
      };
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
    // The upstreams of now: some may have left, or been evacuated, since the prompt was queued.
    const candidatesOf = (req: PromptSubmission) =>
      this.#outcomes.inputOf({ ...req, members: members(req.ask) }, now)
        .candidates;
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
        decision = {
          ask,
          result: err(this.#outcomes.noUpstream(ask, listed, now)),
        };
      } else if (shed) {
        const expectMs = finishesInMs;
        decision = this.#outcomes.refuse(req, now, { room: "queue", expectMs });
      } else if (busyTries < MAX_BUSY_TRIES) {
        decision = this.#placeLong(req, prompt, { now, backfillMs, closed });
      }
      if (
        decision === undefined && addMs(now, finishesInMs) > prompt.timeoutAt
      ) {
        const expectMs = finishesInMs;
        decision = this.#outcomes.refuse(req, now, { room: "queue", expectMs });
      }
      if (decision === undefined) {
        busyTries += 1;
        aheadMs += prompt.prefillMs;
        // After the last attempt no prompt is placed, so the limit is not needed.
        if (busyTries < MAX_BUSY_TRIES) {
          const input = { ...this.#outcomes.inputOf(req, now), pace };
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
    const input = { ...this.#outcomes.inputOf(req, now), pace };
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
      return this.#outcomes.refuse(req, now, { room, expectMs });
    }
    const { engine, helpers, tickets, partMs, expectMs } = placement;
    const job = jobOf(ask, now, {
      upstream: engine.id,
      partMs,
      engineMs: engineMs(ask, pace),
      helpers: helpers.map((member) => member.id),
      tickets,
    });
    return this.#outcomes.grant(job, req, { now, expectMs });
  }

  /** Sum of the prefill time left on all engines. */
  #totalBacklogMs(members: readonly PoolMember[], now: Timestamp): Millis {
    let sum = 0;
    for (const { id } of members) sum += this.tracker.loadOf(id).backlogMs(now);
    return sum;
  }

  #placeShort(req: PromptSubmission, now: Timestamp): PoolDecision {
    const { ask, pace, terms } = req;
    const input = { ...this.#outcomes.inputOf(req, now), pace };
    const admission = this.#admissions.of(ask.service);
    const shortEngines = admission.shortEngines(input.candidates, now);
    const { marginMs } = this.predictions;
    const placement = placeShort(input, {
      marginMs,
      shortEngines: terms.isDue ? undefined : shortEngines,
      terms,
    });
    if (placement === undefined) {
      return {
        ask,
        result: err(this.#outcomes.noUpstream(ask, req.members, now)),
      };
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
      return this.#outcomes.refuse(req, now, { room, expectMs });
    }
    const job = jobOf(ask, now, {
      upstream: engine.id,
      partMs: prefillMs(pace, ask.promptTokens),
      engineMs: engineMs(ask, pace),
    });
    this.predictions.expect(job.id, addMs(now, expectMs - savedMs));
    return this.#outcomes.grant(job, req, { now, expectMs, savedMs });
  }

  #placeCall(req: PoolSubmission, now: Timestamp): PoolDecision {
    const { ask } = req;
    const placement = placeCall(this.#outcomes.inputOf(req, now));
    if (placement === undefined) {
      return {
        ask,
        result: err(this.#outcomes.noUpstream(ask, req.members, now)),
      };
    }
    const { instance, expectMs } = placement;
    const job = jobOf(ask, now, { upstream: instance.id, partMs: 0 });
    return this.#outcomes.grant(job, req, { now, expectMs });
  }
}
