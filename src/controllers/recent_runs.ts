import type { Incarnation, UpstreamId } from "../core/id.ts";

/** Maximum number of upstreams in the set. */
const MAX_UPSTREAMS = 1_024;
/** Maximum number of runs per upstream. */
const MAX_RUNS = 8;

/** A bounded set of upstream runs; the oldest runs and upstreams are evicted first. */
export class RecentRuns {
  readonly #runs = new Map<UpstreamId, readonly Incarnation[]>();

  static create(): RecentRuns {
    return new RecentRuns();
  }

  has(id: UpstreamId, incarnation: Incarnation): boolean {
    return this.#runs.get(id)?.includes(incarnation) ?? false;
  }

  add(id: UpstreamId, incarnation: Incarnation): void {
    if (this.has(id, incarnation)) return;
    const runs = [...this.#runs.get(id) ?? [], incarnation].slice(-MAX_RUNS);
    this.#runs.delete(id);
    this.#runs.set(id, runs);
    const oldest = this.#runs.keys().next().value;
    if (this.#runs.size > MAX_UPSTREAMS && oldest !== undefined) {
      this.#runs.delete(oldest);
    }
  }

  delete(id: UpstreamId, incarnation: Incarnation): void {
    const runs = this.#runs.get(id) ?? [];
    this.#runs.set(id, runs.filter((run) => run !== incarnation));
  }
}
