import { expect, test } from "vitest";
import type { UpstreamId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { CrashSuspects } from "./crash_suspects.ts";

const at = (ms: number) => ms as Timestamp;
const upstream = (name: string) => name as UpstreamId;

function crash(suspects: CrashSuspects, name: string, ms: number): void {
  suspects.connectionBroke("poison", upstream(name), at(ms));
  suspects.upstreamGone(upstream(name), "register", at(ms + 3_600));
}

test("content that has crashed two upstreams is refused", () => {
  const suspects = CrashSuspects.create();
  crash(suspects, "e1", 0);
  expect(suspects.mayRun("poison", at(4_000))).toBe(true);
  crash(suspects, "e2", 4_000);
  expect(suspects.mayRun("poison", at(8_000))).toBe(false);
});

test("broken connections to upstreams that live on prove nothing", () => {
  const suspects = CrashSuspects.create();
  for (const name of ["e1", "e2", "e3"]) {
    suspects.connectionBroke("healthy", upstream(name), at(0));
  }
  expect(suspects.mayRun("healthy", at(1_000))).toBe(true);
});

test("connections that break together show a crash at once", () => {
  const suspects = CrashSuspects.create();
  for (const name of ["e1", "e2"]) {
    suspects.connectionBroke(`beside on ${name}`, upstream(name), at(0));
    suspects.connectionBroke("poison", upstream(name), at(10));
  }
  expect(suspects.mayRun("poison", at(20))).toBe(false);
  expect(suspects.mayRun("beside on e1", at(20))).toBe(true);
});

test("popular content that was running several times on one upstream counts once", () => {
  const suspects = CrashSuspects.create();
  for (let i = 0; i < 3; i += 1) {
    suspects.connectionBroke("popular", upstream("e1"), at(i));
  }
  suspects.upstreamGone(upstream("e1"), "register", at(3_600));
  expect(suspects.mayRun("popular", at(4_000))).toBe(true);
});

test("an answer clears the content, as popular content was running wherever something crashed", () => {
  const suspects = CrashSuspects.create();
  crash(suspects, "e1", 0);
  suspects.answered("poison");
  crash(suspects, "e2", 4_000);
  expect(suspects.mayRun("poison", at(8_000))).toBe(true);
});

test.each(["disconnected", "silent"] as const)(
  "a crash counts that the register shows before the request fails: %s",
  (outcome) => {
    const suspects = CrashSuspects.create();
    for (const [i, name] of ["e1", "e2"].entries()) {
      const gone = at(4_000 * i);
      suspects.upstreamGone(upstream(name), "register", gone);
      const report = { digest: "poison", outcome };
      suspects.report(report, upstream(name), at(gone + 50));
    }
    expect(suspects.mayRun("poison", at(4_100))).toBe(false);
  },
);

test("an upstream that leaves long after a connection broke is not counted", () => {
  const suspects = CrashSuspects.create();
  for (const name of ["e1", "e2"]) {
    suspects.connectionBroke("healthy", upstream(name), at(0));
    suspects.upstreamGone(upstream(name), "register", at(20_000));
  }
  expect(suspects.mayRun("healthy", at(20_000))).toBe(true);
});

test("refused content is tried again, one request at a time and less and less often", () => {
  const suspects = CrashSuspects.create();
  crash(suspects, "e1", 0);
  crash(suspects, "e2", 4_000);
  const tried: number[] = [];
  for (let ms = 8_000; ms < 68_000; ms += 100) {
    if (!suspects.mayRun("poison", at(ms))) continue;
    tried.push(ms);
    suspects.connectionBroke("poison", upstream(`e${ms}`), at(ms));
    suspects.upstreamGone(upstream(`e${ms}`), "register", at(ms));
  }
  expect(tried).toEqual([12_600, 22_600, 42_600]);
});

test("content that was refused wrongly is free again after one answer", () => {
  const suspects = CrashSuspects.create();
  crash(suspects, "e1", 0);
  crash(suspects, "e2", 4_000);
  expect(suspects.mayRun("poison", at(12_600))).toBe(true);
  expect(suspects.mayRun("poison", at(12_700))).toBe(false);
  suspects.answered("poison");
  expect(suspects.mayRun("poison", at(12_800))).toBe(true);
});
