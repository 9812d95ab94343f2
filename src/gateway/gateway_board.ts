import type { VmId } from "../core/id.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import { PoolScheduler } from "../scheduling/pool/pool_scheduler.ts";
import { CrashSuspects } from "./contents/crash_suspects.ts";
import { MemberTable } from "./members/member_table.ts";
import type { PeerCard, StoreProgress } from "./peers/peer_message.ts";
import type { RouteTable } from "./serving/route_table.ts";
import { EvacuatedDomains } from "./serving/evacuated_domains.ts";
import type { ConfigVersion } from "./serving/serving_config.ts";
import { ColdUpstreams } from "./upstreams/cold_upstreams.ts";
import { NamedRates } from "./upstreams/named_rates.ts";
import { SelfReportedClosures } from "./upstreams/self_reported_closures.ts";
import {
  type StoreEra,
  type StorePosition,
  UNKNOWN_ERA,
  UNREAD,
} from "./store/store_position.ts";
import {
  UpstreamTable,
  type UpstreamUpdate,
} from "./upstreams/upstream_table.ts";

const NEVER = -Infinity as Timestamp;

/** This daemon's own card, seeds and drain state. */
export type SelfSection = {
  card: PeerCard;
  /** Peer addresses (`host:port`) of daemons that list the other daemons. */
  readonly seeds: readonly string[];
  drainingSince: Timestamp | undefined;
};

/** Written by the era controller. */
export type StoreSection = {
  /** Newest era that the store or another daemon has named. */
  era: StoreEra;
  /** When that era began, or when this daemon learnt of it; -Infinity if it knows of no restore. */
  restoredAt: Timestamp;
};

/** Written by the members controller. */
export type MembersSection = {
  readonly table: MemberTable;
  /** Places the requests of all daemons. */
  leader: VmId;
  /** Takes over from the leader and mirrors its state; absent if there is only one daemon. */
  deputy: VmId | undefined;
  /** Since when the leader is the leader to this daemon; undefined before the first step. */
  electedAt: Timestamp | undefined;
  heartbeatMs: Millis;
  /** When another daemon replied for the first time, or when none had in time; undefined before. */
  introducedAt: Timestamp | undefined;
};

/** Written by the serving controller. */
export type ServingSection = {
  routes: RouteTable | undefined;
  version: ConfigVersion;
  /** Whether, since the start, a version was in force that was as new as those of the other daemons. */
  caughtUp: boolean;
  /** Failure domains whose upstreams are sent nothing new. */
  readonly evacuated: EvacuatedDomains;
  appliedAt: Timestamp;
  /** Latest time at which the version is known to have been the newest. */
  asOf: Timestamp;
};

/** Written by the register controller. */
export type RegisterSection = {
  readonly table: UpstreamTable;
  /** How far the register was read. */
  position: StorePosition;
  /** Value of `position` when the table last changed, or when it was read for the first time in an era. */
  lastChange: StorePosition;
  /** Latest time at which the table is known to have matched the register. */
  asOf: Timestamp;
  /** Changes made by the last step. */
  updates: readonly UpstreamUpdate[];
};

/** Written by the placement controller. */
export type PoolSection = {
  readonly scheduler: PoolScheduler;
};

/** What upstreams say of themselves: closures, by the availability controller, and rates, by the rate controller. */
export type GateSection = {
  readonly closures: SelfReportedClosures;
  readonly rates: NamedRates;
  readonly cold: ColdUpstreams;
};

/** Written by the content controller; the placement of a request may use up a trial of a quarantined content. */
export type ContentSection = {
  readonly suspects: CrashSuspects;
};

/** The shared state of a daemon. Each section has one writing controller; `contents` also changes on placement. */
export type GatewayBoard = Readonly<{
  self: SelfSection;
  store: StoreSection;
  members: MembersSection;
  serving: ServingSection;
  register: RegisterSection;
  gate: GateSection;
  contents: ContentSection;
  pool: PoolSection;
}>;

/** Builds the initial board of a daemon. */
export function createGatewayBoard(
  card: PeerCard,
  seeds: readonly string[],
): GatewayBoard {
  return {
    self: { card, seeds, drainingSince: undefined },
    store: { era: UNKNOWN_ERA, restoredAt: NEVER },
    members: {
      table: MemberTable.create(card.vm),
      leader: card.vm,
      deputy: undefined,
      electedAt: undefined,
      heartbeatMs: 0,
      introducedAt: undefined,
    },
    serving: {
      routes: undefined,
      version: 0 as ConfigVersion,
      caughtUp: false,
      evacuated: EvacuatedDomains.create(),
      appliedAt: NEVER,
      asOf: NEVER,
    },
    register: {
      table: UpstreamTable.create(),
      position: UNREAD,
      lastChange: UNREAD,
      asOf: NEVER,
      updates: [],
    },
    gate: {
      closures: SelfReportedClosures.create(),
      rates: NamedRates.create(),
      cold: ColdUpstreams.create(),
    },
    contents: { suspects: CrashSuspects.create() },
    pool: { scheduler: PoolScheduler.create() },
  };
}

/** Upper limit of reported ages; also the age of data that was never read. */
const MAX_REPORTED_AGE_MS: Millis = 1e9;

/** The version and the position in the register that this daemon has read, with their ages in ms. */
export function storeProgressOf(
  board: GatewayBoard,
  now: Timestamp,
): StoreProgress {
  const { serving, register, store } = board;
  const { era, offset } = register.position;
  const knowsRestore = era === store.era && store.restoredAt !== NEVER;
  return {
    version: serving.version,
    versionAgeMs: ageOf(serving.asOf, now),
    offset,
    ageMs: ageOf(register.asOf, now),
    ...(era === UNKNOWN_ERA ? {} : { era }),
    ...(knowsRestore ? { eraAgeMs: ageOf(store.restoredAt, now) } : {}),
    evacuations: serving.evacuated.state,
  };
}

function ageOf(asOf: Timestamp, now: Timestamp): Millis {
  return Math.min(MAX_REPORTED_AGE_MS, Math.max(0, now - asOf));
}
