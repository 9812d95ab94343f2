import { err, ok, type Result } from "neverthrow";
import type { UpstreamId, VmId } from "../../core/id.ts";
import { type Problem, problem } from "../../core/problem.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { Choice } from "./candidate.ts";
import type { EnginePace } from "./engine_pace.ts";
import { prefillMs } from "./engine_pace.ts";
import { placeCall } from "./place_call.ts";
import { placeLong } from "./place_long.ts";
import { placeShort } from "./place_short.ts";
import type { JobId, PoolAsk, PoolGrant, PoolJob } from "./pool_job.ts";
import { UpstreamLoad } from "./upstream_load.ts";

/** Prompts with a longer prefill are split over several engines; about one pass of writing. */
const LONG_PREFILL_MS: Millis = 120;
/** A job that no daemon has reported for so long is gone. */
const UNREPORTED_MS: Millis = 1_000;
/** When to come back if nothing better is known: about the time in which a large prompt leaves an engine. */
const COME_BACK_MS: Millis = 800;
/** Lowest and highest rank inside an engine. */
const MAX_PRIORITY = 9;

/** Upstreams that may take a request, as the configuration and the members list them. */
export type PoolMember = Readonly<{
  id: UpstreamId;
  /** Host and port. */
  address: string;
  domain: string;
  slots: number;
}>;

/** A request for a place, with what may serve it. */
export type PoolRequest = Readonly<{
  ask: PoolAsk;
  members: readonly PoolMember[];
  /** Absent for plain services. */
  pace?: EnginePace;
}>;

/** Keeps account of what runs where, and chooses places; it does no I/O and reads no clock. */
export class PoolScheduler {
  readonly #loads = new Map<UpstreamId, UpstreamLoad>();
  readonly #jobs = new Map<JobId, PoolJob>();

  static create(): PoolScheduler {
    return new PoolScheduler();
  }

  /** Jobs that hold a place. */
  get jobs(): ReadonlyMap<JobId, PoolJob> {
    return this.#jobs;
  }

  /** Chooses a place and counts it as taken. */
  place(req: PoolRequest, now: Timestamp): Result<PoolGrant, Problem> {
    const { ask, members, pace } = req;
    const known = this.#jobs.get(ask.job);
    if (known !== undefined) return ok(grantOf(known, req));
    const candidates = usable(members, ask.avoid).map((one) => ({
      ...one,
      load: this.#load(one.id),
    }));
    const choice: Choice = { ask, candidates, now };
    if (candidates.length === 0) {
      return err(problem("no_upstream", "No upstream of the service is known", {
        retryAfterMs: COME_BACK_MS,
      }));
    }
    const place = ask.kind === "call" || pace === undefined
      ? this.#placeCall(choice)
      : this.#placePrompt(choice, pace);
    if (place.isErr()) return err(place.error);
    const { job, expectMs } = place.value;
    if (expectMs > ask.leftMs) {
      return err(problem(
        "deadline_unreachable",
        `The first event is expected in ${Math.round(expectMs)} ms`,
        { retryAfterMs: Math.max(COME_BACK_MS, expectMs - ask.leftMs) },
      ));
    }
    this.#add(job, now);
    return ok(grantOf(job, req, expectMs));
  }

  /** Takes in that a job's first event has come. */
  started(id: JobId, now: Timestamp): void {
    const job = this.#jobs.get(id);
    if (job === undefined || job.writing) return;
    const writing = { ...job, writing: true };
    this.#jobs.set(id, writing);
    this.#load(job.upstream).settle(id, writing, now);
    for (const helper of job.helpers) {
      const holds = job.tickets.some((ticket) => ticket.upstream === helper);
      this.#load(helper).settle(id, holds ? writing : undefined, now);
    }
  }

  /** Takes in that a job is over. */
  ended(id: JobId, now: Timestamp): void {
    const job = this.#jobs.get(id);
    if (job === undefined) return;
    this.#jobs.delete(id);
    for (const upstream of [job.upstream, ...job.helpers]) {
      this.#load(upstream).settle(id, undefined, now);
    }
  }

  /** Takes in a failure that the upstream is to blame for. */
  blame(id: UpstreamId, now: Timestamp): void {
    this.#load(id).blame(now);
  }

  /** Takes in that an upstream has answered well. */
  clear(id: UpstreamId, now: Timestamp): void {
    this.#loads.get(id)?.clear(now);
  }

