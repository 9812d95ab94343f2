import type { UpstreamId } from "../../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";

/** Upstreams that have just started: until they are warm, each accepts a rate that its service states. */
export class ColdUpstreams {
  readonly #warmAt = new Map<UpstreamId, Timestamp>();

  static create(): ColdUpstreams {
    return new ColdUpstreams();
  }

  get size(): number {
    return this.#warmAt.size;
  }

  /** Records for how long an upstream stays cold; undefined if it is warm. */
  record(id: UpstreamId, coldMs: Millis | undefined, now: Timestamp): void {
    if (coldMs === undefined) this.#warmAt.delete(id);
    else this.#warmAt.set(id, addMs(now, coldMs));
  }

  /** The rates per second of the cold upstreams that have one. */
  rates(
    now: Timestamp,
    rateOf: (id: UpstreamId) => number | undefined,
  ): Map<UpstreamId, number> {
    const rates = new Map<UpstreamId, number>();
    for (const [id, warmAt] of this.#warmAt) {
      const rate = rateOf(id);
      if (warmAt <= now) this.#warmAt.delete(id);
      else if (rate !== undefined) rates.set(id, rate);
    }
    return rates;
  }
}
