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

/** How long a lease holds without renewal. */
export const LEASE_TTL_MS: Millis = 30 * SECOND_MS;
/** Loads that the weight store serves at a time. */
export const MAX_LOADS = 2;
const RENEW_MS: Millis = LEASE_TTL_MS / 3;
/** Time by which each further daemon waits longer before it takes a lease. */
const TURN_MS: Millis = 2 * SECOND_MS;
/** Time after an order in which the engine's reports may still be older. */
const REPORT_LAG_MS: Millis = 2 * SECOND_MS;
const REPEAT_MS: Millis = 5 * SECOND_MS;
const CHECKPOINT_MS: Millis = 5 * 60 * SECOND_MS;
/** Time without any checkpoint after which no lease can be held by anyone. */
const NOBODY_MS: Millis = 2 * CHECKPOINT_MS + LEASE_TTL_MS;
const ID_MEMORY_MS: Millis = HOUR_MS;
const MAX_IDS = 4_096;
const MAX_OUTGOING = 1_024;
/** One key for all groups, so that one daemon usually holds all leases and counts all loads. */
const TURN_KEY = "leases";

type Pending = Readonly<{ id: RecordId; sentAt: Timestamp }>;

/** What this daemon knows about a group's lease by its own clock. */
type Local = {
  /** When the newest record of the lease was read. */
  readAt: Timestamp;
  pending?: Pending;
  /** Until when the lease is held for sure, counted from before the append. */
  heldUntil?: Timestamp;
};

