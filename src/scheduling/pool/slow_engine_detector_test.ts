import { describe, expect, test } from "vitest";
import type { UpstreamId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import { poolJob } from "../../testing/pool_fixtures.ts";
import type { JobId } from "./pool_job.ts";
import { SlowEngineDetector } from "./slow_engine_detector.ts";

const at = (ms: number) => ms as Timestamp;
const ids = (...names: string[]) => names as UpstreamId[];
const EXPECT_MS = 100;
/** Twice the prediction plus the margin, in ms. */
const LATE_AT = 320;

function detectorOfLateJob(...helpers: string[]): SlowEngineDetector {
  const detector = SlowEngineDetector.create();
  const job = poolJob("j", "e0", { helpers: ids(...helpers) });
  detector.expectFirstEvent(job, EXPECT_MS, at(0));
  return detector;
}

describe("engines due for inspection", () => {
  test("include those of a prompt whose first event is overdue", () => {
    const detector = detectorOfLateJob("e1");
    expect(detector.dueInspections(at(LATE_AT), [])).toEqual([]);
    expect(detector.dueInspections(at(LATE_AT + 1), [])).toEqual(["e0", "e1"]);
  });

  test("include those of a prompt whose first event was late", () => {
    const detector = detectorOfLateJob();
    detector.firstEventReceived("j" as JobId, at(LATE_AT + 1));
    expect(detector.dueInspections(at(LATE_AT + 2), [])).toEqual(["e0"]);
  });

  test("exclude those of a prompt that started in time or ended before it was late", () => {
    const startedInTime = detectorOfLateJob();
    startedInTime.firstEventReceived("j" as JobId, at(LATE_AT));
    const endedEarly = detectorOfLateJob();
    endedEarly.removeJob("j" as JobId);
    expect(startedInTime.dueInspections(at(10_000), [])).toEqual([]);
    expect(endedEarly.dueInspections(at(10_000), [])).toEqual([]);
  });

  test("are not repeated within 500 ms while the prompt stays late", () => {
    const detector = detectorOfLateJob();
    expect(detector.dueInspections(at(400), [])).toHaveLength(1);
    expect(detector.dueInspections(at(800), [])).toHaveLength(0);
    expect(detector.dueInspections(at(900), [])).toHaveLength(1);
  });

  test("are repeated at doubling intervals while their reports show no slowness", () => {
    const detector = detectorOfLateJob();
    const inspectedAtMs: number[] = [];
    for (let ms = 400; ms < 20_400; ms += 100) {
      if (detector.dueInspections(at(ms), []).length === 0) continue;
      inspectedAtMs.push(ms);
      detector.recordReport("e0" as UpstreamId, false);
    }
    expect(inspectedAtMs).toEqual([400, 1_400, 3_400, 7_400, 15_400]);
  });

  test("include slow engines each second, to detect their recovery", () => {
    const detector = SlowEngineDetector.create();
    const inspectedAtMs = [0, 500, 1_000, 1_500, 2_000].map((ms) =>
      detector.dueInspections(at(ms), ids("e1")).length
    );
    expect(inspectedAtMs).toEqual([1, 0, 1, 0, 1]);
  });

  test("include all engines once after one was found to be slow", () => {
    const detector = detectorOfLateJob();
    detector.firstEventReceived("j" as JobId, at(LATE_AT));
    detector.suspectOthers(ids("e0", "e1", "e2"), at(400));
    expect(detector.dueInspections(at(400), [])).toEqual(["e0", "e1", "e2"]);
    detector.suspectOthers(ids("e0", "e1", "e2"), at(900));
    expect(detector.dueInspections(at(1_000), [])).toEqual([]);
  });
});
