import type { DomainId, ServiceId, UpstreamId, VmId } from "../core/id.ts";
import type { PeerCard } from "../gateway/peers/peer_message.ts";
import type {
  ConfigVersion,
  ServingConfig,
} from "../gateway/serving/serving_config.ts";
import type { UpstreamEntry } from "../gateway/upstreams/upstream_table.ts";

/** Card of a daemon that is open to clients. */
export function peerCard(
  name: string,
  fields: Partial<PeerCard> = {},
): PeerCard {
  return {
    vm: name as VmId,
    peer: `${name}:1`,
    front: `${name}:80`,
    domain: "a" as DomainId,
    region: "r",
    power: 0.5,
    startedAt: 1,
    open: true,
    slow: false,
    packed: true,
    ...fields,
  };
}

/** A configuration without routes. */
export function emptyServing(version: number): ServingConfig {
  return {
    version: version as ConfigVersion,
    routes: [],
    services: new Map(),
    limits: {
      headBytes: 16_384,
      bodyBytes: 4_194_304,
      headMs: 3_000,
      idleMs: 15_000,
    },
  };
}

/** Register entry of an upstream that is available. */
export function upstreamEntry(
  id: string,
  fields: Partial<UpstreamEntry> = {},
): UpstreamEntry {
  return {
    id: id as UpstreamId,
    service: "pool" as ServiceId,
    address: `${id}:8080`,
    domain: "a" as DomainId,
    slots: 11,
    leaving: false,
    startedAt: 1,
    ...fields,
  };
}
