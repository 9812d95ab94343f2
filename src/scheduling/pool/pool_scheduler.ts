import { err, ok, type Result } from "neverthrow";
import type { UpstreamId, VmId } from "../../core/id.ts";
import { type Problem, problem } from "../../core/problem.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { PlacementInput } from "./candidate.ts";
import { type EnginePace, prefillMs } from "./engine_pace.ts";
import {
  backlogMs,
  orderQueue,
  type QueuedPrompt,
  queuedPromptOf,
  splitQueue,
} from "./long_queue.ts";
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
import { RefusedCallers } from "./admission/refused_callers.ts";
import { RoomShares } from "./admission/room_shares.ts";
import { SizeBalance } from "./admission/size_balance.ts";
import { engineMs, rankWeight } from "./engine_worth.ts";
import { RateBudgets } from "./rate_budgets.ts";
import { RETRY_AFTER_MS, RetryPacer } from "./retry_pacer.ts";
import { admissionLimitMs } from "./admission_limit.ts";
import { SlowEngineDetector } from "./slow_engine_detector.ts";
import { grantOf, jobOf, type PoolMember } from "./pool_grant.ts";
import type {
  JobId,
  PlacementRequest,
  PoolGrant,
  PoolJob,
} from "./pool_job.ts";

/** Longer prefills are split over several engines; this plus one pass is the pause that sensitive streams accept. */
const MAX_SHORT_PREFILL_MS: Millis = 190;
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
}>;

type QueueEntry = Readonly<{
  req: PoolSubmission & Readonly<{ pace: EnginePace }>;
  prompt: QueuedPrompt;
}>;

