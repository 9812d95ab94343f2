import type { DomainId, UpstreamId } from "../../src/core/id.ts";
import type { Timestamp } from "../../src/core/time.ts";
import type {
  JobId,
  PlacementRequest,
  PoolGrant,
} from "../../src/scheduling/pool/pool_job.ts";
import {
  ENGINE_PACE,
  placementRequest,
} from "../../src/testing/pool_fixtures.ts";
import { callerTimeoutMs } from "../../src/scheduling/pool/caller_timeout.ts";
import type { EnginePace } from "../../src/scheduling/pool/engine_pace.ts";
import type { PoolDecision } from "../../src/scheduling/pool/pool_decision.ts";
import { VirtualTime } from "../../src/testing/virtual_time.ts";
import {
  PassEngine,
  type SimJob,
} from "../../stand_ins/pass_engine/pass_engine.ts";
import type { Policy } from "./policies.ts";
import type { Arrival } from "./workload.ts";

const ENGINES = 16;
/** Way of a request to an engine, and of an event back, with the ask for a place. */
const LINK_MS = 5;
/** Time for what still runs when the last prompt has come. */
const TAIL_MS = 25_000;

/** Age of an engine's report, and the time between a policy's looks for late first events. */
const REPORT_LAG_MS = 300;
const INSPECT_MS = 50;

/** Engines that turn slow for a while; the first ones are taken. */
export type SlowSpan = Readonly<{
  engines: number;
  factor: number;
  fromMs: number;
  toMs: number;
}>;

/** The engines that a load is played against. */
export type PlayedPool = Readonly<{ engines: number; pace: EnginePace }>;

/** What callers do who leave a silent prompt and come again after a refusal. */
export type Callers = Readonly<{
  /** Times that a caller comes again after the Retry-After. */
  returns: number;
  /** Fraction of the callers who come again at once, and `returnsAtOnce` times. */
  atOnce: number;
  returnsAtOnce: number;
}>;

/** How one prompt was served. */
export type Served = Readonly<{
  arrival: Arrival;
  outcome: "in_time" | "late" | "refused" | "left";
  firstMs: number;
  longestPauseMs: number;
}>;

