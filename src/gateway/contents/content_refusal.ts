import { type Problem, problem } from "../../core/problem.ts";
import type { PlacementRequest } from "../../scheduling/pool/pool_job.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import { leadsMajority } from "../members/membership.ts";
import { keyFields, partOfKey } from "../../suspects/suspect_key.ts";

/** Decides whether a request may run for its content and parts, and logs it; returns the refusal if it may not. */
export function contentRefusalOf(
  board: GatewayBoard,
  step: GatewayStep,
  ask: PlacementRequest,
): Problem | undefined {
  const decision = board.contents.suspects.decide(ask, step.now, {
    job: ask.job,
    allowTrial: leadsMajority(board, step.now),
    leftMs: ask.leftMs,
  });
  if (decision.type === "run") return undefined;
  const { key, crashes } = decision;
  step.line(`content_${decision.type}`, {
    req: ask.req,
    ...keyFields(key),
    crashes,
  });
  if (decision.type !== "refuse") return undefined;
  const what = partOfKey(key) === undefined ? "content" : "prompt part";
  const { retryAfterMs } = decision;
  return problem("quarantined", `This ${what} has crashed its upstreams`, {
    retryAfterMs,
  });
}
