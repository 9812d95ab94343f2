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

/** Another daemon, as the answering daemon knows it. */
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
/** Another daemon, as the answering daemon knows it. */
export type AdminPeer = z.infer<typeof AdminPeerSchema>;

/** An upstream, as the answering daemon knows it; load is absent until a report was read. */
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
/** An upstream, as the answering daemon knows it. */
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

/** Content that is refused because engines crashed while they ran it. */
export const AdminQuarantineSchema = z.object({
  digest: idSchema<Digest>(),
  since: countSchema<Timestamp>(),
}).readonly();
/** Content that is refused because engines crashed while they ran it. */
export type AdminQuarantine = z.infer<typeof AdminQuarantineSchema>;

/** Answer to `GET /v1/admin/status`: one daemon's own view. */
export const AdminStatusSchema = z.object({
  id: idSchema<DaemonId>(),
  vm: idSchema<VmId>(),
  domain: idSchema<DomainId>(),
  client_address: z.string(),
  peer_address: z.string(),
  /** When the daemon answered, by its clock. */
  at: countSchema<Timestamp>(),
  started_at: countSchema<Timestamp>(),
  state: drainState,
  /** -1 while no configuration is in force. */
  revision,
  /** Whether admission has stopped because nothing confirms the revision. */
  config_stale: z.boolean(),
  running: nonNegativeInt,
  queued: nonNegativeInt,
  suspects: nonNegativeInt,
  /** Peer addresses of the other live entry VMs on the platform's list, heard from or not. */
  listed: z.array(z.string()),
  peers: z.array(AdminPeerSchema),
  upstreams: z.array(AdminUpstreamSchema),
  quarantine: z.array(AdminQuarantineSchema),
  leases: z.array(AdminLeaseSchema),
  counters: z.object({ refused: counts, retried: counts, counted: counts }),
}).readonly();
/** One daemon's own view. */
export type AdminStatus = z.infer<typeof AdminStatusSchema>;

/** Answer to `POST /v1/admin/drain`: asking again is harmless. */
export const AdminDrainSchema = z.object({
  id: idSchema<DaemonId>(),
  vm: idSchema<VmId>(),
  state: drainState,
}).readonly();
/** Answer to `POST /v1/admin/drain`. */
export type AdminDrain = z.infer<typeof AdminDrainSchema>;
