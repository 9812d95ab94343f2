import { describe, expect, test } from "vitest";
import type { UpstreamId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import { poolJob } from "../../testing/pool_fixtures.ts";
import type { JobId } from "./pool_job.ts";
import { SlowWatch } from "./slow_watch.ts";

const at = (ms: number) => ms as Timestamp;
const ids = (...names: string[]) => names as UpstreamId[];
const EXPECT_MS = 100;
/** Twice the prediction and the margin. */
const LATE_AT = 320;

function watching(...helpers: string[]): SlowWatch {
  const watch = SlowWatch.create();
  const job = poolJob("j", "e0", { helpers: ids(...helpers) });
  watch.placed(job, EXPECT_MS, at(0));
  return watch;
}

describe("engines that are asked for their pace", () => {
  test("those of a prompt without a first event, once it is late", () => {
    const watch = watching("e1");
    expect(watch.due(at(LATE_AT), [])).toEqual([]);
    expect(watch.due(at(LATE_AT + 1), [])).toEqual(["e0", "e1"]);
  });

  test("those of a prompt whose first event was late", () => {
    const watch = watching();
    watch.started("j" as JobId, at(LATE_AT + 1));
    expect(watch.due(at(LATE_AT + 2), [])).toEqual(["e0"]);
  });

  test("none whose prompt began in time, or was given up before", () => {
    const began = watching();
    began.started("j" as JobId, at(LATE_AT));
    const left = watching();
    left.ended("j" as JobId);
    expect(began.due(at(10_000), [])).toEqual([]);
    expect(left.due(at(10_000), [])).toEqual([]);
  });

  test("not again at once, however long the prompt is late", () => {
    const watch = watching();
    expect(watch.due(at(400), [])).toHaveLength(1);
    expect(watch.due(at(800), [])).toHaveLength(0);
    expect(watch.due(at(900), [])).toHaveLength(1);
  });

  test("less and less often while their reports show nothing", () => {
    const watch = watching();
    const asked: number[] = [];
    for (let ms = 400; ms < 20_400; ms += 100) {
      if (watch.due(at(ms), []).length === 0) continue;
      asked.push(ms);
      watch.reported("e0" as UpstreamId, false);
    }
    expect(asked).toEqual([400, 1_400, 3_400, 7_400, 15_400]);
  });

  test("slow ones each second, to notice that they have recovered", () => {
    const watch = SlowWatch.create();
    const asked = [0, 500, 1_000, 1_500, 2_000].map((ms) =>
      watch.due(at(ms), ids("e1")).length
    );
    expect(asked).toEqual([1, 0, 1, 0, 1]);
  });

  test("all others once one has turned out to be slow", () => {
    const watch = watching();
    watch.started("j" as JobId, at(LATE_AT));
    watch.foundSlow(ids("e0", "e1", "e2"), at(400));
    expect(watch.due(at(400), [])).toEqual(["e0", "e1", "e2"]);
    watch.foundSlow(ids("e0", "e1", "e2"), at(900));
    expect(watch.due(at(1_000), [])).toEqual([]);
  });
});
