import type { ServiceId, VmId } from "../../core/id.ts";
import { addMs, type Timestamp } from "../../core/time.ts";
import type { PoolMember } from "./pool_grant.ts";
import type { JobId, PlacementRequest } from "./pool_job.ts";

/** A daemon that may place requests. */
export type SoloPeer = Readonly<{ vm: VmId }>;

/** What a VM that places alone has of a service: its limit, and the first events that are expected. */
type SoloService = {
  limit: number;
  /** When the limit was last lowered; answers of requests from before then don't lower it again. */
  loweredAt: Timestamp;
  readonly expected: Map<JobId, Expected>;
};

type Expected = Readonly<{ placedAt: Timestamp; dueAt: Timestamp }>;

/** What an answer in time adds to the limit: a quarter of it for a round of answers. */
const IN_TIME_STEP = 0.25;
/** Part of the limit that is left after an answer that was late. */
const LATE_FACTOR = 0.5;
/** Jobs without an answer that are remembered for a service. */
const MAX_EXPECTED = 1_024;

/**
 * The room that a VM uses while it can't reach the daemons that place for all.
 * Load pattern: the placing daemons die in a crest. All VMs place by themselves, and each knows its own jobs alone: they
 * would all choose the same idle engines, and admit many times the room. Each VM takes other engines, as many as its
 * limit fills. The limit begins with its part of the slots and follows the answers, as a VM can't tell whether the
 * others place too or are gone: it grows by a quarter for a round of answers in time, and halves when one is late.
 */
export class SoloRoom {
  readonly #services = new Map<ServiceId, SoloService>();

  static create(): SoloRoom {
    return new SoloRoom();
  }

  /** Forgets all limits, once other daemons place again. */
  clear(): void {
    this.#services.clear();
  }

  /**
   * The engines for a request, of those that may serve it: none where this VM has as many open requests as its limit.
   * `daemons` lists all that were live lately, this one included.
   */
  select<T extends PoolMember>(
    ask: Pick<PlacementRequest, "service" | "vm">,
    members: readonly T[],
    options: Readonly<{ daemons: readonly SoloPeer[]; openJobs: number }>,
  ): readonly T[] {
    const { daemons, openJobs } = options;
    const service = this.#serviceOf(ask, members, daemons.length);
    if (openJobs >= service.limit) return [];
    return firstWithRoom(partOf(ask.vm, members, daemons), service.limit);
  }

  /** Records that a request was placed; its first event is due after `targetMs`. */
  placed(ask: PlacementRequest, now: Timestamp): void {
    const expected = this.#services.get(ask.service)?.expected;
    if (expected === undefined || expected.size >= MAX_EXPECTED) return;
    const dueAt = addMs(now, ask.targetMs);
    expected.set(ask.job, { placedAt: now, dueAt });
  }

  /** Records a job's first event, its end or its failure, whichever comes first. */
  answered(job: JobId, now: Timestamp, result: "ok" | "failed"): void {
    for (const service of this.#services.values()) {
      const expected = service.expected.get(job);
      if (expected === undefined) continue;
      service.expected.delete(job);
      if (result === "ok" && now <= expected.dueAt) {
        service.limit += IN_TIME_STEP;
      } else if (expected.placedAt >= service.loweredAt) {
        service.limit = Math.max(1, service.limit * LATE_FACTOR);
        service.loweredAt = now;
      }
    }
  }

  #serviceOf(
    ask: Pick<PlacementRequest, "service">,
    members: readonly PoolMember[],
    daemons: number,
  ): SoloService {
    let service = this.#services.get(ask.service);
    if (service === undefined) {
      const slots = members.reduce((sum, member) => sum + member.slots, 0);
      service = {
        limit: Math.max(1, slots / Math.max(1, daemons)),
        loweredAt: -Infinity as Timestamp,
        expected: new Map(),
      };
      this.#services.set(ask.service, service);
    }
    return service;
  }
}

/**
 * The engines in the order in which a VM uses them, of all failure domains by turns: a domain may be lost together with
 * the daemons that place. Sorted daemons begin at evenly spaced places of each domain's sorted list.
 */
function partOf<T extends PoolMember>(
  self: VmId,
  members: readonly T[],
  daemons: readonly SoloPeer[],
): readonly T[] {
  const sorted = [...daemons].sort((a, b) => a.vm < b.vm ? -1 : 1);
  const index = Math.max(0, sorted.findIndex(({ vm }) => vm === self));
  const fraction = index / Math.max(1, daemons.length);
  const byDomain = groupByDomain(members);
  const lists = [...byDomain.values()].map((list) => {
    const byId = [...list].sort((a, b) => a.id < b.id ? -1 : 1);
    const start = Math.floor(fraction * byId.length);
    return [...byId.slice(start), ...byId.slice(0, start)];
  });
  const longest = Math.max(0, ...lists.map((list) => list.length));
  return Array.from(
    { length: longest },
    (_, i) => lists.flatMap((list) => list.slice(i, i + 1)),
  ).flat();
}

function groupByDomain<T extends PoolMember>(
  members: readonly T[],
): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>();
  for (const member of members) {
    const group = groups.get(member.domain) ?? [];
    groups.set(member.domain, group);
    group.push(member);
  }
  return groups;
}

/** The first engines that together have slots for `jobs`, at least one of each failure domain. */
function firstWithRoom<T extends PoolMember>(
  members: readonly T[],
  jobs: number,
): readonly T[] {
  const domains = new Set(members.map(({ domain }) => domain)).size;
  let slots = 0;
  const enough = members.findIndex((member, i) => {
    slots += member.slots;
    return slots >= jobs && i + 1 >= domains;
  });
  return enough === -1 ? members : members.slice(0, enough + 1);
}
