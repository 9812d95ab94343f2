import { fnv1aHash } from "../../core/fnv1a.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import { livenessTimeoutMs } from "../members/membership.ts";
import type { PeerCard } from "../peers/peer_message.ts";

/** Time limit of a fetch: hundreds of daemons may fetch from the same one at the same time. */
export const FETCH_TIMEOUT_MS: Millis = 3_000;

/** Fetches the whole table of upstreams from another daemon, one fetch at a time. */
export class TableFetch {
  #pendingUntil = -Infinity as Timestamp;
  #failures = 0;

  static create(): TableFetch {
    return new TableFetch();
  }

  /** Fetches the table from an open daemon of the own failure domain, or from `replier`, which has a newer one. */
  begin(board: GatewayBoard, step: GatewayStep, replier: PeerCard): void {
    if (step.now < this.#pendingUntil) return;
    this.#pendingUntil = addMs(step.now, FETCH_TIMEOUT_MS);
    const peer = this.#failures > 0 ? replier : sourceOf(board, step, replier);
    step.emit({ type: "fetch_table", peer });
  }

  /** Ends a fetch; a failed one is repeated at the daemon that announced the table. */
  end(result: "applied" | "failed"): void {
    this.#pendingUntil = -Infinity as Timestamp;
    this.#failures = result === "applied" ? 0 : this.#failures + 1;
  }
}

/** Spreads the fetches over the failure domain: the daemons that are open have a table. */
function sourceOf(
  board: GatewayBoard,
  step: GatewayStep,
  replier: PeerCard,
): PeerCard {
  const { members, self } = board;
  const sources = members.table.live(step.now, livenessTimeoutMs(board))
    .filter((card) => card.open && card.domain === self.card.domain);
  return sources[fnv1aHash(self.card.vm) % Math.max(1, sources.length)] ??
    replier;
}
