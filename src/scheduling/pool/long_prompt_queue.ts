import type { ServiceId, VmId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import { type PlannedPrompt, tolerantEngines } from "./admission/queue_plan.ts";
import type { ServiceAdmissions } from "./admission/service_admissions.ts";
import type { Candidate } from "./candidate.ts";
import type { EnginePace } from "./engine_pace.ts";
import {
  backlogMs,
  preferredPromptOf,
  type QueuedPrompt,
} from "./long_queue.ts";
import type { PoolMember } from "./pool_grant.ts";
import type { JobId, PlacementRequest } from "./pool_job.ts";
import type { RoomTerms } from "./room_terms.ts";

/** A placement request for a prompt, with the upstreams that may serve it. */
export type PromptSubmission = Readonly<{
  ask: PlacementRequest;
  members: readonly PoolMember[];
  pace: EnginePace;
  terms: RoomTerms;
}>;

type QueueEntry = Readonly<{ req: PromptSubmission; prompt: QueuedPrompt }>;

/** Long prompts that wait for engines, of all services. */
export class LongPromptQueue {
  readonly #entries = new Map<JobId, QueueEntry>();
  readonly #admissions: ServiceAdmissions;

  private constructor(admissions: ServiceAdmissions) {
    this.#admissions = admissions;
  }

  static create(admissions: ServiceAdmissions): LongPromptQueue {
    return new LongPromptQueue(admissions);
  }

  get size(): number {
    return this.#entries.size;
  }

  get(job: JobId): PromptSubmission | undefined {
    return this.#entries.get(job)?.req;
  }

  add(req: PromptSubmission, now: Timestamp): void {
    const { ask, pace, terms } = req;
    const admission = this.#admissions.of(ask.service);
    const prompt = terms.isDue
      ? preferredPromptOf(ask, pace, now)
      : admission.queuedPrompt(ask, pace, now);
    const weight = prompt.weight * terms.factor;
    this.#entries.set(ask.job, { req, prompt: { ...prompt, weight } });
  }

  delete(job: JobId): void {
    this.#entries.delete(job);
  }

  /** Removes the prompts of a daemon. */
  removeDaemon(vm: VmId): void {
    for (const [job, { req }] of this.#entries) {
      if (req.ask.vm === vm) this.#entries.delete(job);
    }
  }

  /** What to do with the prompts, in order, service by service. */
  plan(
    now: Timestamp,
    candidatesOf: (req: PromptSubmission) => readonly Candidate[],
  ): readonly PlannedPrompt[] {
    const services = new Map<ServiceId, QueueEntry[]>();
    for (const entry of this.#entries.values()) {
      const { service } = entry.req.ask;
      services.set(service, [...services.get(service) ?? [], entry]);
    }
    return [...services].flatMap(([service, entries]) => {
      const candidates = candidatesOf(entries[0]!.req);
      const queue = entries.map(({ req, prompt }) => ({
        ask: req.ask,
        prompt,
      }));
      return this.#admissions.of(service).plan(queue, candidates, now);
    });
  }

  /** Time until all prompts of a service are prefilled. */
  backlogMs(
    service: ServiceId,
    candidates: readonly Candidate[],
    now: Timestamp,
  ): Millis {
    const prompts = [...this.#entries.values()]
      .filter(({ req }) => req.ask.service === service)
      .map(({ prompt }) => prompt);
    return backlogMs(prompts, { engines: tolerantEngines(candidates), now });
  }
}
