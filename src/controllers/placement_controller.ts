import type { Blackboard } from "../board/blackboard.ts";
import type { RequestEntry } from "../board/requests_section.ts";
import type { Upstream } from "../board/upstreams_section.ts";
import { Controller } from "../core/controller.ts";
import { problem } from "../core/problem.ts";
import type { StepContext } from "../core/step_context.ts";
import { SECOND_MS } from "../core/time.ts";

/** Gives each waiting request the live upstream with the least of this daemon's own work. */
export class PlacementController extends Controller {
  override readonly name = "placement";

  static create(): PlacementController {
    return new PlacementController();
  }

  override step(board: Blackboard, ctx: StepContext): void {
    for (const id of board.placement.placed.keys()) {
      if (board.requests.byId.get(id)?.state !== "placing") {
        board.placement.placed.delete(id);
      }
    }
    for (const entry of board.requests.byId.values()) {
      if (entry.state === "placing") this.#place(board, ctx, entry);
    }
  }

  #place(board: Blackboard, ctx: StepContext, entry: RequestEntry): void {
    if (board.placement.placed.get(entry.req.id)?.round === entry.round) return;
    const upstream = leastBusy(board, candidates(board, entry));
    const { round } = entry;
    if (upstream === undefined) {
      const refused = problem(
        "no_upstream",
        "No live upstream can serve this now.",
        { retryAfterMs: SECOND_MS },
      );
      board.placement.placed.set(entry.req.id, {
        type: "refused",
        round,
        problem: refused,
      });
    } else {
      const placement = { upstream: upstream.id, priority: 0 };
      board.placement.placed.set(entry.req.id, {
        type: "granted",
        round,
        placement,
      });
    }
    ctx.repeat();
  }
}

function candidates(
  board: Blackboard,
  entry: RequestEntry,
): readonly Upstream[] {
  return [...board.upstreams.byId.values()].filter((upstream) =>
    upstream.state === "live" && !entry.excluded.includes(upstream.id) &&
    canServe(upstream, entry)
  );
}

function canServe(upstream: Upstream, entry: RequestEntry): boolean {
  const { req, weights } = entry;
  if (req.kind === "call") {
    return upstream.kind === "service" && upstream.service === req.service;
  }
  const loaded = (upstream.engine ?? upstream.load)?.loaded ?? [];
  return loaded.some((one) =>
    one.model === weights?.model && one.version === weights.version &&
    (weights.adapter === undefined || one.adapters.includes(weights.adapter))
  );
}

function leastBusy(
  board: Blackboard,
  upstreams: readonly Upstream[],
): Upstream | undefined {
  let best: Upstream | undefined;
  let bestWork = Infinity;
  for (const upstream of upstreams) {
    const work = runningOn(board, upstream);
    if (work < bestWork) [best, bestWork] = [upstream, work];
  }
  return best;
}

function runningOn(board: Blackboard, upstream: Upstream): number {
  return [...board.requests.byId.values()]
    .filter((entry) => entry.attempt?.placement.upstream === upstream.id)
    .length;
}
