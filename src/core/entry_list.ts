import { createHash } from "node:crypto";
import type { Blackboard } from "../board/blackboard.ts";
import { livePeers } from "../controllers/membership_controller.ts";
import type { DomainId } from "./id.ts";
import type { Millis, Timestamp } from "./time.ts";

/** Limit of addresses in one list. */
const MAX_ENTRIES = 8;

/** Client address of a serving daemon, its failure domain and its count of running requests. */
export type EntryAddress = Readonly<
  { address: string; domain: DomainId; running: number }
>;

/** Addresses in the order in which one client should try them, and how long it may cache them. */
export type EntryList = Readonly<
  { entries: readonly EntryAddress[]; maxAgeMs: Millis }
>;

/** Lists the serving daemons in an order that differs by client, which spreads peaks in demand; busier daemons rank lower. */
export function listEntries(
  board: Blackboard,
  options: { client: string; now: Timestamp; maxAgeMs: Millis },
): EntryList {
  const entries = servingDaemons(board, options.now);
  const busiest = Math.max(1, ...entries.map((entry) => entry.running));
  const ranked = entries
    .map((entry) => ({
      entry,
      rank: hashFraction(options.client, entry.address) +
        entry.running / busiest,
    }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ entry }) => entry);
  return { entries: ranked.slice(0, MAX_ENTRIES), maxAgeMs: options.maxAgeMs };
}

function servingDaemons(
  board: Blackboard,
  now: Timestamp,
): readonly EntryAddress[] {
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

/** Returns a number in [0, 1) that depends only on client and address. */
function hashFraction(client: string, address: string): number {
  const digest = createHash("sha1").update(`${client}\n${address}`).digest();
  return digest.readUInt32BE(0) / 2 ** 32;
}
