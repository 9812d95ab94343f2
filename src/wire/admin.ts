import { z } from "zod";
import type {
  DaemonId,
  Digest,
  DomainId,
  FencingNumber,
  GroupId,
  Incarnation,
  Revision,
  ServiceId,
  UpstreamId,
  VmId,
} from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { countSchema, idSchema } from "./brands.ts";
import { LoadedSchema } from "./engine.ts";

const nonNegativeInt = z.number().int().nonnegative();
const revision = z.number().int().min(-1).transform((value) =>
  value as Revision
);
const drainState = z.enum(["serving", "leaving", "refusing", "finished"]);
const peerState = z.enum(["starting", ...drainState.options]);
const counts = z.record(z.string(), nonNegativeInt);

/** Another daemon, as seen by the responding daemon. */
export const AdminPeerSchema = z.object({
  id: idSchema<DaemonId>(),
  vm: idSchema<VmId>(),
  domain: idSchema<DomainId>(),
  client_address: z.string(),
  peer_address: z.string(),
  state: peerState,
  revision,
  running: nonNegativeInt,
  queued: nonNegativeInt,
  heard_at: countSchema<Timestamp>(),
}).readonly();
/** Another daemon, as seen by the responding daemon. */
export type AdminPeer = z.infer<typeof AdminPeerSchema>;

/** An upstream, as seen by the responding daemon; load is absent until a report was read. */
export const AdminUpstreamSchema = z.object({
  id: idSchema<UpstreamId>(),
  kind: z.enum(["engine", "service"]),
  domain: idSchema<DomainId>(),
  address: z.string(),
  incarnation: idSchema<Incarnation>(),
  state: z.enum(["live", "leaving", "unreachable"]),
  group: idSchema<GroupId>().optional(),
  service: idSchema<ServiceId>().optional(),
  loaded: z.array(LoadedSchema).optional(),
  running: nonNegativeInt.optional(),
  waiting: nonNegativeInt.optional(),
  kv_free_tokens: nonNegativeInt.optional(),
  load_at: countSchema<Timestamp>().optional(),
}).readonly();
/** An upstream, as seen by the responding daemon. */
export type AdminUpstream = z.infer<typeof AdminUpstreamSchema>;

/** The lease on one group of engines. */
export const AdminLeaseSchema = z.object({
  group: idSchema<GroupId>(),
  holder: idSchema<DaemonId>(),
  fencing: countSchema<FencingNumber>(),
  expires_at: countSchema<Timestamp>().optional(),
}).readonly();
/** The lease on one group of engines. */
export type AdminLease = z.infer<typeof AdminLeaseSchema>;

/** Quarantined content: refused because engines crashed while they ran it. */
export const AdminQuarantineSchema = z.object({
  digest: idSchema<Digest>(),
  since: countSchema<Timestamp>(),
}).readonly();
/** Quarantined content: refused because engines crashed while they ran it. */
export type AdminQuarantine = z.infer<typeof AdminQuarantineSchema>;

/** Response to `GET /v1/admin/status`: the state as one daemon sees it. */
export const AdminStatusSchema = z.object({
  id: idSchema<DaemonId>(),
  vm: idSchema<VmId>(),
  domain: idSchema<DomainId>(),
  client_address: z.string(),
  peer_address: z.string(),
  /** When the daemon built this response, by its clock. */
  at: countSchema<Timestamp>(),
  started_at: countSchema<Timestamp>(),
  state: drainState,
  /** -1 until a configuration is applied. */
  revision,
  /** Whether admission has stopped because the revision can't be confirmed as current. */
  config_stale: z.boolean(),
  running: nonNegativeInt,
  queued: nonNegativeInt,
  suspects: nonNegativeInt,
  /** Peer addresses of the other live entry VMs on the platform's list, also of those that sent no heartbeat yet. */
  listed: z.array(z.string()),
  peers: z.array(AdminPeerSchema),
  upstreams: z.array(AdminUpstreamSchema),
  quarantine: z.array(AdminQuarantineSchema),
  leases: z.array(AdminLeaseSchema),
  counters: z.object({ refused: counts, retried: counts, counted: counts }),
}).readonly();
/** The state of the deployment as one daemon sees it. */
export type AdminStatus = z.infer<typeof AdminStatusSchema>;

/** Response to `POST /v1/admin/drain`, which is idempotent. */
export const AdminDrainSchema = z.object({
  id: idSchema<DaemonId>(),
  vm: idSchema<VmId>(),
  state: drainState,
}).readonly();
/** Response to `POST /v1/admin/drain`. */
export type AdminDrain = z.infer<typeof AdminDrainSchema>;
