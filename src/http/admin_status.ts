import type { Blackboard } from "../board/blackboard.ts";
import type { Peer } from "../board/members_section.ts";
import type { Upstream } from "../board/upstreams_section.ts";
import type { Timestamp } from "../core/time.ts";
import type { AdminPeer, AdminStatus, AdminUpstream } from "../wire/admin.ts";

/** Builds the status of this daemon, as it sees itself and the fleet, for operators. */
export function adminStatus(board: Blackboard, now: Timestamp): AdminStatus {
  const {
    self,
    config,
    members,
    upstreams,
    requests,
    placement,
    quarantine,
    orders,
    counters,
  } = board;
  return {
    id: self.id,
    vm: self.vm,
    domain: self.domain,
    client_address: self.clientAddress,
    peer_address: self.peerAddress,
    at: now,
    started_at: self.startedAt,
    state: members.drain,
    revision: config.revision,
    config_stale: config.stale,
    running: requests.byId.size,
    queued: placement.queued,
    suspects: quarantine.suspects.size,
    listed: [...members.addresses],
    peers: [...members.peers.values()].map(toAdminPeer),
    upstreams: [...upstreams.byId.values()].map(toAdminUpstream),
    quarantine: [...quarantine.quarantined].map(([digest, since]) => ({
      digest,
      since,
    })),
    leases: [...orders.leases].map(([group, { holder, fencing }]) => ({
      group,
      holder,
      fencing,
    })),
    counters: {
      refused: counters.refused,
      retried: counters.retried,
      counted: counters.counted,
    },
  };
}

function toAdminPeer(peer: Peer): AdminPeer {
  return {
    id: peer.id,
    vm: peer.vm,
    domain: peer.domain,
    client_address: peer.clientAddress,
    peer_address: peer.peerAddress,
    state: peer.state,
    revision: peer.revision,
    running: peer.running,
    queued: peer.queued,
    heard_at: peer.lastMessageAt,
  };
}

function toAdminUpstream(upstream: Upstream): AdminUpstream {
  const {
    id,
    kind,
    domain,
    address,
    incarnation,
    state,
    group,
    service,
    load,
    engine,
  } = upstream;
  return {
    id,
    kind,
    domain,
    address,
    incarnation,
    state,
    group,
    service,
    loaded: (engine ?? load)?.loaded,
    running: load?.running,
    waiting: load?.waiting,
    kv_free_tokens: load?.kv_free_tokens,
    load_at: load?.at,
  };
}
