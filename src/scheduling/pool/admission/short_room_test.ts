import { expect, test } from "vitest";
import type { DomainId, UpstreamId } from "../../../core/id.ts";
import type { Timestamp } from "../../../core/time.ts";
import {
  ENGINE_PACE,
  placementRequest,
  poolJob,
} from "../../../testing/pool_fixtures.ts";
import type { PlacementRequest, PoolJob } from "../pool_job.ts";
import { UpstreamLoad } from "../upstream_load.ts";
import { shortFit } from "./short_room.ts";

const NOW = 10_000 as Timestamp;
const ID = "e0" as UpstreamId;

function lacks(
  jobs: readonly Partial<PoolJob>[],
  fields: Partial<PlacementRequest> = {},
): string | undefined {
  const load = UpstreamLoad.create(ID);
  jobs.forEach((job, i) =>
    load.add(poolJob(`j${i}`, ID, { placedAt: NOW, ...job }), NOW)
  );
  const engine = { id: ID, domain: "a" as DomainId, slots: 11, load };
  const ask = placementRequest("ask", fields);
  const input = { ask, candidates: [engine], now: NOW, pace: ENGINE_PACE };
  return shortFit(input, engine, { limitMs: 300, marginMs: 15 }).lacks;
}

const stream = { writing: true };

test("names the room that an engine lacks for a short prompt and the streams beside it", () => {
  expect({
    idle: lacks([]),
    streams: lacks(Array(5).fill(stream)),
    slots: lacks(Array(11).fill(stream)),
    memory: lacks([{ ...stream, tokens: 290_000 }]),
    pauses: lacks([stream, { partMs: 100 }], { promptTokens: 20_000 }),
    backlog: lacks([{ partMs: 290, pauseMs: 1_000 }]),
  }).toMatchInlineSnapshot(`
    {
      "backlog": "prefill",
      "idle": undefined,
      "memory": "memory",
      "pauses": "decode",
      "slots": "decode",
      "streams": undefined,
    }
  `);
});