/** Places requests on upstreams and queues long prompts until engines are free. Does no I/O and reads no clock. */
export class PoolScheduler {
  readonly tracker = JobTracker.create();
  readonly slowEngines = SlowEngineDetector.create();
  /** Budgets for upstreams that accept a limited rate. */
  readonly rates = RateBudgets.create();
  readonly #queue = new Map<JobId, QueueEntry>();
  readonly #retryPacer = RetryPacer.create();
  readonly #shares = RoomShares.create();
  readonly #refused = RefusedCallers.create();
  readonly #sizes = SizeBalance.create();

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
      return { ask, result: ok(this.#grant(known, req)) };
    }
    if (this.#queue.has(ask.job)) return undefined;
    if (req.members.length === 0) {
      return { ask, result: err(noUpstreamProblem()) };
    }
    if (ask.kind === "call" || pace === undefined) {
      return { ask, result: this.#placeCall(req, now) };
    }
    const isShort = prefillMs(pace, ask.promptTokens) <= MAX_SHORT_PREFILL_MS;
    this.#shares.offer(isShort ? "short" : "long", now, {
      engineMs: engineMs(ask, pace),
      weight: rankWeight(ask.rank),
    });
    if (isShort) {
      return { ask, result: this.#placeShort({ ...req, pace }, now) };
    }
    if (this.rates.openForSplit(req.members, now).length === 0) {
      return { ask, result: err(this.#noUpstream(ask, req.members, now)) };
    }
    if (exceedsPoolMemory(ask, pace, req.members.length)) {
      return { ask, result: err(tooLargeProblem()) };
    }
    const waitedMs = this.#refused.waitedMs(ask.digest, now, ask.targetMs * 8);
    const prompt = queuedPromptOf(ask, pace, addMs(now, -waitedMs));
    this.#queue.set(ask.job, { req: { ...req, pace }, prompt });
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
    for (const entry of this.#orderedQueue(now)) {
      const { ask, pace } = entry.req;
      const listed = members(ask);
      const req = {
        ask,
        pace,
        members: this.rates.openForSplit(listed, now),
      };
      const { prompt } = entry;
      aheadMs ??= this.#totalBacklogMs(req.members, now);
      const finishesInMs = (aheadMs + prompt.prefillMs) / req.members.length;
      let result: Result<PoolGrant, Problem> | undefined;
      if (req.members.length === 0) {
        result = err(this.#noUpstream(ask, listed, now));
      } else if (entry.shed) {
        result = err(this.#refusal("deadline_unreachable", now));
        this.#refused.refused(ask.digest, now);
      } else if (busyTries < MAX_BUSY_TRIES) {
        result = this.#placeLong(req, prompt, { now, backfillMs });
      }
      if (
        result === undefined && addMs(now, finishesInMs) > prompt.timeoutAt
      ) {
        result = err(this.#refusal("deadline_unreachable", now));
      }
      if (result === undefined) {
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
      this.#sizes.decided(ask, result.isOk(), now);
      decisions.push({ ask, result });
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
  }

  /** Removes a request that is queued or placed. */
  withdraw(job: JobId, now: Timestamp): void {
    this.#queue.delete(job);
    this.slowEngines.removeJob(job);
    this.tracker.ended(job, now);
  }

  /** Removes the queued and placed requests of a daemon. */
  removeDaemon(vm: VmId, now: Timestamp): void {
    for (const [job, { req }] of this.#queue) {
      if (req.ask.vm === vm) this.#queue.delete(job);
    }
    this.tracker.removeDaemon(vm, now);
  }

  #queuedPrompts(): readonly QueuedPrompt[] {
    return [...this.#queue.values()].map((entry) => entry.prompt);
  }

  #orderedQueue(now: Timestamp): readonly (QueueEntry & { shed: boolean })[] {
    const [first] = this.#queue.values();
    if (first === undefined) return [];
    const entry = (prompt: QueuedPrompt, shed: boolean) => ({
      ...this.#queue.get(prompt.job)!,
      prompt,
      shed,
    });
    const { candidates } = this.#inputOf(first.req, now);
    const shortEngines = this.#shares.shortEngines(candidates, now);
    if (shortEngines === undefined) {
      const engines = this.#tolerantEngines();
      const { late } = splitQueue(this.#queuedPrompts(), { engines, now });
      if (late.length > 0) this.#shares.lacked(now);
      return orderQueue(this.#queuedPrompts(), { engines, now })
        .map((prompt) => entry(prompt, false));
    }
    const others = candidates.filter(({ id }) => !shortEngines.has(id));
    let busyMs = 0;
    for (const { load } of others) busyMs += load.backlogMs(now);
    const engines = Math.max(1, others.length);
    busyMs /= engines;
    const prompts = [...this.#queue.values()].map(({ prompt, req }) =>
      this.#sizes.isBehind(req.ask)
        ? { ...prompt, dueAt: prompt.timeoutAt, preferred: true }
        : prompt
    );
    const split = splitQueue(prompts, { engines, now, busyMs });
    if (split.late.length > 0) this.#shares.lacked(now);
    return [
      ...split.inTime.map((prompt) => entry(prompt, false)),
      ...split.late.map((prompt) => entry(prompt, true)),
    ];
  }

  /** Number of engines that prefill long prompts in parallel: those without sensitive streams, at least 1. */
  #tolerantEngines(): number {
    const [first] = this.#queue.values();
    const members = first?.req.members ?? [];
    const tolerant = members.filter(({ id }) =>
      this.tracker.loadOf(id).sensitiveStreams === 0
    );
    return Math.max(1, tolerant.length);
  }

  #placeLong(
    req: QueueEntry["req"],
    prompt: QueuedPrompt,
    options: Readonly<{ now: Timestamp; backfillMs: Millis }>,
  ): Result<PoolGrant, Problem> | undefined {
    const { now, backfillMs } = options;
    const { ask, pace } = req;
    const input = { ...this.#inputOf(req, now), pace };
    const shortEngines = this.#shares.shortEngines(input.candidates, now);
    const placement = placeLong(input, {
      shortEngines,
      dueInMs: prompt.dueAt - now,
      timeoutInMs: Math.min(prompt.timeoutAt - now, backfillMs),
    });
    if (placement === "busy" || placement === "no_memory") {
      const engines = Math.min(req.members.length, MAX_HELPERS + 1);
      if (now + prompt.prefillMs / engines < prompt.timeoutAt) return undefined;
      const code = placement === "busy" ? "deadline_unreachable" : "no_memory";
      return err(this.#refusal(code, now));
    }
    const job = jobOf(ask, now, {
      upstream: placement.engine.id,
      partMs: placement.partMs,
      helpers: placement.helpers.map((member) => member.id),
      tickets: placement.tickets,
    });
    this.#add(job, now);
    this.slowEngines.expectFirstEvent(job, placement.expectMs, now);
    return ok(this.#grant(job, req, placement.expectMs));
  }

  /** Sum of the prefill time left on all engines. */
  #totalBacklogMs(members: readonly PoolMember[], now: Timestamp): Millis {
    let sum = 0;
    for (const { id } of members) sum += this.tracker.loadOf(id).backlogMs(now);
    return sum;
  }

  #refusal(
    code: "deadline_unreachable" | "no_memory",
    now: Timestamp,
  ): Problem {
    const leftMs = backlogMs(this.#queuedPrompts(), {
      engines: this.#tolerantEngines(),
      now,
    });
    return problem(code, "The engines are not free in time", {
      retryAfterMs: Math.max(RETRY_AFTER_MS, Math.ceil(leftMs)),
    });
  }

  #placeShort(
    req: QueueEntry["req"],
    now: Timestamp,
  ): Result<PoolGrant, Problem> {
    const { ask, pace } = req;
    const input = { ...this.#inputOf(req, now), pace };
    const shortEngines = this.#shares.shortEngines(input.candidates, now);
    const placement = placeShort(input, { marginMs: 15, shortEngines });
    if (placement === undefined) {
      return err(this.#noUpstream(ask, req.members, now));
    }
    const { engine, expectMs, savedMs, lacks } = placement;
    if (lacks !== undefined) this.#shares.lacked(now);
    const limitMs = admissionLimitMs(ask, pace);
    const waitedMs = this.#refused.waitedMs(ask.digest, now, ask.targetMs * 30);
    // A prompt is not admitted for what may have been evicted by then.
    const unsavedMs = expectMs + savedMs;
    const isLate = waitedMs + unsavedMs > limitMs && shortEngines !== undefined;
    if (
      isLate || unsavedMs > limitMs ||
      (lacks !== undefined && ask.avoid.length === 0)
    ) {
      this.#refused.refused(ask.digest, now);
      return err(problem(
        "deadline_unreachable",
        `The first event is expected in ${Math.round(expectMs)} ms`,
        {
          retryAfterMs: this.#retryPacer.nextRetryMs(now, {
            leftMs: ask.leftMs,
            engines: req.members.length,
          }),
        },
      ));
    }
    // The whole prompt counts as the engine's backlog: what is not read makes room only once it is seen.
    const partMs = prefillMs(pace, ask.promptTokens);
    const job = jobOf(ask, now, { upstream: engine.id, partMs });
    this.#add(job, now);
    // A part that the engine turns out not to hold is no sign that it is slow.
    this.slowEngines.expectFirstEvent(job, unsavedMs, now);
    const grant = this.#grant(job, req, expectMs);
    return ok(savedMs > 0 ? { ...grant, savedMs } : grant);
  }

  #placeCall(req: PoolSubmission, now: Timestamp): Result<PoolGrant, Problem> {
    const placement = placeCall(this.#inputOf(req, now));
    if (placement === undefined) {
      return err(this.#noUpstream(req.ask, req.members, now));
    }
    const { instance, expectMs } = placement;
    const job = jobOf(req.ask, now, { upstream: instance.id, partMs: 0 });
    this.#add(job, now);
    return ok(this.#grant(job, req, expectMs));
  }

  /** Tracks a placed job, and counts it against the rate of its upstream. */
  #add(job: PoolJob, now: Timestamp): void {
    this.tracker.add(job, now);
    this.rates.charge(job.upstream, now);
  }

  #grant(job: PoolJob, req: PoolSubmission, expectMs?: Millis): PoolGrant {
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
