import type { DaemonId, DomainId, VmId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";

/** Identity and addresses of this daemon, from its settings; constant for its lifetime. */
export type Self = Readonly<{
  id: DaemonId;
  vm: VmId;
  domain: DomainId;
  /** `host:port` where clients connect. */
  clientAddress: string;
  /** `host:port` where other daemons connect. */
  peerAddress: string;
  startedAt: Timestamp;
}>;
