import { request } from "undici";
import type { Millis } from "../../src/core/time.ts";
import type { EngineOrder, Loaded } from "../../src/wire/engine.ts";

/** Time of a load where no weight store is configured. */
export const LOAD_MS: Millis = 30_000;

/** Waits before the store is asked again. */
const RETRY_MS: Millis = 1_000;

/** What a loader needs. */
export type WeightLoaderParts = Readonly<{
  loaded: readonly Loaded[];
  /** `host:port` of the weight store; without it a load takes `LOAD_MS`. */
  store?: string;
  /** Resolves after a duration of the engine's time. */
  pause: (ms: Millis) => Promise<void>;
  /** Tells what is loaded, each time that it changes. */
  onChange: (loaded: readonly Loaded[]) => void;
}>;

/** Brings what is loaded to what was ordered last, one load at a time. */
export class WeightLoader {
  readonly #parts: WeightLoaderParts;
  #loaded: readonly Loaded[];
  #desired: readonly Loaded[];
  #busy = false;
  #stopped = false;

  private constructor(parts: WeightLoaderParts) {
    this.#parts = parts;
    this.#loaded = parts.loaded;
    this.#desired = parts.loaded;
  }

  static create(parts: WeightLoaderParts): WeightLoader {
    return new WeightLoader(parts);
  }

  get loading(): Loaded[] {
    return this.#desired.filter((item) => !this.#has(item));
  }

  /** Takes an order: drops what it does not name, and loads what is missing. */
  order(order: EngineOrder): void {
    this.#desired = order.loaded;
    this.#set(this.#loaded.filter((item) => this.#wants(item)));
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
  }

  async #run(): Promise<void> {
    if (this.#busy) return;
    this.#busy = true;
    for (let next = this.loading[0]; next; next = this.loading[0]) {
      const fetched = await this.#fetch(next);
      if (this.#stopped) return;
      if (fetched && this.#wants(next)) this.#set([...this.#loaded, next]);
    }
    this.#busy = false;
  }

  async #fetch(item: Loaded): Promise<boolean> {
    const { store, pause } = this.#parts;
    if (store === undefined) {
      await pause(LOAD_MS);
      return true;
    }
    const path = `/weights/${encodeURIComponent(item.model)}/` +
      encodeURIComponent(item.version);
    const fetched = await request(`http://${store}${path}`).then(
      async ({ statusCode, body }) => {
        await body.dump();
        return statusCode === 200;
      },
      () => false,
    );
    if (!fetched) await pause(RETRY_MS);
    return fetched;
  }

  #set(loaded: readonly Loaded[]): void {
    this.#loaded = loaded;
    this.#parts.onChange(loaded);
  }

  #has(item: Loaded): boolean {
    return this.#loaded.some((other) => sameLoaded(other, item));
  }

  #wants(item: Loaded): boolean {
    return this.#desired.some((other) => sameLoaded(other, item));
  }
}

function sameLoaded(a: Loaded, b: Loaded): boolean {
  return a.model === b.model && a.version === b.version &&
    [...a.adapters].sort().join() === [...b.adapters].sort().join();
}