/** Plays a drawn load against simulated engines. */
export function play(
  arrivals: readonly Arrival[],
  createPolicy: () => Policy,
  options: Readonly<
    {
      slow?: SlowSpan;
      pool?: PlayedPool;
      callers?: Callers;
      /** How long the engines hold the beginning of a prompt, which the policy may not know; 0 by default. */
      heldMs?: number;
    }
  > = {},
): readonly Served[] {
  const pace = options.pool?.pace ?? ENGINE_PACE;
  const { callers } = options;
  const time = VirtualTime.create(0 as Timestamp);
  const clock = {
    now: () => time.now,
    after: (ms: number, run: () => void) => time.schedule(ms, run),
  };
  const size = options.pool?.engines ?? ENGINES;
  const members = Array.from({ length: size }, (_, i) => ({
    id: `e${i}` as UpstreamId,
    address: `e${i}:1`,
    domain: `d${i % 3}` as DomainId,
    slots: pace.slots,
  }));
  const engines = new Map(
    members.map((one) => [one.id, PassEngine.create(pace, clock, options)]),
  );
  const policy = createPolicy();
  const served: Served[] = [];
  const open = new Map<JobId, Arrival>();
  const tries = new Map<Arrival, number>();

  // One look is due at a time, as in a daemon.
  let lookAt = Infinity;
  const look = (): void => {
    for (const { ask, result } of policy.decide(time.now, members)) {
      answer({ ask, result });
    }
    const next = policy.nextLook(time.now);
    if (next === undefined || next >= lookAt) return;
    lookAt = next;
    time.schedule(Math.max(1, next - time.now), () => {
      lookAt = Infinity;
      look();
    });
  };
  const answer = ({ ask, result }: PoolDecision) => {
    if (result.isOk()) send(result.value);
    else refuse(ask.job, result.error.retryAfterMs);
  };
  const refuse = (job: JobId, retryAfterMs?: number): void => {
    const arrival = open.get(job)!;
    open.delete(job);
    const again = retryMs(arrival, retryAfterMs);
    if (again === undefined) end(arrival, "refused");
    else time.schedule(Math.max(1, again), () => ask(arrival));
  };
  const end = (arrival: Arrival, outcome: "refused" | "left") =>
    served.push({ arrival, outcome, firstMs: 0, longestPauseMs: 0 });
  /** When a refused caller comes again; undefined if it doesn't. */
  const retryMs = (arrival: Arrival, retryAfterMs?: number) => {
    if (callers === undefined || retryAfterMs === undefined) return undefined;
    const tried = (tries.get(arrival) ?? 0) + 1;
    tries.set(arrival, tried);
    const atOnce = arrival.at % 1 < callers.atOnce;
    if (tried > (atOnce ? callers.returnsAtOnce : callers.returns)) {
      return undefined;
    }
    const retryMs = atOnce ? LINK_MS : retryAfterMs;
    const leftMs = arrival.at + arrival.kind.leftMs - time.now;
    return retryMs < leftMs ? retryMs : undefined;
  };
  const send = ({ job }: PoolGrant) => {
    const arrival = open.get(job.id)!;
    const all = [job.upstream, ...job.helpers];
    let last: number | undefined;
    let firstMs = 0;
    let longest = 0;
    const sim: SimJob = {
      id: job.id,
      promptTokens: arrival.tokens,
      ...(arrival.parts === undefined ? {} : { beginning: arrival.parts }),
      partsLeft: all.length,
      tokensLeft: arrival.answerTokens,
      ...(callers === undefined ? {} : { memoryTokens: memoryOf(job) }),
      onEvent: (at) => {
        if (last === undefined) {
          firstMs = at + LINK_MS - arrival.at;
          policy.started(job.id, time.now);
          look();
        } else longest = Math.max(longest, at - last);
        last = at;
      },
      onEnd: () => {
        open.delete(job.id);
        for (const id of job.helpers) engines.get(id)!.drop(sim);
        policy.ended(job.id, time.now);
        const { kind } = arrival;
        const inTime = firstMs <= kind.targetMs && longest <= kind.pauseMs;
        served.push({
          arrival,
          outcome: inTime ? "in_time" : "late",
          firstMs,
          longestPauseMs: longest,
        });
        look();
      },
    };
    time.schedule(LINK_MS, () => {
      engines.get(job.upstream)!.answer(sim, all.length);
      for (const id of job.helpers) {
        const ticket = job.tickets.find((one) => one.upstream === id);
        engines.get(id)!.help(sim, all.length, ticket?.tokens);
      }
    });
    sims.set(job.id, { sim, engines: all, writes: () => last !== undefined });
  };
  const sims = new Map<
    JobId,
    { sim: SimJob; engines: readonly UpstreamId[]; writes: () => boolean }
  >();
  /** A caller leaves a prompt that has had no event yet. */
  const leave = (job: JobId, arrival: Arrival) => {
    const sent = sims.get(job);
    if (!open.has(job) || sent?.writes() === true) return;
    open.delete(job);
    for (const id of sent?.engines ?? []) engines.get(id)!.drop(sent!.sim);
    policy.ended(job, time.now);
    end(arrival, "left");
  };

  const endMs = (arrivals.at(-1)?.at ?? 0) + TAIL_MS;
  slowDown([...engines.values()], time, options.slow);
  const inspect = () => {
    for (const id of policy.inspections(time.now)) {
      const pace = engines.get(id)!.slowness;
      time.schedule(REPORT_LAG_MS, () => policy.inspected(id, pace, time.now));
    }
    if (time.now < endMs) time.schedule(INSPECT_MS, inspect);
  };
  inspect();
  let asked = 0;
  const ask = (arrival: Arrival) => {
    const ask = askOf(arrival, `j${asked}`, time.now - arrival.at);
    asked += 1;
    open.set(ask.job, arrival);
    if (callers !== undefined) {
      const waitMs = Math.min(ask.leftMs, callerTimeoutMs(arrival.kind));
      time.schedule(waitMs, () => leave(ask.job, arrival));
    }
    const decision = policy.submit({ ask, members, pace }, time.now);
    if (decision === undefined) look();
    else answer(decision);
  };
  for (const arrival of arrivals) time.schedule(arrival.at, () => ask(arrival));
  time.run(endMs);
  for (const arrival of open.values()) end(arrival, "refused");
  return served;
}

function slowDown(
  engines: readonly PassEngine[],
  time: VirtualTime,
  slow: SlowSpan | undefined,
): void {
  if (slow === undefined) return;
  const set = (slowness: number) => {
    for (const one of engines.slice(0, slow.engines)) one.slowness = slowness;
  };
  time.schedule(slow.fromMs, () => set(slow.factor));
  time.schedule(slow.toMs, () => set(1));
}

/** KV cache on the answering engine. */
function memoryOf(job: PoolGrant["job"]): number {
  const elsewhere = job.tickets.filter((one) => one.upstream !== job.upstream);
  return elsewhere.reduce((left, one) => left - one.tokens, job.tokens);
}

function askOf(
  arrival: Arrival,
  job: string,
  elapsedMs: number,
): PlacementRequest {
  const { kind, tokens, answerTokens } = arrival;
  const { targetMs, pauseMs, leftMs, rank } = kind;
  return placementRequest(job, {
    domain: "d0",
    promptTokens: tokens,
    answerTokens,
    targetMs,
    pauseMs,
    leftMs: leftMs - elapsedMs,
    digest: `${arrival.at}`,
    ...(rank === undefined ? {} : { rank }),
    ...(arrival.parts === undefined ? {} : { leadingParts: arrival.parts }),
  });
}
