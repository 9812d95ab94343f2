import { clearTimeout, setTimeout } from "node:timers";
import type { Upstream } from "../board/upstreams_section.ts";
import type { UpstreamId } from "../core/id.ts";
import { type Millis, SECOND_MS } from "../core/time.ts";
import type { CachePosition } from "../engine/engine_client.ts";
import type { Loop } from "./loop.ts";
import type { UpstreamClients } from "./upstream_clients.ts";

const REPORT_INTERVAL_MS: Millis = SECOND_MS / 2;
/** A daemon that places nothing for others asks for reports less often. */
const SLOW_FACTOR = 8;

/** Asks engines for load, state and cache events and hands them to the core. */
export class UpstreamPoller {
  readonly #loop: () => Loop;
  readonly #clients: UpstreamClients;
  readonly #cacheRead = new Map<UpstreamId, CachePosition>();
  readonly #busy = new Set<UpstreamId>();
  #timer: NodeJS.Timeout | undefined;
  #round = 0;
  #stopped = false;

  private constructor(loop: () => Loop, clients: UpstreamClients) {
    this.#loop = loop;
    this.#clients = clients;
  }

  static create(loop: () => Loop, clients: UpstreamClients): UpstreamPoller {
    return new UpstreamPoller(loop, clients);
  }

  start(): void {
    this.#tick();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  #tick(): void {
    if (this.#stopped) return;
    const { board } = this.#loop().core;
    const isScheduler = board.members.scheduler === board.self.id;
    const isDue = isScheduler || this.#round % SLOW_FACTOR === 0;
    this.#round += 1;
    for (const upstream of board.upstreams.byId.values()) {
      const isNew = upstream.engine === undefined;
      if (upstream.kind === "engine" && (isDue || isNew)) {
        void this.#poll(upstream);
      }
    }
    this.#forget(board.upstreams.byId);
    this.#timer = setTimeout(() => this.#tick(), REPORT_INTERVAL_MS);
  }

  async #poll(upstream: Upstream): Promise<void> {
    if (this.#busy.has(upstream.id)) return;
    this.#busy.add(upstream.id);
    const engine = this.#clients.engine(upstream.address);
    const after = this.#cacheRead.get(upstream.id);
    const [load, state, cache] = await Promise.all([
      engine.load(),
      engine.state(),
      engine.cacheEvents(after),
    ]);
    this.#busy.delete(upstream.id);
    if (this.#stopped) return;
    const loop = this.#loop();
    if (state.isOk()) {
      loop.post({
        type: "state_reported",
        upstream: upstream.id,
        state: state.value,
      });
    } else loop.post({ type: "upstream_unreachable", upstream: upstream.id });
    if (load.isOk()) {
      loop.post({
        type: "load_reported",
        upstream: upstream.id,
        report: load.value,
      });
    }
    if (cache.isErr()) return;
    const { incarnation, events } = cache.value;
    const last = events.at(-1);
    if (last === undefined) return;
    this.#cacheRead.set(upstream.id, { incarnation, seq: last.seq });
    loop.post({ type: "cache_reported", upstream: upstream.id, events });
  }

  #forget(known: ReadonlyMap<UpstreamId, Upstream>): void {
    for (const id of this.#cacheRead.keys()) {
      if (!known.has(id)) this.#cacheRead.delete(id);
    }
  }
}
