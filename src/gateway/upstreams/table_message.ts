import type { Buffer } from "node:buffer";
import type { Timestamp } from "../../core/time.ts";
import { type GatewayBoard, storeProgressOf } from "../gateway_board.ts";
import { entriesWithColdTime } from "./cold_rate.ts";
import { encodePeerMessage, type PeerMessage } from "../peers/peer_message.ts";

/** Longest table in a datagram. A longer one takes many packets, of which none may be lost, and is fetched over TCP. */
export const MAX_DATAGRAM_ENTRIES = 128;

/** The whole table of upstreams, as a reply to a heartbeat has it. */
export function tableMessage(
  board: GatewayBoard,
  now: Timestamp,
): PeerMessage {
  const { register, members, self } = board;
  const { table } = register;
  const kept = table.kept(now);
  return {
    type: "heartbeat_reply",
    from: self.card,
    progress: storeProgressOf(board, now),
    leader: members.leader,
    entries: entriesWithColdTime(board, now),
    ...(kept.length > 0 ? { kept } : {}),
    gone: table.recentlyGone(),
  };
}

/** How long an encoded table is sent again; its ages may be as much too low, as those of a response of the store. */
const CACHE_MS = 50;

/**
 * The encoded table for other daemons.
 * Load pattern: hundreds of daemons that start together and fetch the same thousands of entries within a second.
 */
export class EncodedTable {
  #bytes: Buffer | undefined;
  #encodedAt = -Infinity as Timestamp;

  static create(): EncodedTable {
    return new EncodedTable();
  }

  /** The encoded table as of `now` or shortly before; undefined if this daemon has none. */
  bytes(board: GatewayBoard, now: Timestamp): Buffer | undefined {
    if (board.register.position.offset < 0) return undefined;
    if (this.#bytes === undefined || now - this.#encodedAt > CACHE_MS) {
      this.#bytes = encodePeerMessage(tableMessage(board, now));
      this.#encodedAt = now;
    }
    return this.#bytes;
  }
}
