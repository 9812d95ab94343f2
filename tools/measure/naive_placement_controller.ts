import type { Blackboard } from "../../src/board/blackboard.ts";
import type { RequestEntry } from "../../src/board/requests_section.ts";
import { Controller } from "../../src/core/controller.ts";
import { problem } from "../../src/core/problem.ts";
import type { StepContext } from "../../src/core/step_context.ts";
import { SECOND_MS } from "../../src/core/time.ts";

/** Round robin over the live engines, blind to length and load: the policy to compare with. */
export class NaivePlacementController extends Controller {
  override readonly name = "naive placement";
  #next: number;

  private constructor(first: number) {
    super();
    this.#next = first;
  }

  static create(first: number): NaivePlacementController {
    return new NaivePlacementController(first);
  }

  override step(board: Blackboard, ctx: StepContext): void {
    const { placed } = board.placement;
    for (const id of placed.keys()) {
      if (board.requests.byId.get(id)?.state !== "placing") placed.delete(id);
    }
    for (const entry of board.requests.byId.values()) {
      if (entry.state === "placing") this.#place(board, ctx, entry);
    }
  }

  #place(board: Blackboard, ctx: StepContext, entry: RequestEntry): void {
    const { placed } = board.placement;
    const { round } = entry;
    if (placed.get(entry.req.id)?.round === round) return;
    const live = [...board.upstreams.byId.values()]
      .filter((one) => one.state === "live" && one.kind === "engine");
    this.#next += 1;
    const upstream = live[this.#next % Math.max(1, live.length)];
    if (upstream === undefined) {
      const detail = "No live engine.";
      const refused = problem("no_upstream", detail, {
        retryAfterMs: SECOND_MS,
      });
      placed.set(entry.req.id, { type: "refused", round, problem: refused });
    } else {
      const placement = { upstream: upstream.id, priority: 0 };
      placed.set(entry.req.id, { type: "granted", round, placement });
    }
    ctx.repeat();
  }
}