  /** Takes in all jobs of one daemon; what it doesn't list has ended, unless it was placed just now. */
  adopt(vm: VmId, jobs: readonly PoolJob[], now: Timestamp): void {
    const listed = new Set(jobs.map((job) => job.id));
    for (const job of [...this.#jobs.values()]) {
      if (job.vm !== vm || listed.has(job.id)) continue;
      if (now - job.placedAt > UNREPORTED_MS) this.ended(job.id, now);
    }
    for (const job of jobs) this.adoptOne({ ...job, placedAt: now }, now);
  }

  /** Takes in a job that another daemon has placed. */
  adoptOne(job: PoolJob, now: Timestamp): void {
    if (!this.#jobs.has(job.id)) this.#add({ ...job, writing: false }, now);
    if (job.writing) this.started(job.id, now);
  }

  /** Forgets a daemon that is gone, with all that it ran. */
  forget(vm: VmId, now: Timestamp): void {
    this.adopt(vm, [], (now + UNREPORTED_MS + 1) as Timestamp);
  }

  /** Forgets upstreams that are no longer listed. */
  retain(ids: ReadonlySet<UpstreamId>): void {
    for (const [id, load] of this.#loads) {
      if (!ids.has(id) && load.jobs.size === 0) this.#loads.delete(id);
    }
  }

  #placePrompt(choice: Choice, pace: EnginePace): Result<Placed, Problem> {
    const { ask } = choice;
    const soloMs = prefillMs(pace, ask.promptTokens);
    if (soloMs <= LONG_PREFILL_MS) {
      const place = placeShort({ ...choice, pace });
      if (place === undefined) return err(noMemory());
      const job = jobOf(choice, { upstream: place.engine.id, partMs: soloMs });
      return ok({ job, expectMs: place.expectMs });
    }
    const place = placeLong({ ...choice, pace });
    if (place === undefined) return err(noMemory());
    const job = jobOf(choice, {
      upstream: place.engine.id,
      partMs: place.partMs,
      helpers: place.helpers.map((one) => one.id),
      tickets: place.tickets,
    });
    return ok({ job, expectMs: place.expectMs });
  }

  #placeCall(choice: Choice): Result<Placed, Problem> {
    const place = placeCall(choice);
    if (place === undefined) return err(noMemory());
    const job = jobOf(choice, { upstream: place.instance.id, partMs: 0 });
    return ok({ job, expectMs: place.expectMs });
  }

  #add(job: PoolJob, now: Timestamp): void {
    this.#jobs.set(job.id, job);
    for (const upstream of [job.upstream, ...job.helpers]) {
      this.#load(upstream).add(job, now);
    }
  }

  #load(id: UpstreamId): UpstreamLoad {
    let load = this.#loads.get(id);
    if (load === undefined) {
      load = UpstreamLoad.create(id);
      this.#loads.set(id, load);
    }
    return load;
  }
}

type Placed = Readonly<{ job: PoolJob; expectMs: Millis }>;

function jobOf(
  choice: Choice,
  place: Pick<PoolJob, "upstream" | "partMs"> & Partial<PoolJob>,
): PoolJob {
  const { ask, now } = choice;
  return {
    id: ask.job,
    vm: ask.vm,
    service: ask.service,
    kind: ask.kind,
    helpers: [],
    tickets: [],
    tokens: ask.promptTokens + ask.answerTokens,
    pauseMs: ask.pauseMs,
    writing: false,
    placedAt: now,
    ...place,
  };
}

function grantOf(
  job: PoolJob,
  req: PoolRequest,
  expectMs: Millis = 0,
): PoolGrant {
  const addresses: Record<UpstreamId, string> = {};
  for (const one of req.members) {
    const takesPart = one.id === job.upstream || job.helpers.includes(one.id);
    if (takesPart) addresses[one.id] = one.address;
  }
  const long = job.helpers.length > 0 ? 1 : 0;
  const priority = Math.min(MAX_PRIORITY, 2 * req.ask.rank + long);
  return { job, addresses, priority, expectMs };
}

/** Leaves out what has failed for this request, unless nothing else is there. */
function usable(
  members: readonly PoolMember[],
  avoid: readonly UpstreamId[],
): readonly PoolMember[] {
  const rest = members.filter((one) => !avoid.includes(one.id));
  return rest.length > 0 ? rest : members;
}

function noMemory(): Problem {
  return problem("no_memory", "No engines have memory for this prompt now", {
    retryAfterMs: COME_BACK_MS,
  });
}
