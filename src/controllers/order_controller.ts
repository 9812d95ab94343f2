import type { Blackboard } from "../board/blackboard.ts";
import type { Group, ServingConfig } from "../config/serving.ts";
import { Controller } from "../core/controller.ts";
import type { GroupId, RecordId, UpstreamId } from "../core/id.ts";
import { rendezvousRank } from "../core/rendezvous.ts";
import type { StepContext } from "../core/step_context.ts";
import {
  addMs,
  HOUR_MS,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../core/time.ts";
import {
  isLoading,
  matchesGroup,
  type ReportingEngine,
  reportingEngines,
  targetWeights,
} from "../fold/desired_state.ts";
import {
  type Lease,
  LeaseFold,
  type Leases,
  NO_LEASE,
  takeoverDelayMs,
} from "../fold/lease_fold.ts";
import type { LogEntry } from "../fold/log_reader.ts";
import { LogTail } from "../fold/log_tail.ts";
import { Outbox } from "../fold/outbox.ts";
import { LEASES_STREAM } from "../fold/streams.ts";
import { livePeers } from "./membership_controller.ts";

/** Time after which a lease expires without renewal. */
export const LEASE_TTL_MS: Millis = 30 * SECOND_MS;
/** Maximum number of concurrent loads; the weight store serves no more at a time. */
export const MAX_CONCURRENT_LOADS = 2;
const LEASE_RENEW_MS: Millis = LEASE_TTL_MS / 3;
/** Extra delay per rank before a daemon takes a lease or writes a checkpoint, so that daemons rarely compete. */
const RANK_DELAY_MS: Millis = 2 * SECOND_MS;
/** Time after an order within which a report may still show the engine's earlier state. */
const REPORT_LAG_MS: Millis = 2 * SECOND_MS;
/** Minimum time between two orders to the same engine; for as long, an order counts as a load. */
const ORDER_RETRY_MS: Millis = 5 * SECOND_MS;
const CHECKPOINT_INTERVAL_MS: Millis = 5 * 60 * SECOND_MS;
/** Time without a checkpoint after which every lease must have expired. */
const ALL_EXPIRED_MS: Millis = 2 * CHECKPOINT_INTERVAL_MS + LEASE_TTL_MS;
const ID_RETENTION_MS: Millis = HOUR_MS;
const MAX_IDS = 4_096;
const MAX_OUTGOING = 1_024;
/** Same key for all groups, so that one daemon usually holds all leases and its limit on loads covers all groups. */
const RANK_KEY = "leases";

type PendingChange = Readonly<{ id: RecordId; sentAt: Timestamp }>;

/** This daemon's view of a group's lease, with times of its own clock. */
type LocalLease = {
  /** When the newest accepted record of the lease was read. */
  readAt: Timestamp;
  pending?: PendingChange;
  /** Time until which this daemon surely holds the lease, counted from before the append. */
  heldUntil?: Timestamp;
};

/** Sends orders to the engines of the groups whose lease this daemon holds. */
export class OrderController extends Controller {
  override readonly name = "orders";
  readonly #tail = LogTail.create(LEASES_STREAM, {
    idRetentionMs: ID_RETENTION_MS,
    maxIds: MAX_IDS,
  });
  readonly #fold = LeaseFold.create();
  readonly #outbox = Outbox.create(LEASES_STREAM, { max: MAX_OUTGOING });
  readonly #localLeases = new Map<GroupId, LocalLease>();
  /** When each engine was last sent an order. */
  readonly #orderedAt = new Map<UpstreamId, Timestamp>();
  readonly #reportedAt = new Map<UpstreamId, Timestamp>();
  #checkpointAt: Timestamp | undefined;
  #noStateSince: Timestamp | undefined;

  static create(): OrderController {
    return new OrderController();
  }

  override step(board: Blackboard, ctx: StepContext): void {
    this.#outbox.handleAnswers(ctx);
    this.#readLog(ctx);
    for (const event of ctx.events) {
      if (event.type === "state_reported") {
        this.#reportedAt.set(event.upstream, ctx.now);
      }
      if (event.type === "order_ended" && event.result === "stale") {
        ctx.counters.add("orders_stale");
      }
    }
    this.#removeUnlisted(board);
    this.#cancelOverdue(ctx.now);
    const { serving } = board.config;
    if (serving !== undefined) this.#handleGroups(board, ctx, serving);
    this.#outbox.sendDue(ctx);
    this.#publish(board, ctx.now);
  }

  #readLog(ctx: StepContext): void {
    const { restartedAt, entries } = this.#tail.step(ctx);
    if (restartedAt !== undefined) {
      this.#fold.restart(restartedAt);
      this.#localLeases.clear();
    }
    for (const entry of entries) this.#applyRecord(ctx, entry);
  }

  #applyRecord(ctx: StepContext, entry: LogEntry): void {
    const hadNoState = this.#fold.state === undefined;
    for (const decision of this.#fold.foldRecord(entry)) {
      const { group } = decision.change;
      const local = this.#localLease(group, ctx.now);
      if (decision.accepted) local.readAt = ctx.now;
      if (local.pending?.id !== decision.change.id) continue;
      this.#outbox.cancel(decision.change.id);
      if (decision.accepted && decision.change.type !== "lease_release") {
        local.heldUntil = addMs(local.pending.sentAt, LEASE_TTL_MS);
      }
      if (decision.change.type === "lease_grant") {
        ctx.counters.add(decision.accepted ? "leases_won" : "leases_lost");
      }
      local.pending = undefined;
    }
    if (hadNoState || !isCheckpoint(entry)) return;
    this.#checkpointAt = ctx.now;
  }

  #handleGroups(
    board: Blackboard,
    ctx: StepContext,
    serving: ServingConfig,
  ): void {
    const leases = this.#fold.state;
    if (leases === undefined || !this.#tail.reader.caughtUp) {
      return this.#initIfAllExpired(ctx);
    }
    const peers = livePeers(board, ctx.now).map((peer) => peer.id);
    const rank = rendezvousRank(RANK_KEY, board.self.id, peers);
    this.#checkpointIfDue(ctx, leases, rank);
    for (const group of serving.groups) {
      const lease = leases.get(group.id);
      if (lease?.holder === board.self.id && !lease.released) {
        this.#serveHeldGroup(board, ctx, { group, lease, serving });
      } else if (board.members.drain === "serving") {
        this.#takeOverIfDue(board, ctx, { group, lease, rank });
      }
    }
  }

  /** Appends an empty checkpoint if none was read for ALL_EXPIRED_MS, when every lease has expired. */
  #initIfAllExpired(ctx: StepContext): void {
    if (this.#fold.state !== undefined || !this.#tail.reader.caughtUp) {
      this.#noStateSince = undefined;
      return;
    }
    this.#noStateSince ??= ctx.now;
    const dueAt = addMs(this.#noStateSince, ALL_EXPIRED_MS);
    if (ctx.now < dueAt) return ctx.wakeAt(dueAt);
    this.#noStateSince = undefined;
    this.#append(ctx, {
      type: "lease_checkpoint",
      covers: this.#tail.reader.next,
      leases: [],
    });
  }

  #checkpointIfDue(ctx: StepContext, leases: Leases, rank: number): void {
    if (leases.size === 0) return;
    this.#checkpointAt ??= ctx.now;
    const dueAt = addMs(
      this.#checkpointAt,
      CHECKPOINT_INTERVAL_MS + rank * RANK_DELAY_MS,
    );
    if (ctx.now < dueAt) return ctx.wakeAt(dueAt);
    this.#checkpointAt = ctx.now;
    this.#append(ctx, {
      type: "lease_checkpoint",
      covers: this.#tail.reader.next,
      leases: [...leases],
    });
    ctx.counters.add("checkpoints_appended");
  }

  #serveHeldGroup(
    board: Blackboard,
    ctx: StepContext,
    held: { group: Group; lease: Lease; serving: ServingConfig },
  ): void {
    const { group, lease } = held;
    const local = this.#localLease(group.id, ctx.now);
    if (local.pending === undefined) {
      const leaving = board.members.drain !== "serving";
      const dueAt = local.heldUntil === undefined
        ? ctx.now
        : addMs(local.heldUntil, LEASE_RENEW_MS - LEASE_TTL_MS);
      if (leaving) this.#appendChange(ctx, group.id, "lease_release", lease);
      else if (ctx.now >= dueAt) {
        this.#appendChange(ctx, group.id, "lease_renewal", lease);
      } else ctx.wakeAt(dueAt);
      if (leaving) local.heldUntil = undefined;
    }
    if (!this.#mayOrder(group, ctx.now)) return;
    ctx.wakeAt(addMs(local.heldUntil ?? ctx.now, -group.orderDelayMs));
    this.#sendOrders(board, ctx, held);
  }

  #appendChange(
    ctx: StepContext,
    group: GroupId,
    type: "lease_renewal" | "lease_release",
    lease: Lease,
  ): void {
    const id = this.#append(ctx, { type, group, fencing: lease.fencing });
    this.#localLease(group, ctx.now).pending = { id, sentAt: ctx.now };
  }

  /** Takes over a lease after a delay: its holder may still rely on it, and the last order may be in transit. */
  #takeOverIfDue(
    board: Blackboard,
    ctx: StepContext,
    options: { group: Group; lease: Lease | undefined; rank: number },
  ): void {
    const { group, lease, rank } = options;
    const local = this.#localLease(group.id, ctx.now);
    local.heldUntil = undefined;
    if (local.pending !== undefined) return;
    const delay = lease === undefined ? 0 : takeoverDelayMs(lease, group);
    const dueAt = addMs(local.readAt, delay + rank * RANK_DELAY_MS);
    if (ctx.now < dueAt) return ctx.wakeAt(dueAt);
    const id = this.#append(ctx, {
      type: "lease_grant",
      group: group.id,
      holder: board.self.id,
      base: lease?.last ?? NO_LEASE,
      ttlMs: LEASE_TTL_MS,
    });
    local.pending = { id, sentAt: ctx.now };
  }

  #mayOrder(group: Group, now: Timestamp): boolean {
    const { heldUntil } = this.#localLeases.get(group.id) ?? {};
    return heldUntil !== undefined && heldUntil - now > group.orderDelayMs;
  }

  /** Sends the complete desired state to each engine whose reported state differs from it. */
  #sendOrders(
    board: Blackboard,
    ctx: StepContext,
    held: { group: Group; lease: Lease; serving: ServingConfig },
  ): void {
    const { group, lease, serving } = held;
    const engines = reportingEngines(board.upstreams.byId.values());
    for (const engine of engines) {
      if (engine.group !== group.id || matchesGroup(engine, group)) continue;
      if (isLoading(engine) || !this.#isOrderDue(ctx, engine.id)) continue;
      if (this.#countLoads(engines, ctx.now) >= MAX_CONCURRENT_LOADS) return;
      const others = engines.filter((other) =>
        other.id !== engine.id && !this.#isChanging(other, ctx.now)
      );
      const loaded = [...targetWeights(engine, group, { serving, others })];
      this.#orderedAt.set(engine.id, ctx.now);
      ctx.counters.add("orders_sent");
      ctx.emit({
        type: "send_order",
        upstream: engine.id,
        order: { fencing: lease.fencing, loaded, role: "mixed" },
      });
    }
  }

  #isOrderDue(ctx: StepContext, id: UpstreamId): boolean {
    const orderedAt = this.#orderedAt.get(id);
    if (orderedAt === undefined) return true;
    const dueAt = addMs(orderedAt, ORDER_RETRY_MS);
    if (ctx.now < dueAt) ctx.wakeAt(dueAt);
    return ctx.now >= dueAt && !this.#awaitsReport(id);
  }

  #countLoads(engines: readonly ReportingEngine[], now: Timestamp): number {
    return engines.filter((engine) => this.#isChanging(engine, now)).length;
  }

  /** Whether the engine reports that it is loading, or an order is too recent for a report to show its effect. */
  #isChanging(engine: ReportingEngine, now: Timestamp): boolean {
    const orderedAt = this.#orderedAt.get(engine.id);
    const orderedRecently = orderedAt !== undefined &&
      now - orderedAt < ORDER_RETRY_MS;
    return isLoading(engine) || orderedRecently ||
      this.#awaitsReport(engine.id);
  }

  #awaitsReport(id: UpstreamId): boolean {
    const orderedAt = this.#orderedAt.get(id);
    if (orderedAt === undefined) return false;
    return (this.#reportedAt.get(id) ?? 0) < orderedAt + REPORT_LAG_MS;
  }

  #append(
    ctx: StepContext,
    draft: Readonly<Record<string, unknown>>,
  ): RecordId {
    const id = ctx.random.uuid(ctx.now) as RecordId;
    this.#outbox.add({ id, body: JSON.stringify({ ...draft, id }) }, ctx.now);
    return id;
  }

  #localLease(group: GroupId, now: Timestamp): LocalLease {
    const known = this.#localLeases.get(group);
    if (known !== undefined) return known;
    const local: LocalLease = { readAt: now };
    this.#localLeases.set(group, local);
    return local;
  }

  /** Stops waiting for changes that were not read back within LEASE_TTL_MS; they still apply if the log shows them later. */
  #cancelOverdue(now: Timestamp): void {
    for (const local of this.#localLeases.values()) {
      const { pending } = local;
      if (pending === undefined || now - pending.sentAt < LEASE_TTL_MS) {
        continue;
      }
      this.#outbox.cancel(pending.id);
      local.pending = undefined;
    }
  }

  #removeUnlisted(board: Blackboard): void {
    const { byId } = board.upstreams;
    for (const map of [this.#orderedAt, this.#reportedAt]) {
      for (const id of map.keys()) if (!byId.has(id)) map.delete(id);
    }
    const groups = board.config.serving?.groups ?? [];
    const ids = new Set(groups.map((group) => group.id));
    for (const id of this.#localLeases.keys()) {
      if (!ids.has(id)) this.#localLeases.delete(id);
    }
  }

  #publish(board: Blackboard, now: Timestamp): void {
    board.orders.leases = this.#fold.state ?? new Map();
    const groups = board.config.serving?.groups ?? [];
    board.orders.held = groups.filter((group) => this.#mayOrder(group, now))
      .map((group) => group.id);
  }
}

function isCheckpoint(entry: LogEntry): boolean {
  const { type } = entry.value as { type?: unknown };
  return type === "lease_checkpoint";
}
