import type { Blackboard } from "../board/blackboard.ts";
import type { Upstream, UpstreamState } from "../board/upstreams_section.ts";
import { Controller } from "../core/controller.ts";
import type { Event } from "../core/event.ts";
import type { Incarnation, UpstreamId } from "../core/id.ts";
import type { StepContext } from "../core/step_context.ts";
import { addMs, type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import { RecentRuns } from "./recent_runs.ts";
import type { EngineState, LoadReport } from "../wire/engine.ts";
import type { Vm } from "../wire/vm_list.ts";

/** Maximum number of upstreams on the board; a cell has far fewer. */
const MAX_UPSTREAMS = 1_024;

/** Time after which an unreachable service is tried again. */
const SERVICE_RETRY_MS: Millis = SECOND_MS;

/** Keeps the table of upstreams; an upstream counts as leaving once the VM list, a report, a peer or an attempt shows it. */
export class UpstreamController extends Controller {
  override readonly name = "upstreams";
  /** Runs that are known to have ended. */
  readonly #endedRuns = RecentRuns.create();
  /** Runs that some source has named as leaving. */
  readonly #leavingRuns = RecentRuns.create();

  static create(): UpstreamController {
    return new UpstreamController();
  }

  override step(board: Blackboard, ctx: StepContext): void {
    for (const event of ctx.events) this.#onEvent(board, ctx, event);
    this.#applyPeerUpdates(board);
    this.#retryServices(board, ctx);
  }

  #onEvent(board: Blackboard, ctx: StepContext, event: Event): void {
    switch (event.type) {
      case "vms_listed":
        return this.#onVmsListed(board, event.vms);
      case "load_reported":
        return this.#onReport(board, event.upstream, {
          report: event.report,
          now: ctx.now,
        });
      case "state_reported":
        return this.#onReport(board, event.upstream, {
          report: event.state,
          now: ctx.now,
        });
      case "upstream_unreachable":
        return this.#markUnreachable(board, event.upstream, ctx.now);
      case "attempt_ended":
        return this.#onAttemptEnded(board, ctx, event);
    }
  }

  #onVmsListed(board: Blackboard, vms: readonly Vm[]): void {
    const listed = new Set<string>();
    for (const vm of vms) {
      if (vm.role === "entry") continue;
      listed.add(vm.id);
      this.#upsert(board, vm);
    }
    for (const upstream of board.upstreams.byId.values()) {
      if (!listed.has(upstream.id)) this.#removeUnlisted(board, upstream);
    }
  }

  #upsert(board: Blackboard, vm: Vm): void {
    const id = vm.id as string as UpstreamId;
    const known = board.upstreams.byId.get(id);
    if (known === undefined && board.upstreams.byId.size >= MAX_UPSTREAMS) {
      return;
    }
    const fresh: Upstream = {
      id,
      kind: vm.role === "engine" ? "engine" : "service",
      domain: vm.domain,
      address: vm.address,
      incarnation: vm.incarnation,
      state: this.#initialState(id, vm.incarnation),
      group: vm.group,
      service: vm.service,
    };
    // The VM list lags, so it may still name a run that is known to have ended.
    if (this.#endedRuns.has(id, vm.incarnation)) return;
    if (known === undefined || known.incarnation !== vm.incarnation) {
      if (known !== undefined && isSelfReported(known, vm)) return;
      if (known !== undefined) this.#endedRuns.add(id, known.incarnation);
      board.upstreams.byId.set(id, fresh);
    }
    if (vm.state === "leaving") this.#leave(board, id);
  }

  #removeUnlisted(board: Blackboard, upstream: Upstream): void {
    if (upstream.state !== "leaving") return this.#leave(board, upstream.id);
    const busy = [...board.requests.byId.values()]
      .some((entry) => entry.attempt?.placement.upstream === upstream.id);
    if (!busy) board.upstreams.byId.delete(upstream.id);
  }

  #onReport(
    board: Blackboard,
    id: UpstreamId,
    options: Readonly<{ report: LoadReport | EngineState; now: Timestamp }>,
  ): void {
    const { report, now: respondedAt } = options;
    const known = board.upstreams.byId.get(id);
    if (known === undefined || this.#isOutdated(id, report)) return;
    if (known.incarnation !== report.incarnation) {
      this.#endedRuns.add(id, known.incarnation);
      this.#endedRuns.delete(id, report.incarnation);
    }
    const state = known.state === "unreachable" ? "live" : known.state;
    const base = known.incarnation === report.incarnation
      ? { ...known, state, lastResponseAt: respondedAt }
      : {
        ...known,
        lastResponseAt: respondedAt,
        state: this.#initialState(id, report.incarnation),
        load: undefined,
        engine: undefined,
        incarnation: report.incarnation,
      };
    board.upstreams.byId.set(
      id,
      "at" in report ? { ...base, load: report } : { ...base, engine: report },
    );
    if (report.leaving) this.#leave(board, id);
  }

  #onAttemptEnded(
    board: Blackboard,
    ctx: StepContext,
    event: Extract<Event, { type: "attempt_ended" }>,
  ): void {
    if (event.outcome.type === "ok") return;
    const attempt = board.requests.byId.get(event.req)?.attempt;
    if (attempt === undefined || attempt.id !== event.attempt) return;
    const { cause, crashed } = event.outcome;
    const upstream = event.outcome.upstream ?? attempt.placement.upstream;
    if (cause === "connect_failed" || crashed) {
      this.#markUnreachable(board, upstream, ctx.now);
    }
    if (cause === "upstream_leaving") this.#leave(board, upstream);
  }

  #applyPeerUpdates(board: Blackboard): void {
    for (const [id, update] of board.members.upstreamUpdates) {
      const known = board.upstreams.byId.get(id);
      if (
        update.state === "leaving" && known?.incarnation === update.incarnation
      ) {
        this.#leave(board, id);
      }
    }
  }

  /** Marks the current run as leaving for good: it gets no new work; only another run can be live. */
  #leave(board: Blackboard, id: UpstreamId): void {
    const known = board.upstreams.byId.get(id);
    if (known !== undefined) this.#leavingRuns.add(id, known.incarnation);
    this.#setState(board, id, "leaving");
  }

  #markUnreachable(board: Blackboard, id: UpstreamId, now: Timestamp): void {
    this.#setState(board, id, "unreachable");
    const known = board.upstreams.byId.get(id);
    if (known?.state !== "unreachable") return;
    board.upstreams.byId.set(id, { ...known, unreachableAt: now });
  }

  /** Marks unreachable services as live after SERVICE_RETRY_MS: without reports, only a call can show recovery. */
  #retryServices(board: Blackboard, ctx: StepContext): void {
    for (const upstream of board.upstreams.byId.values()) {
      const { id, kind, state, unreachableAt = ctx.now } = upstream;
      if (kind !== "service" || state !== "unreachable") continue;
      const retryAt = addMs(unreachableAt, SERVICE_RETRY_MS);
      if (ctx.now >= retryAt) this.#setState(board, id, "live");
      else ctx.wakeAt(retryAt);
    }
  }

  #setState(board: Blackboard, id: UpstreamId, state: UpstreamState): void {
    const known = board.upstreams.byId.get(id);
    if (
      known === undefined || known.state === state || known.state === "leaving"
    ) return;
    board.upstreams.byId.set(id, { ...known, state });
  }

  /** Load reports lag, so one of an ended run is ignored; an engine state always comes from the current run. */
  #isOutdated(id: UpstreamId, report: LoadReport | EngineState): boolean {
    return "at" in report && this.#endedRuns.has(id, report.incarnation);
  }

  #initialState(id: UpstreamId, incarnation: Incarnation): UpstreamState {
    return this.#leavingRuns.has(id, incarnation) ? "leaving" : "live";
  }
}

/** Whether the upstream itself reported its run; the VM list lags, so another run listed there is an earlier one. */
function isSelfReported(known: Upstream, vm: Vm): boolean {
  return known.engine?.incarnation === known.incarnation &&
    known.state !== "unreachable" && known.address === vm.address;
}
