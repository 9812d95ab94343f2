import type { PlanId } from "../../src/core/id.ts";
import { addMs, type Timestamp } from "../../src/core/time.ts";
import type { TransferDirection } from "./job.ts";

/** Transfers that wait or run at a time; more are refused. */
const MAX_TRANSFERS = 64;

/** One copy of a plan's KV cache. */
export type Transfer = {
  readonly plan: PlanId;
  readonly direction: TransferDirection;
  readonly tokens: number;
  /** Set once it runs. */
  endsAt: Timestamp | undefined;
};

/** Copies of KV cache, one at a time, first come first served. */
export class Transfers {
  readonly #tokensPerMs: number;
  #queue: Transfer[] = [];

  private constructor(tokensPerMs: number) {
    this.#tokensPerMs = tokensPerMs;
  }

  static create(tokensPerMs: number): Transfers {
    return new Transfers(tokensPerMs);
  }

  get full(): boolean {
    return this.#queue.length >= MAX_TRANSFERS;
  }

  /** When the running one ends. */
  get endsAt(): Timestamp | undefined {
    return this.#queue[0]?.endsAt;
  }

  add(now: Timestamp, transfer: Omit<Transfer, "endsAt">): void {
    this.#queue.push({ ...transfer, endsAt: undefined });
    this.#start(now);
  }

  /** Ends the running one and returns it. */
  end(now: Timestamp): Transfer | undefined {
    const ended = this.#queue.shift();
    this.#start(now);
    return ended;
  }

  /** Drops a plan's transfers, running or not; returns them. */
  drop(
    now: Timestamp,
    plan: PlanId,
    direction?: TransferDirection,
  ): readonly Transfer[] {
    const isDropped = (one: Transfer) =>
      one.plan === plan && (direction ?? one.direction) === one.direction;
    const dropped = this.#queue.filter(isDropped);
    this.#queue = this.#queue.filter((one) => !isDropped(one));
    this.#start(now);
    return dropped;
  }

  clear(): void {
    this.#queue = [];
  }

  #start(now: Timestamp): void {
    const first = this.#queue[0];
    if (first === undefined || first.endsAt !== undefined) return;
    first.endsAt = addMs(now, first.tokens / this.#tokensPerMs);
  }
}
