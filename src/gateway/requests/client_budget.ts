import type { Millis, Timestamp } from "../../core/time.ts";

/** Memory and descriptors that the daemon's process may use. */
export type ProcessResources = Readonly<
  { memoryBytes: number; descriptors: number }
>;

/** What clients may take of the process, all together. */
export type ClientShares = Readonly<{
  /** Bytes that are held for them. */
  bytes: number;
  /** Connections, and besides as many requests that run at upstreams. */
  connections: number;
  /** Connections to the servers that answer GET requests. */
  getConnections: number;
}>;

/** Resources of a process whose settings name none. */
export const DEFAULT_RESOURCES: ProcessResources = {
  memoryBytes: 256 << 20,
  descriptors: 1_024,
};

/** Memory of a process without clients, with what its heap needs to serve them. */
const OWN_BYTES = 96 << 20;
/** The other part is garbage that was not collected yet. */
const HELD_FRACTION = 1 / 2;
/** Memory of an idle process, and of buffers that V8 lets gather before it collects them. */
const IDLE_BYTES = 72 << 20;
const GARBAGE_BYTES = 64 << 20;
/** Part of the clients' bytes that unused buffers of bodies may take besides. */
export const POOL_FRACTION = 1 / 4;
/** Fits some requests with bodies of the usual limits. */
const MIN_HELD_BYTES = 12 << 20;
/** Files, and connections to the store, other daemons and engines. */
const OWN_DESCRIPTORS = 200 + 64;
const MIN_CONNECTIONS = 32;
const CONNECTIONS_FRACTION = 3 / 8;
const GET_CONNECTIONS_FRACTION = 1 / 4;

/** The part that only holders of a few bytes may use, so that ordinary requests have room beside large ones. */
const SMALL_FRACTION = 1 / 4;
const SMALL_BYTES = 64 << 10;

/** A part of a request that comes no further for so long stands still. */
const STILL_MS: Millis = 1_000;
/** A client that reads nothing of its answer for so long is not waited for when memory is short. */
const UNREAD_MS: Millis = 5_000;

/** What clients may take of a process with these resources. */
export function clientSharesOf(resources: ProcessResources): ClientShares {
  const { memoryBytes, descriptors } = resources;
  const bytes = Math.min(
    (memoryBytes - OWN_BYTES) * HELD_FRACTION,
    (memoryBytes - IDLE_BYTES - GARBAGE_BYTES) / (1 + POOL_FRACTION),
  );
  const connections = (fraction: number) =>
    Math.max(
      MIN_CONNECTIONS,
      Math.floor((descriptors - OWN_DESCRIPTORS) * fraction),
    );
  return {
    bytes: Math.max(MIN_HELD_BYTES, Math.floor(bytes)),
    connections: connections(CONNECTIONS_FRACTION),
    getConnections: connections(GET_CONNECTIONS_FRACTION),
  };
}

/** How far what is held for a client has come. */
export type HoldingStage =
  /** A connection without a request. */
  | "idle"
  /** A part of a head. */
  | "head"
  /** What was received behind requests that are not answered. */
  | "behind"
  | "body"
  /** A request that waits for a place, and was passed on to no upstream. */
  | "queued"
  /** An answer that the client does not read. */
  | "unread"
  /** A request that may run, and its answer. */
  | "running";

/** Something that is held for a client: its connection with what was received on it, or one of its requests. */
export type Holding = Readonly<{
  stage: HoldingStage;
  bytes: number;
  /** When a part of it was last received or read. */
  movedAt: Timestamp;
}>;

/** Ranks of what is given up when memory is short, the least useful first; undefined for what is kept. */
function rankOf({ stage, movedAt }: Holding, now: Timestamp) {
  const stillMs = now - movedAt;
  switch (stage) {
    case "behind":
      return 0;
    case "head":
    case "body":
      return stillMs >= STILL_MS ? 0 : 1;
    case "queued":
      return 2;
    case "idle":
      return 3;
    case "unread":
      return stillMs >= UNREAD_MS ? 4 : undefined;
    case "running":
      return undefined;
  }
}

/**
 * The holding to give up when all of them together have `heldBytes`; undefined if they fit, or if the rest is running.
 * Those that stand still go first, then those that hold most.
 *
 * Load pattern: clients outside the limits hold bodies, heads or answers open on many connections, beside ordinary ones.
 */
export function chooseHolding<T extends Holding>(
  holdings: Iterable<T>,
  shares: ClientShares,
  state: Readonly<{ heldBytes: number; now: Timestamp }>,
): T | undefined {
  const { heldBytes, now } = state;
  if (heldBytes <= shares.bytes * (1 - SMALL_FRACTION)) return undefined;
  const minBytes = heldBytes > shares.bytes ? 0 : SMALL_BYTES;
  let chosen: T | undefined;
  let chosenRank = Infinity;
  for (const one of holdings) {
    if (one.bytes <= minBytes) continue;
    const rank = rankOf(one, now);
    if (rank === undefined || rank > chosenRank) continue;
    if (rank === chosenRank && one.bytes <= chosen!.bytes) continue;
    chosen = one;
    chosenRank = rank;
  }
  return chosen;
}

/** A client's connection, as the choice of one to close sees it. */
export type ConnectionUse = Readonly<{
  stage: HoldingStage;
  /** Requests on it so far. */
  requests: number;
  /** Time since it opened, or since its last response was complete. */
  idleMs: Millis;
  movedAt: Timestamp;
}>;

/**
 * The connection to close so that a new one has a descriptor: one that never had a request, the oldest first, then the one
 * that has been idle for longest, then one whose body stands still. Undefined if all are in use.
 *
 * Load pattern: connections are opened without a request, or with one that never becomes whole.
 */
export function chooseConnection<T extends ConnectionUse>(
  connections: Iterable<T>,
  now: Timestamp,
): T | undefined {
  let chosen: T | undefined;
  let chosenRank = Infinity;
  for (const one of connections) {
    const rank = closeRankOf(one, now);
    if (rank === undefined || rank > chosenRank) continue;
    if (rank === chosenRank && one.idleMs <= chosen!.idleMs) continue;
    chosen = one;
    chosenRank = rank;
  }
  return chosen;
}

function closeRankOf(use: ConnectionUse, now: Timestamp): number | undefined {
  switch (use.stage) {
    case "idle":
    case "head":
      return use.requests === 0 ? 0 : 1;
    case "body":
      return now - use.movedAt >= STILL_MS ? 2 : undefined;
    case "unread":
      return now - use.movedAt >= UNREAD_MS ? 3 : undefined;
    default:
      return undefined;
  }
}
