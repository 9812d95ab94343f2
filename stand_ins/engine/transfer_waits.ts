import type { PlanId } from "../../src/core/id.ts";
import type { TransferDirection } from "./job.ts";

type Wait = Readonly<
  { plan: PlanId; direction: TransferDirection; end: (whole: boolean) => void }
>;

/** Calls that wait for the end of a copy of KV cache; at most one for each plan and direction. */
export class TransferWaits {
  #waits: Wait[] = [];

  private constructor() {}

  static create(): TransferWaits {
    return new TransferWaits();
  }

  has(plan: PlanId, direction: TransferDirection): boolean {
    return this.#waits.some((wait) =>
      wait.plan === plan && wait.direction === direction
    );
  }

  /** Resolves when the copy has ended; false if it broke off. */
  wait(plan: PlanId, direction: TransferDirection): Promise<boolean> {
    return new Promise((end) => this.#waits.push({ plan, direction, end }));
  }

  /** Ends the waits for which `isOver` says how they ended. */
  settle(isOver: (wait: Wait) => boolean | undefined): void {
    const ended = this.#waits.map((wait) => ({ wait, whole: isOver(wait) }));
    this.#waits = ended
      .filter(({ whole }) => whole === undefined)
      .map(({ wait }) => wait);
    for (const { wait, whole } of ended) {
      if (whole !== undefined) wait.end(whole);
    }
  }
}
