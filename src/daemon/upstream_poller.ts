import { clearTimeout, setTimeout } from "node:timers";
import type { Result } from "neverthrow";
import type { Upstream } from "../board/upstreams_section.ts";
import type { UpstreamId } from "../core/id.ts";
import { type Millis, SECOND_MS } from "../core/time.ts";
import type { EngineError } from "../engine/engine_client.ts";
import type { CacheEvent, EngineState, LoadReport } from "../wire/engine.ts";
import type { Loop } from "./loop.ts";
import type { UpstreamClients } from "./upstream_clients.ts";

const REPORT_INTERVAL_MS: Millis = SECOND_MS / 2;

/** In how many rounds each report is asked for once. */
type Pace = Readonly<{ load: number; state: number; cache: number }>;

/** Load shows a leaving or restarted engine too, a little later than state does. */
const SCHEDULING_PACE: Pace = { load: 1, state: 4, cache: 2 };
/** A daemon that places nothing for others needs just enough to place by itself for a while. */
const OTHER_PACE: Pace = { load: 16, state: 8, cache: Infinity };

/** Which reports one poll asks for. */
type Due = Readonly<{ load: boolean; state: boolean; cache: boolean }>;

/** What one poll brought; absent where it was not asked for. */
type Reports = Readonly<{
  load: Result<LoadReport, EngineError> | undefined;
  state: Result<EngineState, EngineError> | undefined;
  cache: Result<readonly CacheEvent[], EngineError> | undefined;
}>;

/** Asks engines for load, state and cache events and hands them to the core. */
export class UpstreamPoller {
  readonly #loop: () => Loop;
  readonly #clients: UpstreamClients;
  readonly #cacheSeq = new Map<UpstreamId, number>();
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
    const pace = board.members.scheduler === board.self.id
      ? SCHEDULING_PACE
      : OTHER_PACE;
    const due = (rounds: number) => this.#round % rounds === 0;
    for (const upstream of board.upstreams.byId.values()) {
      if (upstream.kind !== "engine") continue;
      const isNew = upstream.engine === undefined;
      void this.#poll(upstream, {
        load: isNew || due(pace.load),
        state: isNew || due(pace.state),
        cache: due(pace.cache),
      });
    }
    this.#round += 1;
    this.#forget(board.upstreams.byId);
    this.#timer = setTimeout(() => this.#tick(), REPORT_INTERVAL_MS);
  }

  async #poll(upstream: Upstream, due: Due): Promise<void> {
    const isIdle = !due.load && !due.state && !due.cache;
    if (isIdle || this.#busy.has(upstream.id)) return;
    this.#busy.add(upstream.id);
    const engine = this.#clients.engine(upstream.address);
    const after = this.#cacheSeq.get(upstream.id) ?? 0;
    const [load, state, cache] = await Promise.all([
      due.load ? engine.load() : undefined,
      due.state ? engine.state() : undefined,
      due.cache ? engine.cacheEvents(after) : undefined,
    ]);
    this.#busy.delete(upstream.id);
    if (this.#stopped) return;
    this.#post(upstream.id, { load, state, cache });
  }

  #post(upstream: UpstreamId, reports: Reports): void {
    const { load, state, cache } = reports;
    const loop = this.#loop();
    if (state?.isOk()) {
      loop.post({ type: "state_reported", upstream, state: state.value });
    }
    if (load?.isOk()) {
      loop.post({ type: "load_reported", upstream, report: load.value });
    }
    if (isLost(reports)) {
      loop.post({ type: "upstream_unreachable", upstream });
    }
    const last = cache?.isOk() ? cache.value.at(-1) : undefined;
    if (!cache?.isOk() || last === undefined) return;
    this.#cacheSeq.set(upstream, last.seq);
    loop.post({ type: "cache_reported", upstream, events: cache.value });
  }

  #forget(known: ReadonlyMap<UpstreamId, Upstream>): void {
    for (const id of this.#cacheSeq.keys()) {
      if (!known.has(id)) this.#cacheSeq.delete(id);
    }
  }
}

/** The state says it; a round without it goes by whether the load could be asked for. */
function isLost({ load, state }: Reports): boolean {
  if (state !== undefined) return state.isErr();
  return load?.isErr() === true && load.error.code === "connect_failed";
}
