import type { Blackboard } from "../board/blackboard.ts";
import type { PlanEntry } from "../board/plans_section.ts";
import type { RequestEntry } from "../board/requests_section.ts";
import { Controller } from "../core/controller.ts";
import type { Event } from "../core/event.ts";
import type { PlanId, RequestId } from "../core/id.ts";
import type { Placement } from "../core/request.ts";
import type { StepContext } from "../core/step_context.ts";
import { addMs, type Millis, SECOND_MS } from "../core/time.ts";
import { type PlanMemory, planMemory } from "../scheduling/plan.ts";

/** Time after which an engine frees the memory of a plan that is not renewed. */
export const PLAN_TTL_MS: Millis = 15 * SECOND_MS;
/** Interval between renewals of a plan's memory. */
export const PLAN_RENEW_MS: Millis = 4 * SECOND_MS;
/** Time within which all memory of a plan must be reserved; the plan fails after it. */
export const PLAN_RESERVE_MS: Millis = 10 * SECOND_MS;
/** Time after which a reservation that was refused or got no answer is tried again. */
export const PLAN_RETRY_MS: Millis = SECOND_MS / 4;
/** Maximum number of concurrent plans of one daemon. */
export const MAX_PLANS = 1_024;

type ReservationEnded = Extract<Event, { type: "reservation_ended" }>;

/**
 * Reserves all memory of a plan before its first segment starts. Every daemon reserves on one engine at a time, in
 * the order of the engines' ids, so plans can't deadlock.
 */
export class PlanController extends Controller {
  override readonly name = "plans";

  static create(): PlanController {
    return new PlanController();
  }

  override step(board: Blackboard, ctx: StepContext): void {
    for (const event of ctx.events) {
      if (event.type === "reservation_ended") onAnswer(board, ctx, event);
      if (event.type === "client_left") this.#onClientLeft(board, event.req);
    }
    for (const plan of board.plans.byId.values()) {
      if (!isInUse(board, plan)) removePlan(board, ctx, plan);
    }
    for (const entry of board.requests.byId.values()) {
      if (entry.state === "placing") this.#createPlan(board, ctx, entry);
    }
    for (const plan of board.plans.byId.values()) advance(ctx, plan);
  }

  /** A client that left may resume a running stream through another daemon, so the decoding engine keeps the memory. */
  #onClientLeft(board: Blackboard, req: RequestId): void {
    const attempt = board.requests.byId.get(req)?.attempt;
    const id = attempt?.placement.plan?.id;
    if (id === undefined || attempt?.firstTokenAt === undefined) return;
    board.plans.byId.delete(id);
  }

  #createPlan(board: Blackboard, ctx: StepContext, entry: RequestEntry): void {
    const placed = board.placement.placed.get(entry.req.id);
    if (placed?.type !== "granted" || placed.round !== entry.round) return;
    const { plan } = placed.placement;
    if (plan === undefined || board.plans.byId.has(plan.id)) return;
    const deadlineAt = board.plans.byId.size < MAX_PLANS
      ? addMs(ctx.now, PLAN_RESERVE_MS)
      : ctx.now;
    board.plans.byId.set(plan.id, {
      id: plan.id,
      req: entry.req.id,
      round: entry.round,
      parts: memoryParts(entry, plan),
      state: "reserving",
      held: 0,
      inFlight: false,
      nextAttemptAt: ctx.now,
      deadlineAt,
      renewAt: addMs(ctx.now, PLAN_RENEW_MS),
    });
  }
}

function memoryParts(
  entry: RequestEntry,
  plan: NonNullable<Placement["plan"]>,
): readonly PlanMemory[] {
  const { req } = entry;
  return planMemory(plan.segments, req.kind === "prompt" ? req.maxTokens : 0);
}

function isInUse(board: Blackboard, plan: PlanEntry): boolean {
  const entry = board.requests.byId.get(plan.req);
  if (entry === undefined || entry.round !== plan.round) return false;
  return entry.state === "placing" ||
    entry.attempt?.placement.plan?.id === plan.id;
}

function onAnswer(
  board: Blackboard,
  ctx: StepContext,
  event: ReservationEnded,
): void {
  const plan = board.plans.byId.get(event.plan as PlanId);
  if (plan === undefined || plan.state === "failed") {
    return releaseLateGrant(ctx, event);
  }
  const next = plan.parts[plan.held];
  const isNext = plan.state === "reserving" && plan.inFlight &&
    next?.upstream === event.upstream;
  if (!isNext || event.result === "released") return;
  plan.inFlight = false;
  if (event.result !== "held") {
    plan.nextAttemptAt = addMs(ctx.now, PLAN_RETRY_MS);
    return;
  }
  plan.held += 1;
  plan.nextAttemptAt = ctx.now;
  if (plan.held < plan.parts.length) return;
  plan.state = "held";
  ctx.repeat();
}

/** Releases memory that was granted after its plan had ended or failed. */
function releaseLateGrant(ctx: StepContext, event: ReservationEnded): void {
  if (event.result !== "held") return;
  const { upstream } = event;
  const plan = event.plan as PlanId;
  ctx.counters.add("reservations_reclaimed");
  ctx.emit({ type: "release_memory", upstream, plan });
}

function removePlan(
  board: Blackboard,
  ctx: StepContext,
  plan: PlanEntry,
): void {
  board.plans.byId.delete(plan.id);
  release(ctx, plan);
}

/** Releases memory on each engine that may hold some, including one whose answer was lost. */
function release(ctx: StepContext, plan: PlanEntry): void {
  if (plan.state === "failed") return;
  for (const { upstream } of plan.parts.slice(0, plan.held + 1)) {
    ctx.emit({ type: "release_memory", upstream, plan: plan.id });
  }
}

function advance(ctx: StepContext, plan: PlanEntry): void {
  if (plan.state === "failed") return;
  if (plan.state === "reserving") {
    if (plan.deadlineAt <= ctx.now) return fail(ctx, plan);
    reserveNext(ctx, plan);
    ctx.wakeAt(plan.deadlineAt);
  }
  renew(ctx, plan);
}

function fail(ctx: StepContext, plan: PlanEntry): void {
  release(ctx, plan);
  plan.state = "failed";
  ctx.repeat();
}

function reserveNext(ctx: StepContext, plan: PlanEntry): void {
  if (plan.inFlight) return;
  if (plan.nextAttemptAt > ctx.now) return ctx.wakeAt(plan.nextAttemptAt);
  plan.inFlight = true;
  reserve(ctx, plan, plan.parts[plan.held]!);
}

function renew(ctx: StepContext, plan: PlanEntry): void {
  if (plan.renewAt <= ctx.now) {
    plan.renewAt = addMs(ctx.now, PLAN_RENEW_MS);
    for (const part of plan.parts.slice(0, plan.held)) reserve(ctx, plan, part);
  }
  ctx.wakeAt(plan.renewAt);
}

function reserve(ctx: StepContext, plan: PlanEntry, part: PlanMemory): void {
  ctx.emit({
    type: "reserve_memory",
    upstream: part.upstream,
    plan: plan.id,
    tokens: part.tokens,
    ttlMs: PLAN_TTL_MS,
  });
}
