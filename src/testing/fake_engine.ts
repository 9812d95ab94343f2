import type { GroupId, Incarnation, UpstreamId } from "../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import type { EngineOrder, EngineState, Loaded } from "../wire/engine.ts";
import type { Vm } from "../wire/vm_list.ts";

const LOAD_MS: Millis = 10_000;
const ORDER_DELAY_MS: Millis = 5;

/** An engine that executes orders: unloads the weights that an order does not name, and loads those that are missing. */
export class FakeEngine {
  readonly id: UpstreamId;
  readonly #group: GroupId;
  readonly #checksFencing: boolean;
  #loaded: readonly Loaded[] = [];
  #loading: readonly Loaded[] = [];
  #loadedAt = 0 as Timestamp;
  #fencing = 0;
  #delayMs = ORDER_DELAY_MS;

  private constructor(id: string, group: string, checksFencing: boolean) {
    this.id = id as UpstreamId;
    this.#group = group as GroupId;
    this.#checksFencing = checksFencing;
  }

  static create(
    id: string,
    group: string,
    options: { checksFencing: boolean },
  ): FakeEngine {
    return new FakeEngine(id, group, options.checksFencing);
  }

  get vm(): Vm {
    return {
      id: this.id,
      role: "engine",
      domain: "a",
      address: this.id,
      incarnation: "1",
      state: "live",
      group: this.#group,
    } as unknown as Vm;
  }

  /** Delays the delivery of the next order. */
  delayNext(ms: Millis): void {
    this.#delayMs = ms;
  }

  takeDelay(): Millis {
    const delay = this.#delayMs;
    this.#delayMs = ORDER_DELAY_MS;
    return delay;
  }

  order(order: EngineOrder, now: Timestamp): "accepted" | "stale" {
    if (this.#checksFencing && order.fencing < this.#fencing) return "stale";
    this.#fencing = order.fencing;
    const loaded = this.state(now).loaded;
    const orderedKeys = new Set(order.loaded.map(weightsKey));
    const loadedKeys = new Set(loaded.map(weightsKey));
    this.#loaded = loaded.filter((weights) =>
      orderedKeys.has(weightsKey(weights))
    );
    this.#loading = order.loaded.filter((weights) =>
      !loadedKeys.has(weightsKey(weights))
    );
    this.#loadedAt = addMs(now, LOAD_MS);
    return "accepted";
  }

  state(now: Timestamp): EngineState {
    if (now >= this.#loadedAt && this.#loading.length > 0) {
      this.#loaded = [...this.#loaded, ...this.#loading];
      this.#loading = [];
    }
    return {
      incarnation: "1" as Incarnation,
      loaded: [...this.#loaded],
      loading: [...this.#loading],
      role: "mixed",
      leaving: false,
    };
  }
}

function weightsKey(loaded: Loaded): string {
  return `${loaded.model}/${loaded.version}`;
}
