import { err, ok, type Result } from "neverthrow";
import type { UpstreamId, VmId } from "../../core/id.ts";
import { type Problem, problem } from "../../core/problem.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import { askTimeoutMs } from "./caller_timeout.ts";
import type { Choice } from "./candidate.ts";
import { type EnginePace, passMs, prefillMs } from "./engine_pace.ts";
import { backlogMs, type LongWaiter, orderQueue } from "./long_queue.ts";
import { placeCall } from "./place_call.ts";
import { freeInMs, placeLong } from "./place_long.ts";
import { MAX_HELPERS, MEMORY_SHARE } from "./plan_memory.ts";
import { placeShort } from "./place_short.ts";
import { PoolAccounts } from "./pool_accounts.ts";
import { RETRY_AFTER_MS, ReturnTimes } from "./return_times.ts";
import { shortLimitMs } from "./short_limit.ts";
import { SlowWatch } from "./slow_watch.ts";
import { grantOf, jobOf, type PoolMember } from "./pool_grant.ts";
import type { JobId, PoolAsk, PoolGrant } from "./pool_job.ts";

/** Prompts with a longer prefill are split over several engines; with a pass it is what sensitive streams bear. */
const LONG_PREFILL_MS: Millis = 190;
/** Waiting prompts that are tried in one look and find engines busy; further ones would hardly fare better. */
const MAX_TRIES = 8;
/** Time between looks at the queue while engines are busy. */
const LOOK_MS: Millis = 15;

/** A request for a place, with what may serve it. */
export type PoolRequest = Readonly<{
  ask: PoolAsk;
  members: readonly PoolMember[];
  /** Absent for plain services. */
  pace?: EnginePace;
}>;

/** The outcome of a request for a place. */
export type PoolDecision = Readonly<{
  ask: PoolAsk;
  result: Result<PoolGrant, Problem>;
}>;

type Waiting = Readonly<{
  req: PoolRequest & Readonly<{ pace: EnginePace }>;
  waiter: LongWaiter;
}>;

/** Chooses places, and lets long prompts wait for engines; it does no I/O and reads no clock. */
export class PoolScheduler {
  readonly accounts = PoolAccounts.create();
  readonly slowWatch = SlowWatch.create();
  readonly #waiting = new Map<JobId, Waiting>();
  readonly #returns = ReturnTimes.create();

  static create(): PoolScheduler {
    return new PoolScheduler();
  }

