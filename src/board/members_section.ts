import type {
  DaemonId,
  DomainId,
  Revision,
  UpstreamId,
  VmId,
} from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";

/** How far a daemon is with its shutdown. */
export type DrainState = "serving" | "leaving" | "refusing" | "finished";
/** What a daemon says of itself to others. */
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
  /** Peer addresses from the VM list, heard from or not. */
  addresses: readonly string[];
  drain: DrainState;
  /** Whether this daemon knows the configuration and the upstreams, so that others may count on it. */
  ready: boolean;
  /** The daemon that places prompts for the cell; possibly this one. */
  scheduler: DaemonId;
  /** Upstreams that a peer says are leaving or crashed, by what it saw last. */
  upstreamUpdates: Map<
    UpstreamId,
    Readonly<{ incarnation: string; state: string }>
  >;
};

/** A daemon's view before it has heard from anyone. */
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
