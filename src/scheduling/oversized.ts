import type { CellPlacementRequest } from "./cell_placement.ts";
import { cutPrompt } from "./plan.ts";
import type { PlacementView } from "./short_placement.ts";

/** Whether the engines could hold a prompt if they were idle; true while any engine has not reported its memory. */
export function couldHold(
  ask: CellPlacementRequest,
  view: PlacementView,
): boolean {
  const { planSegments, shortMemoryTokens } = view.policy;
  const rooms = view.engines.map(({ id, report }) => ({
    upstream: id,
    tokens: (report?.kv_capacity_tokens ?? Infinity) - shortMemoryTokens,
  }));
  if (rooms.some(({ tokens }) => tokens === Infinity)) return true;
  const { promptTokens, maxTokens } = ask;
  const limits = { promptTokens, maxTokens, maxSegments: planSegments };
  return cutPrompt(limits, rooms) !== undefined;
}
