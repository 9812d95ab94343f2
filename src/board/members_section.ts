import type {
  DaemonId,
  DomainId,
  Revision,
  UpstreamId,
  VmId,
} from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";

/** Stage of a daemon's shutdown. */
export type DrainState = "serving" | "leaving" | "refusing" | "finished";
/** State that a daemon reports to its peers. */
export type PeerState = "starting" | DrainState;

/** Another daemon of the cell. */
export type Peer = Readonly<{
  id: DaemonId;
  vm: VmId;
  domain: DomainId;
  clientAddress: string;
  peerAddress: string;
  state: PeerState;
  revision: Revision;
  running: number;
  queued: number;
  lastMessageAt: Timestamp;
}>;

/** The daemons of the cell and this daemon's own shutdown; written by `MembershipController`. */
export type MembersSection = {
  peers: Map<DaemonId, Peer>;
  /** Addresses of all peers on the VM list, reachable or not. */
  addresses: readonly string[];
  drain: DrainState;
  /** Whether this daemon has read the configuration and the upstreams, and so can serve requests. */
  ready: boolean;
  /** The daemon that places prompts for the cell; may be this one. */
  scheduler: DaemonId;
  /** Upstreams that a peer reported as leaving or crashed; the newest report of each. */
  upstreamUpdates: Map<
    UpstreamId,
    Readonly<{ incarnation: string; state: string }>
  >;
};

/** State before any message from a peer. */
export function createMembersSection(self: DaemonId): MembersSection {
  return {
    peers: new Map(),
    addresses: [],
    drain: "serving",
    ready: false,
    scheduler: self,
    upstreamUpdates: new Map(),
  };
}
