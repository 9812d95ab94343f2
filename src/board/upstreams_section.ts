import type {
  DomainId,
  GroupId,
  Incarnation,
  ServiceId,
  UpstreamId,
} from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import type { EngineState, LoadReport } from "../wire/engine.ts";

/** Whether new work may go to an upstream. */
export type UpstreamState = "live" | "leaving" | "unreachable";

/** One engine or one instance of a plain service. */
export type Upstream = Readonly<{
  id: UpstreamId;
  kind: "engine" | "service";
  domain: DomainId;
  /** `host:port` of its HTTP listener. */
  address: string;
  incarnation: Incarnation;
  state: UpstreamState;
  /** When the upstream became unreachable; present while `state` is `unreachable`. */
  unreachableAt?: Timestamp;
  group?: GroupId;
  service?: ServiceId;
  load?: LoadReport;
  engine?: EngineState;
  /** When the upstream last responded to a state or load poll. */
  lastResponseAt?: Timestamp;
}>;

/** All upstreams of the cell; written by `UpstreamController`. */
export type UpstreamsSection = { byId: Map<UpstreamId, Upstream> };

/** State before a VM list has been read. */
export function createUpstreamsSection(): UpstreamsSection {
  return { byId: new Map() };
}
