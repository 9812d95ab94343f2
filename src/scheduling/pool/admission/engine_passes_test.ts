import { expect, test } from "vitest";
import type { UpstreamId } from "../../../core/id.ts";
import type { Timestamp } from "../../../core/time.ts";
import { ENGINE_PACE, poolJob } from "../../../testing/pool_fixtures.ts";
import type { JobId, PoolJob } from "../pool_job.ts";
import { UpstreamLoad } from "../upstream_load.ts";
import { nextPass, predictPass } from "./engine_passes.ts";

const ID = "e0" as UpstreamId;

function at(ms: number): Timestamp {
  return (10_000 + ms) as Timestamp;
}

/** An engine whose stream had its first event at 0. */
function decoding(...jobs: readonly Partial<PoolJob>[]): UpstreamLoad {
  const load = UpstreamLoad.create(ID);
  load.add(poolJob("s", ID, { placedAt: at(-60) }), at(-60));
  load.updateJob("s" as JobId, poolJob("s", ID, { writing: true }), at(0));
  jobs.forEach((fields, i) => load.add(poolJob(`j${i}`, ID, fields), at(0)));
  return load;
}

function rounded(load: UpstreamLoad, ms: number): Record<string, number> {
  const next = nextPass(load, ENGINE_PACE, at(ms));
  return Object.fromEntries(
    Object.entries(next).map(([key, value]) => [key, Math.round(value)]),
  );
}

test("prompts that come during a pass wait for the next one together", () => {
  const early = { placedAt: at(5), partMs: 30 };
  const load = decoding(early, { placedAt: at(15), partMs: 40 });
  expect(rounded(load, 20)).toMatchInlineSnapshot(`
    {
      "contextTokens": 6000,
      "startsInMs": 25,
      "streams": 1,
      "waitingMs": 70,
    }
  `);
  const next = nextPass(load, ENGINE_PACE, at(20));
  const { firstMs, pauseMs } = predictPass(next, ENGINE_PACE, {
    prefillMs: 30,
    slowdown: 1,
  });
  expect([Math.round(firstMs), Math.round(pauseMs)]).toMatchInlineSnapshot(`
    [
      179,
      145,
    ]
  `);
});

test("a prompt whose pass should have ended counts as a stream, though its event isn't known yet", () => {
  const load = decoding({ placedAt: at(-20), partMs: 30 });
  expect(rounded(load, 80)).toMatchInlineSnapshot(`
    {
      "contextTokens": 12000,
      "startsInMs": 40,
      "streams": 2,
      "waitingMs": 0,
    }
  `);
});

test("an idle engine starts at once", () => {
  expect(rounded(UpstreamLoad.create(ID), 0)).toMatchInlineSnapshot(`
    {
      "contextTokens": 0,
      "startsInMs": 0,
      "streams": 0,
      "waitingMs": 0,
    }
  `);
});
