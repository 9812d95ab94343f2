import { ok } from "neverthrow";
import type { UpstreamId } from "../../src/core/id.ts";
import type { Timestamp } from "../../src/core/time.ts";
import { prefillMs } from "../../src/scheduling/pool/engine_pace.ts";
import { poolJob } from "../../src/testing/pool_fixtures.ts";
import type { JobId, PoolJob } from "../../src/scheduling/pool/pool_job.ts";
import { isSlow } from "../../src/scheduling/pool/upstream_load.ts";
import type { PoolMember } from "../../src/scheduling/pool/pool_grant.ts";
import type {
  PoolDecision,
  PoolSubmission,
} from "../../src/scheduling/pool/pool_decision.ts";
import { PoolScheduler } from "../../src/scheduling/pool/pool_scheduler.ts";

/** Chooses places in a played load. */
export abstract class Policy {
  abstract submit(
    req: PoolSubmission,
    now: Timestamp,
  ): PoolDecision | undefined;
  abstract decide(
    now: Timestamp,
    members: readonly PoolMember[],
  ): readonly PoolDecision[];
  abstract nextLook(now: Timestamp): Timestamp | undefined;
  abstract started(job: JobId, now: Timestamp): void;
  abstract ended(job: JobId, now: Timestamp): void;
  /** Engines whose report the policy wants now. */
  inspections(_now: Timestamp): readonly UpstreamId[] {
    return [];
  }
  inspected(_id: UpstreamId, _pace: number, _now: Timestamp): void {}
}

/** The scheduler as daemons use it. */
export class ScheduledPolicy extends Policy {
  readonly #scheduler = PoolScheduler.create();

  static create(): ScheduledPolicy {
    return new ScheduledPolicy();
  }

  override submit(
    req: PoolSubmission,
    now: Timestamp,
  ): PoolDecision | undefined {
    return this.#scheduler.submit(req, now);
  }

  override decide(
    now: Timestamp,
    members: readonly PoolMember[],
  ): readonly PoolDecision[] {
    return this.#scheduler.decide(now, () => members);
  }

  override nextLook(now: Timestamp): Timestamp | undefined {
    return this.#scheduler.nextPollAt(now);
  }

  override started(job: JobId, now: Timestamp): void {
    this.#scheduler.started(job, now);
  }

  override ended(job: JobId, now: Timestamp): void {
    this.#scheduler.withdraw(job, now);
  }

  override inspections(now: Timestamp): readonly UpstreamId[] {
    const slow = this.#scheduler.tracker.slowUpstreams(now).map((one) =>
      one.id
    );
    return this.#scheduler.slowEngines.dueInspections(now, slow);
  }

  override inspected(id: UpstreamId, pace: number, now: Timestamp): void {
    this.#scheduler.slowEngines.recordReport(id, isSlow(pace));
    this.#scheduler.tracker.loadOf(id).setSlowdown(pace, now);
  }
}

/** The scheduler without any knowledge of the engines' pace. */
export class NominalPolicy extends ScheduledPolicy {
  static override create(): NominalPolicy {
    return new NominalPolicy();
  }

  override inspections(): readonly UpstreamId[] {
    return [];
  }
}

/** A plain forwarder: the engine with the least prefill outstanding, no queue, no parts. */
export class ForwardingPolicy extends Policy {
  readonly #work = new Map<UpstreamId, number>();
  readonly #jobs = new Map<JobId, PoolJob>();

  static create(): ForwardingPolicy {
    return new ForwardingPolicy();
  }

  override submit(req: PoolSubmission): PoolDecision {
    const { ask, members, pace } = req;
    const partMs = prefillMs(pace!, ask.promptTokens);
    const [best] = [...members].sort((a, b) =>
      (this.#work.get(a.id) ?? 0) - (this.#work.get(b.id) ?? 0)
    );
    const upstream = best!.id;
    this.#work.set(upstream, (this.#work.get(upstream) ?? 0) + partMs);
    const job = poolJob(ask.job, upstream, { partMs });
    this.#jobs.set(ask.job, job);
    const grant = { job, addresses: {}, priority: 0, expectMs: 0 };
    return { ask, result: ok(grant) };
  }

  override decide(): readonly PoolDecision[] {
    return [];
  }

  override nextLook(): undefined {
    return undefined;
  }

  override started(id: JobId): void {
    const job = this.#jobs.get(id)!;
    const left = this.#work.get(job.upstream)! - job.partMs;
    this.#work.set(job.upstream, left);
  }

  override ended(): void {}
}

/** Policies by name. */
export const POLICIES = {
  scheduled: () => ScheduledPolicy.create(),
  nominal: () => NominalPolicy.create(),
  forwarding: () => ForwardingPolicy.create(),
} as const;
