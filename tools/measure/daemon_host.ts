import type { Blackboard } from "../../src/board/blackboard.ts";
import type { Self } from "../../src/board/self.ts";
import type { ServingConfig } from "../../src/config/serving.ts";
import type { Controller } from "../../src/core/controller.ts";
import { Core } from "../../src/core/core.ts";
import { createCore } from "../../src/controllers/create_core.ts";
import type { Event } from "../../src/core/event.ts";
import type { DaemonId, Revision, VmId } from "../../src/core/id.ts";
import type { Intent } from "../../src/core/intent.ts";
import { Random } from "../../src/core/random.ts";
import type { VirtualClock } from "./clock.ts";
import { domainOf } from "./fleet_config.ts";

/** What a daemon of the measured fleet is made of. */
export type DaemonParts = Readonly<{
  index: number;
  run: number;
  domains: number;
  seed: number;
  serving: ServingConfig;
  /** A policy in place of the usual one. */
  placement?: Controller;
  handle: (intent: Intent) => void;
}>;

/** One daemon: the decision core, stepped when an event or its own wake-up is due. */
export class DaemonHost {
  readonly id: DaemonId;
  readonly address: string;
  readonly #core: Core;
  readonly #clock: VirtualClock;
  readonly #handle: (intent: Intent) => void;
  #wakeAt = Infinity;
  #up = true;

  private constructor(parts: DaemonParts, clock: VirtualClock) {
    const vm = `entry-${parts.index}`;
    this.id = `${vm}-${parts.run}` as DaemonId;
    this.address = `${vm}:2`;
    this.#clock = clock;
    this.#handle = parts.handle;
    const self: Self = {
      id: this.id,
      vm: vm as VmId,
      domain: domainOf(parts.index, parts.domains),
      clientAddress: `${vm}:1`,
      peerAddress: this.address,
      startedAt: clock.now,
    };
    const random = Random.create(parts.seed);
    const { placement } = parts;
    const createSecret = () => `secret-of-${this.id}`.padEnd(32, "0");
    this.#core = createCore(self, random, { placement, createSecret });
    this.#core.board.config.serving = parts.serving;
    this.#core.board.config.revision = 0 as Revision;
    this.#core.board.config.text = JSON.stringify(parts.serving);
    this.#core.board.config.confirmedAt = clock.now;
  }

  static create(parts: DaemonParts, clock: VirtualClock): DaemonHost {
    return new DaemonHost(parts, clock);
  }

  get board(): Blackboard {
    return this.#core.board;
  }

  get up(): boolean {
    return this.#up;
  }

  /** Ends the daemon at once, as SIGKILL does. */
  kill(): void {
    this.#up = false;
  }

  step(events: readonly Event[]): void {
    if (!this.#up) return;
    const result = this.#core.step(this.#clock.now, events);
    for (const intent of result.intents) this.#handle(intent);
    this.#arm(result.wakeAt);
  }

  #arm(at: number | undefined): void {
    this.#wakeAt = at ?? Infinity;
    if (at === undefined) return;
    this.#clock.at(at, () => {
      if (this.#wakeAt === at) this.step([]);
    });
  }
}
