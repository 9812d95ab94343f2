import { describe, expect, test } from "vitest";
import type { UpstreamId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import type { JobId } from "../../scheduling/pool/pool_job.ts";
import type { ContentReport } from "./content_report.ts";
import { CrashSuspects } from "./crash_suspects.ts";

const at = (ms: number) => ms as Timestamp;
const upstreamId = (name: string) => name as UpstreamId;
const TRIAL = "trial" as JobId;

function report(
  suspects: CrashSuspects,
  content: ContentReport,
  attemptOptions: Readonly<{ on: string; ms: number; job?: JobId }>,
): void {
  const job = attemptOptions.job ?? "job" as JobId;
  const attempt = {
    job,
    upstream: upstreamId(attemptOptions.on),
    startedAt: 1,
  };
  suspects.report(content, attempt, at(attemptOptions.ms));
}

function reportDisconnect(
  suspects: CrashSuspects,
  digest: string,
  attemptOptions: Readonly<{ on: string; ms: number }>,
): void {
  report(suspects, { digest, outcome: "disconnected" }, attemptOptions);
}

function removeFromRegister(
  suspects: CrashSuspects,
  name: string,
  ms: number,
): void {
  suspects.processEnded(upstreamId(name), "register", at(ms));
}

function crash(suspects: CrashSuspects, name: string, ms: number): void {
  reportDisconnect(suspects, "poison", { on: name, ms });
  removeFromRegister(suspects, name, ms + 3_600);
}

function isAllowed(
  suspects: CrashSuspects,
  digest: string,
  ms: number,
  job = `job-${ms}` as JobId,
): boolean {
  const decision = suspects.decide({ digest }, at(ms), {
    job,
    allowTrial: true,
    leftMs: 1_000,
  });
  return decision.type !== "refuse";
}

/** Times in ms at which a request is let through that is sent every 100 ms and crashes an upstream each time. */
function trialTimes(
  suspects: CrashSuspects,
  span: Readonly<{ fromMs: number; toMs: number }>,
): readonly number[] {
  const times: number[] = [];
  for (let ms = span.fromMs; ms < span.toMs; ms += 100) {
    if (!isAllowed(suspects, "poison", ms)) continue;
    times.push(ms);
    reportDisconnect(suspects, "poison", { on: `e${ms}`, ms });
    removeFromRegister(suspects, `e${ms}`, ms);
  }
  return times;
}

test("content that crashed two upstreams is refused", () => {
  const suspects = CrashSuspects.create();
  crash(suspects, "e1", 0);
  expect(isAllowed(suspects, "poison", 4_000)).toBe(true);
  crash(suspects, "e2", 4_000);
  expect(isAllowed(suspects, "poison", 8_000)).toBe(false);
});

test("broken connections to upstreams that stay up do not count as crashes", () => {
  const suspects = CrashSuspects.create();
  for (const name of ["e1", "e2", "e3"]) {
    reportDisconnect(suspects, "healthy", { on: name, ms: 0 });
  }
  expect(isAllowed(suspects, "healthy", 1_000)).toBe(true);
});

test("connections that break together do not count as crashes, as a link reset breaks all of them", () => {
  const suspects = CrashSuspects.create();
  for (const name of ["e1", "e2"]) {
    reportDisconnect(suspects, `beside on ${name}`, { on: name, ms: 0 });
    reportDisconnect(suspects, "healthy", { on: name, ms: 10 });
  }
  expect(isAllowed(suspects, "healthy", 20)).toBe(true);
});

test.each(["unreachable", "restarted"] as const)(
  "a crash counts at once when an inspection finds the upstream %s",
  (evidence) => {
    const suspects = CrashSuspects.create();
    for (const name of ["e1", "e2"]) {
      reportDisconnect(suspects, `beside on ${name}`, { on: name, ms: 0 });
      reportDisconnect(suspects, "poison", { on: name, ms: 10 });
      suspects.processEnded(upstreamId(name), evidence, at(12));
    }
    expect(isAllowed(suspects, "poison", 20)).toBe(false);
    expect(isAllowed(suspects, "beside on e1", 20)).toBe(true);
  },
);

test("a crash counts once for content that ran in several requests on the upstream", () => {
  const suspects = CrashSuspects.create();
  for (let ms = 0; ms < 3; ms += 1) {
    reportDisconnect(suspects, "popular", { on: "e1", ms });
  }
  removeFromRegister(suspects, "e1", 3_600);
  expect(isAllowed(suspects, "popular", 4_000)).toBe(true);
});

test("a success clears the content, as popular content also runs where other contents crash upstreams", () => {
  const suspects = CrashSuspects.create();
  crash(suspects, "e1", 0);
  const answered = { digest: "poison", outcome: "answered" } as const;
  report(suspects, answered, { on: "e3", ms: 3_800 });
  crash(suspects, "e2", 4_000);
  expect(isAllowed(suspects, "poison", 8_000)).toBe(true);
});

test("popular content is not quarantined for the crashes of a poison request on the same upstreams", () => {
  const suspects = CrashSuspects.create();
  const answered = { digest: "popular", outcome: "answered" } as const;
  report(suspects, answered, { on: "e0", ms: 0 });
  for (const [i, name] of ["e1", "e2", "e3"].entries()) {
    reportDisconnect(suspects, "popular", { on: name, ms: 4_000 * i });
    crash(suspects, name, 4_000 * i);
  }
  expect(isAllowed(suspects, "popular", 12_000)).toBe(true);
  expect(isAllowed(suspects, "poison", 12_000)).toBe(false);
});

test("a success protects a content from crash counts for one minute only", () => {
  const suspects = CrashSuspects.create();
  const answered = { digest: "poison", outcome: "answered" } as const;
  report(suspects, answered, { on: "e0", ms: 0 });
  crash(suspects, "e1", 61_000);
  crash(suspects, "e2", 65_000);
  expect(isAllowed(suspects, "poison", 69_000)).toBe(false);
});

test.each(["disconnected", "silent"] as const)(
  "a crash that the register shows before the request fails counts: %s",
  (outcome) => {
    const suspects = CrashSuspects.create();
    for (const [i, name] of ["e1", "e2"].entries()) {
      const ms = 4_000 * i;
      removeFromRegister(suspects, name, ms);
      report(suspects, { digest: "poison", outcome }, {
        on: name,
        ms: ms + 50,
      });
    }
    expect(isAllowed(suspects, "poison", 4_100)).toBe(false);
  },
);

test("an upstream that leaves long after a broken connection does not count as crashed", () => {
  const suspects = CrashSuspects.create();
  for (const name of ["e1", "e2"]) {
    reportDisconnect(suspects, "healthy", { on: name, ms: 0 });
    removeFromRegister(suspects, name, 20_000);
  }
  expect(isAllowed(suspects, "healthy", 20_000)).toBe(true);
});

describe("quarantined content", () => {
  test("gets one trial before the third crash, and at most three more in an hour", () => {
    const suspects = CrashSuspects.create();
    crash(suspects, "e1", 0);
    crash(suspects, "e2", 4_000);
    const span = { fromMs: 8_000, toMs: 3_600_000 };
    expect(trialTimes(suspects, span)).toEqual([
      12_600,
      72_600,
      192_600,
      432_600,
    ]);
  });

  test("gets trials at doubling intervals while their outcome is unknown", () => {
    const suspects = CrashSuspects.create();
    crash(suspects, "e1", 0);
    crash(suspects, "e2", 4_000);
    const tried: number[] = [];
    for (let ms = 8_000; ms < 68_000; ms += 100) {
      if (isAllowed(suspects, "poison", ms)) tried.push(ms);
    }
    expect(tried).toEqual([12_600, 22_600, 42_600]);
  });

  test("gets its trial back if the upstream did not run the request", () => {
    const suspects = CrashSuspects.create();
    crash(suspects, "e1", 0);
    crash(suspects, "e2", 4_000);
    expect(isAllowed(suspects, "poison", 12_600, TRIAL)).toBe(true);
    const refused = { digest: "poison", outcome: "not_run" } as const;
    report(suspects, refused, { on: "e3", ms: 12_700, job: TRIAL });
    expect(isAllowed(suspects, "poison", 17_600)).toBe(true);
  });

  test("is released after one success", () => {
    const suspects = CrashSuspects.create();
    crash(suspects, "e1", 0);
    crash(suspects, "e2", 4_000);
    expect(isAllowed(suspects, "poison", 12_600)).toBe(true);
    expect(isAllowed(suspects, "poison", 12_700)).toBe(false);
    const answered = { digest: "poison", outcome: "answered" } as const;
    report(suspects, answered, { on: "e3", ms: 12_750 });
    expect(isAllowed(suspects, "poison", 12_800)).toBe(true);
  });

  test("is not evicted by the contents of a thousand crashes", () => {
    const suspects = CrashSuspects.create();
    crash(suspects, "e1", 0);
    crash(suspects, "e2", 4_000);
    for (let i = 0; i < 1_000; i += 1) {
      for (let j = 0; j < 8; j += 1) {
        reportDisconnect(suspects, `other-${i}-${j}`, {
          on: `f${i}`,
          ms: 8_000 + i,
        });
      }
      removeFromRegister(suspects, `f${i}`, 8_000 + i);
    }
    expect(suspects.size).toBeLessThanOrEqual(1_024);
    expect(isAllowed(suspects, "poison", 9_100)).toBe(false);
  });

  test("is detected although hundreds of other connections break meanwhile", () => {
    const suspects = CrashSuspects.create();
    for (const [i, name] of ["e1", "e2"].entries()) {
      const ms = 4_000 * i;
      const breakOthers = (from: number, to: number) => {
        for (let j = from; j < to; j += 1) {
          reportDisconnect(suspects, `other-${i}-${j}`, { on: `f${j}`, ms });
        }
      };
      breakOthers(0, 300);
      reportDisconnect(suspects, "poison", { on: name, ms });
      breakOthers(300, 900);
      removeFromRegister(suspects, name, ms + 3_600);
    }
    expect(isAllowed(suspects, "poison", 8_000)).toBe(false);
  });
});
