import { describe, expect, test } from "vitest";
import type { PromptPartId, UpstreamId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import type { JobId } from "../../scheduling/pool/pool_job.ts";
import type { ContentReport } from "./content_report.ts";
import { CrashSuspects } from "./crash_suspects.ts";

type Outcome = ContentReport["outcome"];

/** Attempts at requests that are named by their shared parts, such as `first deadly`. */
class Attempts {
  readonly suspects = CrashSuspects.create();
  #count = 0;

  /** Reports an attempt that has just ended. */
  end(
    parts: string,
    outcome: Outcome,
    options: Readonly<
      { on?: string; ms: number; job?: string; answeringMs?: number }
    >,
  ): void {
    this.#count += 1;
    const { on = "e0", ms, job = `job-${this.#count}`, answeringMs } = options;
    const report = {
      ...requestOf(parts),
      digest: `digest-${this.#count}`,
      outcome,
      ranMs: 50,
      answeringMs,
    };
    const attempt = { job: job as JobId, upstream: on as never, startedAt: 1 };
    this.suspects.report(report, attempt, ms as Timestamp);
  }

  /** Ends the upstream's process, which breaks the attempts aboard. */
  crash(on: string, aboard: readonly string[], ms: number): void {
    for (const parts of aboard) this.end(parts, "disconnected", { on, ms });
    this.confirm(on, ms);
  }

  confirm(on: string, ms: number): void {
    const at = ms as Timestamp;
    this.suspects.processEnded(on as UpstreamId, "unreachable", at, 1);
  }

  decide(parts: string, ms: number, job = `ask-${ms}`): string {
    return this.suspects.decide(requestOf(parts), ms as Timestamp, {
      job: job as JobId,
      allowTrial: true,
      leftMs: 10_000,
    }).type;
  }
}

function requestOf(parts: string) {
  const sharedParts = parts.split(" ") as PromptPartId[];
  return { digest: `digest of ${parts}`, sharedParts };
}

test("the part that is left when answers have cleared the others is refused after two crashes", () => {
  const attempts = new Attempts();
  attempts.end("first", "answered", { ms: 0 });
  attempts.crash("e1", ["first", "first deadly"], 1_000);
  attempts.crash("e2", ["first", "first deadly"], 3_000);
  expect(attempts.decide("first deadly", 3_100)).toBe("refuse");
  expect(attempts.decide("other deadly", 3_100)).toBe("refuse");
  expect(attempts.decide("first", 3_100)).toBe("run");
  expect(attempts.decide("first other", 3_100)).toBe("run");
});

test("a request that alone may have crashed an upstream is not sent to a second one at once", () => {
  const attempts = new Attempts();
  attempts.end("first", "answered", { ms: 0 });
  attempts.crash("e1", ["first", "first deadly", "first"], 1_000);
  expect(attempts.decide("first deadly", 1_001)).toBe("refuse");
  expect(attempts.decide("first deadly", 2_001)).toBe("probe");
});

test("a request that had just begun is suspected before one that was being answered", () => {
  const attempts = new Attempts();
  attempts.end("begun", "disconnected", { on: "e1", ms: 0, answeringMs: 900 });
  attempts.end("starting", "disconnected", { on: "e1", ms: 1 });
  attempts.confirm("e1", 2);
  expect(attempts.decide("starting", 3)).toBe("refuse");
  expect(attempts.decide("begun", 3)).toBe("probe");
});

test("suspected parts run in one request at a time each, until an answer clears them", () => {
  const attempts = new Attempts();
  attempts.crash("e1", ["a", "b"], 0);
  expect(attempts.decide("a", 100, "job-a")).toBe("probe");
  expect(attempts.decide("a", 100, "job-a")).toBe("probe");
  expect(attempts.decide("a", 200)).toBe("refuse");
  expect(attempts.decide("b", 200)).toBe("probe");
  attempts.end("a", "answered", { ms: 900, job: "job-a" });
  expect(attempts.decide("a", 901)).toBe("run");
});

test("a probe that ends without an outcome makes room for the next one", () => {
  const attempts = new Attempts();
  attempts.crash("e1", ["a", "b"], 0);
  expect(attempts.decide("a", 100, "job-a")).toBe("probe");
  attempts.suspects.jobEnded("job-a" as JobId);
  expect(attempts.decide("a", 200, "job-b")).toBe("probe");
  attempts.suspects.cancel(requestOf("a"), "job-b" as JobId);
  expect(attempts.decide("a", 300)).toBe("probe");
});

test("parts count as lost before the crash is confirmed, and no longer once the upstream shows that it runs", () => {
  const attempts = new Attempts();
  attempts.end("a", "disconnected", { on: "e1", ms: 0 });
  expect(attempts.decide("a", 1)).toBe("refuse");
  attempts.suspects.upstreamAlive("e1" as UpstreamId, 2 as Timestamp);
  expect(attempts.decide("a", 3)).toBe("run");
});

test("an attempt that is reported after the crash was confirmed counts", () => {
  const attempts = new Attempts();
  attempts.end("first", "answered", { ms: 0 });
  for (const [on, ms] of [["e1", 1_000], ["e2", 3_000]] as const) {
    attempts.crash(on, ["first"], ms);
    attempts.end("first deadly", "disconnected", { on, ms: ms + 5 });
  }
  expect(attempts.decide("deadly", 3_010)).toBe("refuse");
});

describe("a part that is blamed wrongly", () => {
  test("is free after one answer, whoever gets it", () => {
    const attempts = new Attempts();
    attempts.crash("e1", ["sound"], 0);
    attempts.crash("e2", ["sound"], 2_000);
    expect(attempts.decide("sound", 2_100)).toBe("refuse");
    expect(attempts.decide("sound", 7_001, "trial")).toBe("trial");
    attempts.end("sound", "answered", { ms: 7_900, job: "trial" });
    expect(attempts.decide("sound", 7_901)).toBe("run");
  });

  test("is free once another part was aboard all its crashes, and more", () => {
    const attempts = new Attempts();
    attempts.crash("e1", ["sound", "deadly"], 0);
    attempts.crash("e2", ["sound", "deadly"], 2_000);
    expect(attempts.decide("sound", 2_100)).toBe("refuse");
    attempts.crash("e3", ["deadly"], 3_000);
    expect(attempts.decide("sound", 3_100)).toBe("run");
    expect(attempts.decide("deadly", 3_100)).toBe("refuse");
  });

  test("is free once two unlike parts were each aboard one of its crashes, and crashed without it", () => {
    const attempts = new Attempts();
    attempts.crash("e1", ["sound", "deadly"], 0);
    attempts.crash("e2", ["sound", "turning"], 2_000);
    attempts.crash("e3", ["deadly"], 2_500);
    expect(attempts.decide("sound", 2_600)).toBe("refuse");
    attempts.crash("e4", ["turning"], 3_000);
    expect(attempts.decide("sound", 3_100)).toBe("run");
    expect(attempts.decide("deadly", 3_100)).toBe("refuse");
    expect(attempts.decide("turning", 3_100)).toBe("refuse");
  });
});

test("a part that crashes upstreams is not excused by parts that others excuse", () => {
  const attempts = new Attempts();
  attempts.crash("e1", ["deadly", "a"], 0);
  attempts.crash("e2", ["deadly", "b"], 2_000);
  for (const [on, parts] of [["e3", "a"], ["e4", "b"]] as const) {
    attempts.crash(on, [parts, `other-${parts}`], 3_000);
    attempts.crash(`f-${on}`, [`other-${parts}`], 4_000);
  }
  expect(attempts.decide("deadly", 4_100)).toBe("refuse");
});

test("content that was lost beside two unlike deadly parts, one after the other, is not refused", () => {
  const attempts = new Attempts();
  const lose = (on: string, ms: number) => {
    const content = { digest: "sound", outcome: "disconnected" } as const;
    const job = { job: `s-${on}` as JobId, upstream: on as never };
    const attempt = { ...job, startedAt: 1 };
    attempts.suspects.report(content, attempt, ms as Timestamp);
  };
  for (const [on, part] of [["e1", "deadly"], ["e2", "turning"]] as const) {
    lose(on, 1_000);
    attempts.crash(on, [part], 1_000);
    attempts.crash(`f-${on}`, [part], 2_000);
  }
  const options = { job: "s" as JobId, allowTrial: false, leftMs: 1_000 };
  const sound = { digest: "sound" };
  expect(attempts.suspects.decide(sound, 2_100 as Timestamp, options).type)
    .toBe("run");
});

test("a content that was lost with a deadly part aboard each time is not refused", () => {
  const attempts = new Attempts();
  attempts.end("first", "answered", { ms: 0 });
  const sound = {
    digest: "sound",
    sharedParts: ["first"] as PromptPartId[],
  };
  for (const [on, ms] of [["e1", 1_000], ["e2", 3_000]] as const) {
    const attempt = { job: `s${ms}` as JobId, upstream: on as never };
    attempts.suspects.report(
      { ...sound, outcome: "disconnected" },
      { ...attempt, startedAt: 1 },
      ms as Timestamp,
    );
    attempts.crash(on, ["first deadly"], ms);
  }
  const options = { job: "s" as JobId, allowTrial: false, leftMs: 1_000 };
  expect(attempts.suspects.decide(sound, 3_100 as Timestamp, options).type)
    .toBe("run");
});

test("crashes at the same time, with nothing else to blame, do not count against an answered part", () => {
  const attempts = new Attempts();
  attempts.end("first", "answered", { ms: 0 });
  for (let i = 0; i < 9; i += 1) attempts.crash(`e${i}`, ["first"], 1_000);
  expect(attempts.decide("first", 1_100)).toBe("run");
});

test("a part that was answered once is refused after three crashes in turn without an answer", () => {
  const attempts = new Attempts();
  attempts.end("turned", "answered", { ms: 0 });
  const types = [1_000, 2_000, 3_000].map((ms) => {
    attempts.crash(`e${ms}`, ["turned"], ms);
    return attempts.decide("turned", ms + 10);
  });
  expect(types).toEqual(["run", "probe", "refuse"]);
});

test("a trial of a part that crashed five upstreams is used up though an upstream turns it away", () => {
  const attempts = new Attempts();
  for (let i = 0; i < 5; i += 1) attempts.crash(`e${i}`, ["deadly"], i);
  let reached = 0;
  for (let ms = 100; ms < 3_600_000; ms += 500) {
    if (attempts.decide("deadly", ms) !== "trial") continue;
    reached += 1;
    attempts.end("deadly", "not_run", { ms: ms + 1, job: `ask-${ms}` });
  }
  expect(reached).toBe(3);
});

describe("what the store has from before a restart of all daemons", () => {
  const record = {
    digest: "part:deadly",
    epoch: 0,
    lost: ["e1/1", "e2/1"],
    trials: 0,
    ageMs: 0,
  };

  test("counts though the part has crashed an upstream before it was read", () => {
    const attempts = new Attempts();
    attempts.crash("e3", ["deadly", "other"], 0);
    attempts.suspects.restore([record], 200 as Timestamp);
    expect(attempts.suspects.crashes("part:deadly")).toBe(3);
    expect(attempts.decide("deadly", 300)).toBe("refuse");
  });

  test("does not count if the part was answered before it was read", () => {
    const attempts = new Attempts();
    attempts.end("deadly", "answered", { ms: 0 });
    attempts.suspects.restore([record], 200 as Timestamp);
    expect(attempts.decide("deadly", 300)).toBe("run");
    const [stored] = attempts.suspects.records(300 as Timestamp);
    expect(stored).toMatchObject({ epoch: 1, lost: [] });
  });
});
