import type { Incarnation, UpstreamId } from "../core/id.ts";

/** Upstreams that are remembered at the most. */
const MAX_UPSTREAMS = 1_024;
/** Runs that are remembered of one upstream. */
const MAX_RUNS = 8;

/** Remembers some runs of upstreams, the newest ones of each. */
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