/** Gives engines their orders, for the groups whose lease this daemon holds. */
export class OrderController extends Controller {
  override readonly name = "orders";
  readonly #tail = LogTail.create(LEASES_STREAM, {
    idRetentionMs: ID_MEMORY_MS,
    maxIds: MAX_IDS,
  });
  readonly #fold = LeaseFold.create();
  readonly #outbox = Outbox.create(LEASES_STREAM, { max: MAX_OUTGOING });
  readonly #local = new Map<GroupId, Local>();
  /** When each engine was last sent an order. */
  readonly #orderedAt = new Map<UpstreamId, Timestamp>();
  readonly #reportedAt = new Map<UpstreamId, Timestamp>();
  #checkpointAt: Timestamp | undefined;
  #unknownSince: Timestamp | undefined;

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
    this.#forget(board);
    this.#dropOverdue(ctx.now);
    const { serving } = board.config;
    if (serving !== undefined) this.#lead(board, ctx, serving);
    this.#outbox.sendDue(ctx);
    this.#publish(board, ctx.now);
  }

  #readLog(ctx: StepContext): void {
    const { restartedAt, entries } = this.#tail.step(ctx);
    if (restartedAt !== undefined) {
      this.#fold.restart(restartedAt);
      this.#local.clear();
    }
    for (const entry of entries) this.#take(ctx, entry);
  }

  #take(ctx: StepContext, entry: LogEntry): void {
    const knewNothing = this.#fold.state === undefined;
    for (const decision of this.#fold.foldRecord(entry)) {
      const { group } = decision.change;
      const local = this.#localOf(group, ctx.now);
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
    if (knewNothing || !isCheckpoint(entry)) return;
    this.#checkpointAt = ctx.now;
  }

  #lead(board: Blackboard, ctx: StepContext, serving: ServingConfig): void {
    const leases = this.#fold.state;
    if (leases === undefined || !this.#tail.reader.caughtUp) {
      return this.#waitForNobody(ctx);
    }
    const peers = livePeers(board, ctx.now).map((peer) => peer.id);
    const rank = rendezvousRank(TURN_KEY, board.self.id, peers);
    this.#checkpoint(ctx, leases, rank);
    for (const group of serving.groups) {
      const lease = leases.get(group.id);
      if (lease?.holder === board.self.id && !lease.released) {
        this.#hold(board, ctx, { group, lease, serving });
      } else if (board.members.drain === "serving") {
        this.#takeOver(board, ctx, { group, lease, rank });
      }
    }
  }

  /** All leases have lapsed if nobody has written a checkpoint for so long. */
  #waitForNobody(ctx: StepContext): void {
    if (this.#fold.state !== undefined || !this.#tail.reader.caughtUp) {
      this.#unknownSince = undefined;
      return;
    }
    this.#unknownSince ??= ctx.now;
    const dueAt = addMs(this.#unknownSince, NOBODY_MS);
    if (ctx.now < dueAt) return ctx.wakeAt(dueAt);
    this.#unknownSince = undefined;
    this.#append(ctx, {
      type: "lease_checkpoint",
      covers: this.#tail.reader.next,
      leases: [],
    });
  }

  #checkpoint(ctx: StepContext, leases: Leases, rank: number): void {
    if (leases.size === 0) return;
    this.#checkpointAt ??= ctx.now;
    const dueAt = addMs(this.#checkpointAt, CHECKPOINT_MS + rank * TURN_MS);
    if (ctx.now < dueAt) return ctx.wakeAt(dueAt);
    this.#checkpointAt = ctx.now;
    this.#append(ctx, {
      type: "lease_checkpoint",
      covers: this.#tail.reader.next,
      leases: [...leases],
    });
    ctx.counters.add("checkpoints_appended");
  }

  #hold(
    board: Blackboard,
    ctx: StepContext,
    held: { group: Group; lease: Lease; serving: ServingConfig },
  ): void {
    const { group, lease } = held;
    const local = this.#localOf(group.id, ctx.now);
    if (local.pending === undefined) {
      const leaving = board.members.drain !== "serving";
      const dueAt = local.heldUntil === undefined
        ? ctx.now
        : addMs(local.heldUntil, RENEW_MS - LEASE_TTL_MS);
      if (leaving) this.#change(ctx, group.id, "lease_release", lease);
      else if (ctx.now >= dueAt) {
        this.#change(ctx, group.id, "lease_renewal", lease);
      } else ctx.wakeAt(dueAt);
      if (leaving) local.heldUntil = undefined;
    }
    if (!this.#mayOrder(group, ctx.now)) return;
    ctx.wakeAt(addMs(local.heldUntil ?? ctx.now, -group.orderDelayMs));
    this.#order(board, ctx, held);
  }

  #change(
    ctx: StepContext,
    group: GroupId,
    type: "lease_renewal" | "lease_release",
    lease: Lease,
  ): void {
    const id = this.#append(ctx, { type, group, fencing: lease.fencing });
    this.#localOf(group, ctx.now).pending = { id, sentAt: ctx.now };
  }

  /** The old holder may still believe in its lease, and its last order may still be on its way. */
  #takeOver(
    board: Blackboard,
    ctx: StepContext,
    asked: { group: Group; lease: Lease | undefined; rank: number },
  ): void {
    const { group, lease, rank } = asked;
    const local = this.#localOf(group.id, ctx.now);
    local.heldUntil = undefined;
    if (local.pending !== undefined) return;
    const delay = lease === undefined ? 0 : takeoverDelayMs(lease, group);
    const dueAt = addMs(local.readAt, delay + rank * TURN_MS);
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
    const { heldUntil } = this.#local.get(group.id) ?? {};
    return heldUntil !== undefined && heldUntil - now > group.orderDelayMs;
  }

  /** Compares what engines report with what is desired, and orders the whole desired state. */
  #order(
    board: Blackboard,
    ctx: StepContext,
    held: { group: Group; lease: Lease; serving: ServingConfig },
  ): void {
    const { group, lease, serving } = held;
    const engines = reportingEngines(board.upstreams.byId.values());
    for (const engine of engines) {
      if (engine.group !== group.id || matchesGroup(engine, group)) continue;
      if (isLoading(engine) || !this.#isDue(ctx, engine.id)) continue;
      if (this.#loads(engines, ctx.now) >= MAX_LOADS) return;
      const others = engines.filter((one) =>
        one.id !== engine.id && !this.#isChanging(one, ctx.now)
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

  #isDue(ctx: StepContext, id: UpstreamId): boolean {
    const orderedAt = this.#orderedAt.get(id);
    if (orderedAt === undefined) return true;
    const dueAt = addMs(orderedAt, REPEAT_MS);
    if (ctx.now < dueAt) ctx.wakeAt(dueAt);
    return ctx.now >= dueAt && !this.#isUnreported(id);
  }

  #loads(engines: readonly ReportingEngine[], now: Timestamp): number {
    return engines.filter((one) => this.#isChanging(one, now)).length;
  }

  /** Loading by its own report, or ordered so lately that no report can tell. */
  #isChanging(engine: ReportingEngine, now: Timestamp): boolean {
    const orderedAt = this.#orderedAt.get(engine.id);
    const lately = orderedAt !== undefined && now - orderedAt < REPEAT_MS;
    return isLoading(engine) || lately || this.#isUnreported(engine.id);
  }

  #isUnreported(id: UpstreamId): boolean {
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

  #localOf(group: GroupId, now: Timestamp): Local {
    const known = this.#local.get(group);
    if (known !== undefined) return known;
    const local: Local = { readAt: now };
    this.#local.set(group, local);
    return local;
  }

  /** A change that was not read back in time is given up; should it take effect later, the log says so. */
  #dropOverdue(now: Timestamp): void {
    for (const local of this.#local.values()) {
      const { pending } = local;
      if (pending === undefined || now - pending.sentAt < LEASE_TTL_MS) {
        continue;
      }
      this.#outbox.cancel(pending.id);
      local.pending = undefined;
    }
  }

  #forget(board: Blackboard): void {
    const { byId } = board.upstreams;
    for (const map of [this.#orderedAt, this.#reportedAt]) {
      for (const id of map.keys()) if (!byId.has(id)) map.delete(id);
    }
    const groups = board.config.serving?.groups ?? [];
    const ids = new Set(groups.map((group) => group.id));
    for (const id of this.#local.keys()) {
      if (!ids.has(id)) this.#local.delete(id);
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
