import type { Blackboard } from "../board/blackboard.ts";
import type { Upstream, UpstreamState } from "../board/upstreams_section.ts";
import { Controller } from "../core/controller.ts";
import type { Event } from "../core/event.ts";
import type { Incarnation, UpstreamId } from "../core/id.ts";
import type { StepContext } from "../core/step_context.ts";
import type { EngineState, LoadReport } from "../wire/engine.ts";
import type { Vm } from "../wire/vm_list.ts";

/** Upstreams that one daemon keeps at the most; a cell is much smaller. */
const MAX_UPSTREAMS = 1_024;
/** Runs of one upstream that are remembered as over. */
const MAX_RETIRED = 8;

/** Keeps what is known of the upstreams; whatever says first that one is leaving counts. */
export class UpstreamController extends Controller {
  override readonly name = "upstreams";
  readonly #retired = new Map<UpstreamId, Incarnation[]>();

  static create(): UpstreamController {
    return new UpstreamController();
  }

  override step(board: Blackboard, ctx: StepContext): void {
    for (const event of ctx.events) this.#take(board, event);
    this.#takeNews(board);
  }

  #take(board: Blackboard, event: Event): void {
    switch (event.type) {
      case "vms_listed":
        return this.#list(board, event.vms);
      case "load_reported":
        return this.#report(board, event.upstream, event.report);
      case "state_reported":
        return this.#report(board, event.upstream, event.state);
      case "upstream_unreachable":
        return this.#setState(board, event.upstream, "unreachable");
      case "attempt_ended":
        return this.#takeOutcome(board, event);
    }
  }

  #list(board: Blackboard, vms: readonly Vm[]): void {
    const listed = new Set<string>();
    for (const vm of vms) {
      if (vm.role === "entry") continue;
      listed.add(vm.id);
      this.#upsert(board, vm);
    }
    for (const upstream of board.upstreams.byId.values()) {
      if (!listed.has(upstream.id)) this.#remove(board, upstream);
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
      state: "live",
      group: vm.group,
      service: vm.service,
    };
    // The list lags: an entry for a run that is known to be over says nothing new.
    if (this.#isRetired(id, vm.incarnation)) return;
    if (known === undefined || known.incarnation !== vm.incarnation) {
      if (known !== undefined) this.#retire(id, known.incarnation);
      board.upstreams.byId.set(id, fresh);
    }
    if (vm.state === "leaving") this.#leave(board, id);
  }

  #remove(board: Blackboard, upstream: Upstream): void {
    if (upstream.state !== "leaving") return this.#leave(board, upstream.id);
    const busy = [...board.requests.byId.values()]
      .some((entry) => entry.attempt?.placement.upstream === upstream.id);
    if (!busy) board.upstreams.byId.delete(upstream.id);
  }

  #report(
    board: Blackboard,
    id: UpstreamId,
    report: LoadReport | EngineState,
  ): void {
    const known = board.upstreams.byId.get(id);
    if (known === undefined || this.#isRetired(id, report.incarnation)) return;
    if (known.incarnation !== report.incarnation) {
      this.#retire(id, known.incarnation);
    }
    const state = known.state === "unreachable" ? "live" : known.state;
    const base = known.incarnation === report.incarnation
      ? { ...known, state }
      : {
        ...known,
        state: "live" as const,
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

  #takeOutcome(
    board: Blackboard,
    event: Extract<Event, { type: "attempt_ended" }>,
  ): void {
    if (event.outcome.type === "ok") return;
    const attempt = board.requests.byId.get(event.req)?.attempt;
    if (attempt === undefined || attempt.id !== event.attempt) return;
    const { cause, crashed } = event.outcome;
    const upstream = event.outcome.upstream ?? attempt.placement.upstream;
    if (cause === "connect_failed" || crashed) {
      this.#setState(board, upstream, "unreachable");
    }
    if (cause === "upstream_leaving") this.#leave(board, upstream);
  }

  #takeNews(board: Blackboard): void {
    for (const [id, news] of board.members.upstreamNews) {
      const known = board.upstreams.byId.get(id);
      if (news.state === "leaving" && known?.incarnation === news.incarnation) {
        this.#leave(board, id);
      }
    }
  }

  /** Ends new work for this run of the upstream; only another run brings it back. */
  #leave(board: Blackboard, id: UpstreamId): void {
    this.#setState(board, id, "leaving");
  }

  #setState(board: Blackboard, id: UpstreamId, state: UpstreamState): void {
    const known = board.upstreams.byId.get(id);
    if (
      known === undefined || known.state === state || known.state === "leaving"
    ) return;
    board.upstreams.byId.set(id, { ...known, state });
  }

  #retire(id: UpstreamId, incarnation: Incarnation): void {
    const retired = this.#retired.get(id) ?? [];
    this.#retired.delete(id);
    this.#retired.set(id, [...retired, incarnation].slice(-MAX_RETIRED));
    const oldest = this.#retired.keys().next().value;
    if (this.#retired.size > MAX_UPSTREAMS && oldest !== undefined) {
      this.#retired.delete(oldest);
    }
  }

  #isRetired(id: UpstreamId, incarnation: Incarnation): boolean {
    return this.#retired.get(id)?.includes(incarnation) ?? false;
  }
}
