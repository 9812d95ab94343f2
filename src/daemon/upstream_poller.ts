import { clearTimeout, setTimeout } from "node:timers";
import type { Result } from "neverthrow";
import type { Upstream } from "../board/upstreams_section.ts";
import type { UpstreamId } from "../core/id.ts";
import { type Millis, SECOND_MS } from "../core/time.ts";
import type { CachePosition, EngineError } from "../engine/engine_client.ts";
import type { CacheEvents, EngineState, LoadReport } from "../wire/engine.ts";
import type { Loop } from "./loop.ts";
import type { UpstreamClients } from "./upstream_clients.ts";

const ROUND_INTERVAL_MS: Millis = SECOND_MS / 2;

/** Number of rounds between two requests of each report; 0 means never. */
type PollSchedule = Readonly<{ load: number; state: number; cache: number }>;

/** For the scheduling daemon. State is polled less often than load, as a load report also shows, a little later, that an engine leaves or has restarted. */
const PLACING_SCHEDULE: PollSchedule = { load: 1, state: 4, cache: 2 };
/** For other daemons, which need reports only to place prompts themselves while the scheduling daemon is unavailable. */
const FALLBACK_SCHEDULE: PollSchedule = { load: 16, state: 8, cache: 0 };

/** Reports that one poll requests. */
type Due = Readonly<{ load: boolean; state: boolean; cache: boolean }>;

/** Results of one poll; undefined for reports that were not requested. */
type Reports = Readonly<{
  load: Result<LoadReport, EngineError> | undefined;
  state: Result<EngineState, EngineError> | undefined;
  cache: Result<CacheEvents, EngineError> | undefined;
}>;

/** Polls engines for load, state and cache events, and posts them to the core. */
export class UpstreamPoller {
  readonly #loop: () => Loop;
  readonly #clients: UpstreamClients;
  readonly #cachePositions = new Map<UpstreamId, CachePosition>();
  readonly #polling = new Set<UpstreamId>();
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
    this.#startRound();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  #startRound(): void {
    if (this.#stopped) return;
    const { board } = this.#loop().core;
    const schedule = board.members.scheduler === board.self.id
      ? PLACING_SCHEDULE
      : FALLBACK_SCHEDULE;
    const isDue = (rounds: number) => rounds > 0 && this.#round % rounds === 0;
    for (const upstream of board.upstreams.byId.values()) {
      if (upstream.kind !== "engine") continue;
      const isNew = upstream.engine === undefined;
      void this.#poll(upstream, {
        load: isNew || isDue(schedule.load),
        state: isNew || isDue(schedule.state),
        cache: isDue(schedule.cache),
      });
    }
    this.#round += 1;
    this.#retainPositions(board.upstreams.byId);
    this.#timer = setTimeout(() => this.#startRound(), ROUND_INTERVAL_MS);
  }

  async #poll(upstream: Upstream, due: Due): Promise<void> {
    const isIdle = !due.load && !due.state && !due.cache;
    if (isIdle || this.#polling.has(upstream.id)) return;
    this.#polling.add(upstream.id);
    const engine = this.#clients.engine(upstream.address);
    const after = this.#cachePositions.get(upstream.id);
    const [load, state, cache] = await Promise.all([
      due.load ? engine.load() : undefined,
      due.state ? engine.state() : undefined,
      due.cache ? engine.cacheEvents(after) : undefined,
    ]);
    this.#polling.delete(upstream.id);
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
    if (isUnreachable(reports)) {
      loop.post({ type: "upstream_unreachable", upstream });
    }
    if (!cache?.isOk()) return;
    const { incarnation, events } = cache.value;
    const last = events.at(-1);
    if (last === undefined) return;
    this.#cachePositions.set(upstream, { incarnation, seq: last.seq });
    loop.post({ type: "cache_reported", upstream, events });
  }

  #retainPositions(upstreams: ReadonlyMap<UpstreamId, Upstream>): void {
    for (const id of this.#cachePositions.keys()) {
      if (!upstreams.has(id)) this.#cachePositions.delete(id);
    }
  }
}

/** Whether the engine is unreachable: its state request failed or, in a round without one, its load request could not connect. */
function isUnreachable({ load, state }: Reports): boolean {
  if (state !== undefined) return state.isErr();
  return load?.isErr() === true && load.error.code === "connect_failed";
}
