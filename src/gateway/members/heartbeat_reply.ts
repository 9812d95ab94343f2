import type { Timestamp } from "../../core/time.ts";
import { contentSyncFor } from "../contents/content_sync.ts";
import { type GatewayBoard, storeProgressOf } from "../gateway_board.ts";
import type { PeerCard, PeerMessage } from "../peers/peer_message.ts";
import { settlingUntil } from "../store/settling.ts";
import { isBefore, resolvePosition } from "../store/store_position.ts";
import { entriesWithColdTime } from "../upstreams/cold_rate.ts";
import { MAX_DATAGRAM_ENTRIES } from "../upstreams/table_message.ts";
import { bestLeaders } from "./member_table.ts";
import type { RosterUpdate } from "./roster.ts";

/** Candidates for leader in a reply: a leader, its deputy, and two that take over if these are down. */
const MAX_CANDIDATES = 4;

type Heartbeat = Extract<PeerMessage, { type: "heartbeat" }>;
type HeartbeatReply = Extract<PeerMessage, { type: "heartbeat_reply" }>;

/** A heartbeat with the daemons that its reply names: the update of the roster, and all that the replier has heard. */
type AnsweredHeartbeat =
  & Omit<Heartbeat, "roster">
  & Readonly<{
    roster: RosterUpdate | undefined;
    candidates: readonly PeerCard[];
  }>;

/** The reply to a heartbeat: what its sender lacks, or that it has to fetch the table of upstreams. */
export function heartbeatReply(
  board: GatewayBoard,
  now: Timestamp,
  heartbeat: AnsweredHeartbeat,
): HeartbeatReply {
  const { members, register, self, store } = board;
  const { table } = register;
  const position = resolvePosition(heartbeat.progress, store);
  const isBehind = isBefore(position, register.lastChange);
  const mustFetch = isBehind && heartbeat.fetches === true &&
    table.size > MAX_DATAGRAM_ENTRIES;
  return {
    type: "heartbeat_reply",
    from: self.card,
    progress: storeProgressOf(board, now),
    leader: members.leader,
    roster: heartbeat.roster,
    candidates: heartbeat.seeks === true
      ? bestCandidates(heartbeat.candidates)
      : undefined,
    ...(mustFetch ? { behind: true } : {}),
    ...(isBehind && !mustFetch
      ? tableFor(board, now, position.offset < 0)
      : {}),
    contents: contentSyncFor(board, now, {
      to: heartbeat.from.vm,
      mark: heartbeat.contents?.mark,
    }),
    rates: board.gate.rates.notices(now),
    cold: board.gate.cold.notices(now),
  };
}

/** The best open daemons, and the best ones while few are open. */
function bestCandidates(cards: readonly PeerCard[]): readonly PeerCard[] {
  const open = bestLeaders(
    cards.filter((card) => card.open),
    MAX_CANDIDATES,
  );
  if (open.length === MAX_CANDIDATES) return open;
  const others = cards.filter((card) => !card.open);
  return [...open, ...bestLeaders(others, MAX_CANDIDATES - open.length)];
}

/** The table of upstreams, with the processes that are gone if the receiver has none or an older copy may list them. */
function tableFor(
  board: GatewayBoard,
  now: Timestamp,
  isNew: boolean,
): Pick<HeartbeatReply, "entries" | "kept" | "gone"> {
  const { table } = board.register;
  const kept = table.kept(now);
  const needsGone = isNew || settlingUntil(board.store, now) !== undefined;
  return {
    entries: entriesWithColdTime(board, now),
    kept: kept.length > 0 ? kept : undefined,
    gone: needsGone ? table.recentlyGone() : undefined,
  };
}