  /** Long prompts that wait for engines. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Takes a request in; its decision comes at once, or later from `decide`. */
  submit(req: PoolRequest, now: Timestamp): PoolDecision | undefined {
    const { ask, pace } = req;
    const known = this.accounts.jobs.get(ask.job);
    if (known !== undefined) return { ask, result: ok(grantOf(known, req)) };
    if (this.#waiting.has(ask.job)) return undefined;
    if (req.members.length === 0) {
      return { ask, result: err(noUpstream()) };
    }
    if (ask.kind === "call" || pace === undefined) {
      return { ask, result: this.#placeCall(req, now) };
    }
    if (prefillMs(pace, ask.promptTokens) <= LONG_PREFILL_MS) {
      return { ask, result: this.#placeShort({ ...req, pace }, now) };
    }
    if (isTooLarge(ask, pace, req.members.length)) {
      return { ask, result: err(tooLarge()) };
    }
    const waiter = waiterOf(ask, pace, now);
    this.#waiting.set(ask.job, { req: { ...req, pace }, waiter });
    return undefined;
  }

  /** Places what waits as far as engines are free, and refuses what can't be served any more. */
  decide(
    now: Timestamp,
    members: (ask: PoolAsk) => readonly PoolMember[],
  ): readonly PoolDecision[] {
    const decisions: PoolDecision[] = [];
    // Once a prompt waits for engines, others may only use them for as long as it must wait anyway.
    let roomMs = Infinity;
    let tries = 0;
    let aheadMs: Millis | undefined;
    for (const waiting of this.#inOrder(now)) {
      const { ask, pace } = waiting.req;
      const req = { ask, pace, members: members(ask) };
      const { waiter } = waiting;
      aheadMs ??= this.#readingMs(req.members, now);
      const endsInMs = (aheadMs + waiter.workMs) / req.members.length;
      let result = tries < MAX_TRIES
        ? this.#placeLong(req, waiter, { now, roomMs })
        : undefined;
      if (result === undefined && addMs(now, endsInMs) > waiter.endsAt) {
        result = err(this.#notInTime("deadline_unreachable", now));
      }
      if (result === undefined) {
        tries += 1;
        aheadMs += waiter.workMs;
        // Beyond the last try no one asks for the room any more.
        if (tries < MAX_TRIES) {
          const choice = { ...this.#choice(req, now), pace };
          roomMs = Math.min(roomMs, freeInMs(choice));
        }
        continue;
      }
      this.#waiting.delete(ask.job);
      decisions.push({ ask, result });
    }
    return decisions;
  }

  /** When to look at the queue again; nothing where it is empty. */
  nextLook(now: Timestamp): Timestamp | undefined {
    return this.#waiting.size === 0 ? undefined : addMs(now, LOOK_MS);
  }

  /** The first event of a request has come. */
  started(job: JobId, now: Timestamp): void {
    this.slowWatch.started(job, now);
    this.accounts.started(job, now);
  }

  /** Takes back a request that waits or holds a place. */
  withdraw(job: JobId, now: Timestamp): void {
    this.#waiting.delete(job);
    this.slowWatch.ended(job);
    this.accounts.ended(job, now);
  }

  /** Forgets a daemon with all that it runs or waits for. */
  forget(vm: VmId, now: Timestamp): void {
    for (const [job, { req }] of this.#waiting) {
      if (req.ask.vm === vm) this.#waiting.delete(job);
    }
    this.accounts.forget(vm, now);
  }

  #waiters(): readonly LongWaiter[] {
    return [...this.#waiting.values()].map((one) => one.waiter);
  }

  #inOrder(now: Timestamp): readonly Waiting[] {
    if (this.#waiting.size === 0) return [];
    const engines = this.#engines();
    return orderQueue(this.#waiters(), { engines, now })
      .map((one) => this.#waiting.get(one.job)!);
  }

  /** Engines that read long prompts side by side: those without streams that bear no pause. */
  #engines(): number {
    const [one] = this.#waiting.values();
    const members = one?.req.members ?? [];
    const tolerant = members.filter(({ id }) =>
      this.accounts.load(id).sensitive === 0
    );
    return Math.max(1, tolerant.length);
  }

  #placeLong(
    req: Waiting["req"],
    waiter: LongWaiter,
    options: Readonly<{ now: Timestamp; roomMs: Millis }>,
  ): Result<PoolGrant, Problem> | undefined {
    const { now, roomMs } = options;
    const { ask, pace } = req;
    if (req.members.length === 0) return err(noUpstream());
    const choice = { ...this.#choice(req, now), pace };
    const place = placeLong(choice, {
      dueInMs: waiter.dueAt - now,
      endsInMs: Math.min(waiter.endsAt - now, roomMs),
    });
    if (place === "busy" || place === "no_memory") {
      const most = Math.min(req.members.length, MAX_HELPERS + 1);
      if (now + waiter.workMs / most < waiter.endsAt) return undefined;
      const code = place === "busy" ? "deadline_unreachable" : "no_memory";
      return err(this.#notInTime(code, now));
    }
    const job = jobOf(ask, now, {
      upstream: place.engine.id,
      partMs: place.partMs,
      helpers: place.helpers.map((one) => one.id),
      tickets: place.tickets,
    });
    this.accounts.add(job, now);
    this.slowWatch.placed(job, place.expectMs, now);
    return ok(grantOf(job, req, place.expectMs));
  }

  /** Prefill time that is left on all engines together. */
  #readingMs(members: readonly PoolMember[], now: Timestamp): Millis {
    let sum = 0;
    for (const { id } of members) sum += this.accounts.load(id).waitMs(now);
    return sum;
  }

  #notInTime(
    code: "deadline_unreachable" | "no_memory",
    now: Timestamp,
  ): Problem {
    const leftMs = backlogMs(this.#waiters(), {
      engines: this.#engines(),
      now,
    });
    return problem(code, "The engines are not free in time", {
      retryAfterMs: Math.max(RETRY_AFTER_MS, Math.ceil(leftMs)),
    });
  }

  #placeShort(
    req: Waiting["req"],
    now: Timestamp,
  ): Result<PoolGrant, Problem> {
    const { ask, pace } = req;
    const place = placeShort({ ...this.#choice(req, now), pace });
    if (place === undefined) return err(noUpstream());
    const { engine, expectMs } = place;
    const limitMs = shortLimitMs(ask, pace);
    if (expectMs > limitMs) {
      return err(problem(
        "deadline_unreachable",
        `The first event is expected in ${Math.round(expectMs)} ms`,
        {
          retryAfterMs: this.#returns.next(now, {
            leftMs: ask.leftMs,
            engines: req.members.length,
          }),
        },
      ));
    }
    const partMs = prefillMs(pace, ask.promptTokens);
    const job = jobOf(ask, now, { upstream: engine.id, partMs });
    this.accounts.add(job, now);
    this.slowWatch.placed(job, expectMs, now);
    return ok(grantOf(job, req, expectMs));
  }

  #placeCall(req: PoolRequest, now: Timestamp): Result<PoolGrant, Problem> {
    const place = placeCall(this.#choice(req, now));
    if (place === undefined) return err(noUpstream());
    const { instance, expectMs } = place;
    const job = jobOf(req.ask, now, { upstream: instance.id, partMs: 0 });
    this.accounts.add(job, now);
    return ok(grantOf(job, req, expectMs));
  }

  #choice(req: PoolRequest, now: Timestamp): Choice {
    const { ask } = req;
    const candidates = usable(req.members, ask.avoid).map((one) => ({
      ...one,
      load: this.accounts.load(one.id),
    }));
    return { ask, candidates, now };
  }
}

function waiterOf(
  ask: PoolAsk,
  pace: EnginePace,
  now: Timestamp,
): LongWaiter {
  const pass = passMs(pace, 1, ask.promptTokens);
  return {
    job: ask.job,
    workMs: prefillMs(pace, ask.promptTokens),
    dueAt: addMs(now, ask.targetMs - pass),
    endsAt: addMs(now, askTimeoutMs(ask) - pass),
    value: ask.promptTokens,
  };
}

/** Leaves out what has failed for this request, unless nothing else is there. */
function usable(
  members: readonly PoolMember[],
  avoid: readonly UpstreamId[],
): readonly PoolMember[] {
  const rest = members.filter((one) => !avoid.includes(one.id));
  return rest.length > 0 ? rest : members;
}

/** Whether all engines together can't hold a prompt, however long it waits. */
function isTooLarge(ask: PoolAsk, pace: EnginePace, engines: number): boolean {
  const most = Math.min(engines, MAX_HELPERS + 1);
  return ask.promptTokens + ask.answerTokens >
    most * pace.memoryTokens * MEMORY_SHARE;
}

function tooLarge(): Problem {
  return problem("no_memory", "All engines together can't hold this prompt");
}

function noUpstream(): Problem {
  return problem("no_upstream", "No upstream of the service is known", {
    retryAfterMs: RETRY_AFTER_MS,
  });
}
