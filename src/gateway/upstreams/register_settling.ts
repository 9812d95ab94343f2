import { fnv1aHash } from "../../core/fnv1a.ts";
import { addMs, type Millis } from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import { rewritingUntil, settledAt, settlingUntil } from "../store/settling.ts";
import { UNKNOWN_ERA } from "../store/store_position.ts";
import type { MergeOptions } from "./upstream_table.ts";

/** Time over which daemons other than the leader spread the read that settles their table. */
const SPREAD_MS: Millis = 1_000;

/** How what the register states is weighed against the table after a restore of the store, and when that ends. */
export class RegisterSettling {
  /** Era of which the whole register was read when what it states held again. */
  #settledEra = UNKNOWN_ERA;

  static create(): RegisterSettling {
    return new RegisterSettling();
  }

  /** How a whole table is weighed against the table that is known. */
  mergeOptions({ store }: GatewayBoard, step: GatewayStep): MergeOptions {
    const settleUntil = settlingUntil(store, step.now);
    const lapseUntil = rewritingUntil(store, step.now);
    return {
      settleUntil,
      ...(lapseUntil === undefined ? {} : { lapseUntil }),
    };
  }

  /** Records that the whole register was read. */
  readWhole({ store }: GatewayBoard, step: GatewayStep): void {
    if (settlingUntil(store, step.now) === undefined) {
      this.#settledEra = store.era;
    }
  }

  /**
   * Whether the next read must be one of the whole register, as what it states holds again: on the leader, from which
   * the others learn of it, and on daemons that still hold to something else.
   */
  mustReadWhole(board: GatewayBoard, step: GatewayStep): boolean {
    const { members, register, self, store } = board;
    if (store.restoredAt === -Infinity || this.#settledEra === store.era) {
      return false;
    }
    const leads = members.leader === self.card.vm;
    if (!leads && !register.table.isUnsettled) return false;
    const until = settlingUntil(store, step.now);
    if (until !== undefined) {
      step.wake(until);
      return false;
    }
    if (leads) return true;
    const readAt = addMs(settledAt(store), fnv1aHash(self.card.vm) % SPREAD_MS);
    if (step.now < readAt) step.wake(readAt);
    return step.now >= readAt;
  }
}
