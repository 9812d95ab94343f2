import { clearTimeout, setTimeout } from "node:timers";
import { type Millis, SECOND_MS } from "../core/time.ts";
import type { VmListClient } from "../platform/vm_list_client.ts";
import type { Loop } from "./loop.ts";

const MIN_LIST_INTERVAL_MS: Millis = SECOND_MS;
const MAX_LIST_INTERVAL_MS: Millis = 10 * SECOND_MS;
/** Target for the list reads of all daemons of a cell in `MIN_LIST_INTERVAL_MS`. */
const CELL_READS_PER_INTERVAL = 3;

/** Polls the platform's VM list; the last list stays valid during an outage. */
export class VmListPoller {
  readonly #loop: () => Loop;
  readonly #client: VmListClient;
  #timer: NodeJS.Timeout | undefined;
  #stopped = false;

  private constructor(loop: () => Loop, client: VmListClient) {
    this.#loop = loop;
    this.#client = client;
  }

  static create(loop: () => Loop, client: VmListClient): VmListPoller {
    return new VmListPoller(loop, client);
  }

  start(): void {
    void this.#poll();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  async #poll(): Promise<void> {
    const vms = await this.#client.list();
    if (this.#stopped) return;
    if (vms.isOk()) this.#loop().post({ type: "vms_listed", vms: vms.value });
    this.#timer = setTimeout(() => void this.#poll(), this.#intervalMs());
  }

  /** Grows with the number of daemons, since the heartbeats of each daemon announce leaving upstreams to the others. */
  #intervalMs(): Millis {
    const { members } = this.#loop().core.board;
    const daemons = members.peers.size + 1;
    const intervalMs = MIN_LIST_INTERVAL_MS * daemons / CELL_READS_PER_INTERVAL;
    return Math.min(
      MAX_LIST_INTERVAL_MS,
      Math.max(MIN_LIST_INTERVAL_MS, intervalMs),
    );
  }
}
