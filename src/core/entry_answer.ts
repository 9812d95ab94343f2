import { createHash } from "node:crypto";
import type { Blackboard } from "../board/blackboard.ts";
import { livePeers } from "../controllers/membership_controller.ts";
import type { DomainId } from "./id.ts";
import type { Millis, Timestamp } from "./time.ts";

/** Addresses in one answer at the most. */
const MAX_ENTRIES = 8;

/** One address that a client may use. */
export type Entry = Readonly<
  { address: string; domain: DomainId; running: number }
>;

/** Addresses in the order in which one client should try them. */
export type EntryAnswer = Readonly<
  { entries: readonly Entry[]; maxAgeMs: Millis }
>;

/** Orders the serving daemons by client, so that a peak in demand spreads; busier ones come later. */
export function entryAnswer(
  board: Blackboard,
  options: { client: string; now: Timestamp; maxAgeMs: Millis },
): EntryAnswer {
  const entries = servingDaemons(board, options.now);
  const busiest = Math.max(1, ...entries.map((entry) => entry.running));
  const ranked = entries
    .map((entry) => ({
      entry,
      rank: draw(options.client, entry.address) + entry.running / busiest,
    }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ entry }) => entry);
  return { entries: ranked.slice(0, MAX_ENTRIES), maxAgeMs: options.maxAgeMs };
}

function servingDaemons(board: Blackboard, now: Timestamp): readonly Entry[] {
  const peers = livePeers(board, now)
    .filter((peer) => peer.state === "serving")
    .map((peer) => ({
      address: peer.clientAddress,
      domain: peer.domain,
      running: peer.running,
    }));
  const { drain, ready } = board.members;
  if (drain !== "serving" || !ready) return peers;
  const { clientAddress, domain } = board.self;
  return [...peers, {
    address: clientAddress,
    domain,
    running: board.requests.byId.size,
  }];
}

/** A number in [0, 1) that is the same for the same client and address. */
function draw(client: string, address: string): number {
  const digest = createHash("sha1").update(`${client}\n${address}`).digest();
  return digest.readUInt32BE(0) / 2 ** 32;
}
