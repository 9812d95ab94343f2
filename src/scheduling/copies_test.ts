import { expect, test } from "vitest";
import { addMs } from "../core/time.ts";
import { engineFixture, promptFixture, START } from "../testing/fixtures.ts";
import type { CellPlacementRequest } from "./cell_placement.ts";
import { CellScheduler, DISPATCH_MS } from "./cell_scheduler.ts";
import { DEFAULT_POLICY } from "./policy.ts";

function askFor(id: string, digest: string): CellPlacementRequest {
  const prompt = promptFixture(id, { digest: digest as never });
  return {
    ...prompt,
    request: prompt.id,
    round: 1,
    from: "d" as never,
    weights: { model: prompt.model, version: "2" as never },
    urgency: 0,
    excluded: [],
    suspect: true,
  };
}

test("queued prompts of the same suspected content are placed one at a time", () => {
  const scheduler = CellScheduler.create(DEFAULT_POLICY);
  scheduler.tracker.applyUpstreams([engineFixture("e1"), engineFixture("e2")]);
  const others = [askFor("x", "dx"), askFor("y", "dy")];
  const copies = [askFor("a", "poison"), askFor("b", "poison")];
  const answers = [...others, ...copies].map((ask) =>
    scheduler.submit(ask, START).type
  );
  expect(answers).toEqual(["granted", "granted", "queued", "queued"]);
  let now = addMs(START, 2 * DISPATCH_MS);
  for (const { request } of others) {
    scheduler.update(request, "ended", { round: 1, now });
  }
  const placed = scheduler.dispatch(now).map(({ ask }) => ask.request);
  expect(placed).toHaveLength(1);
  now = addMs(now, 2 * DISPATCH_MS);
  expect(scheduler.dispatch(now)).toEqual([]);
  scheduler.update(placed[0]!, "ended", { round: 1, now });
  now = addMs(now, 2 * DISPATCH_MS);
  expect(scheduler.dispatch(now)).toHaveLength(1);
});
