import type { UpstreamId } from "../../core/id.ts";
import { addMs, type Timestamp } from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";

/** Upstreams that have just started: until they are warm, each accepts a rate that its service states. */
export class ColdUpstreams {
  readonly #warmAt = new Map<UpstreamId, Timestamp>();

  static create(): ColdUpstreams {
    return new ColdUpstreams();
  }

  /** Applies the last changes of the register, and forgets the upstreams that are warm. */
  update({ register }: GatewayBoard, now: Timestamp): void {
    for (const { id } of register.updates) {
      const { coldMs } = register.table.get(id) ?? {};
      if (coldMs === undefined) this.#warmAt.delete(id);
      else this.#warmAt.set(id, addMs(now, coldMs));
    }
    for (const [id, warmAt] of this.#warmAt) {
      if (warmAt <= now) this.#warmAt.delete(id);
    }
  }

  /** The rates per second of the cold upstreams whose service states one. */
  rates({ register, serving }: GatewayBoard): ReadonlyMap<UpstreamId, number> {
    const rates = new Map<UpstreamId, number>();
    const services = serving.routes?.serving.services;
    for (const id of this.#warmAt.keys()) {
      const service = register.table.get(id)?.service;
      const { coldRate } = service === undefined
        ? {}
        : services?.get(service) ?? {};
      if (coldRate !== undefined) rates.set(id, coldRate);
    }
    return rates;
  }

  get size(): number {
    return this.#warmAt.size;
  }
}
