import { describe, expect, test } from "vitest";
import type { PromptPartId, UpstreamId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import { parseWith } from "../../wire/parse.ts";
import type { JobId } from "../../scheduling/pool/pool_job.ts";
import { ContentSyncSchema } from "../../suspects/content_record.ts";
import type { ContentReport } from "./content_report.ts";
import { CrashSuspects } from "./crash_suspects.ts";

/** Parts that fill a head of 16 KiB. */
const MANY_PARTS = 3_000;
const SOME_PARTS = 600;
/** Other requests that an upstream runs. */
const OTHERS = 10;
const MAX_MARK_CHARS = 128;
/** Leaves room in a datagram of 64 KiB for the rest of a heartbeat. */
const MAX_RECORDS_BYTES = 40_000;

const common = (count: number) =>
  Array.from({ length: count }, (_, i) => i.toString(16));

/** A prompt with a part that crashes upstreams, at a place from 0 to 1 among the others. */
function withDeadly(parts: readonly string[], place: number): string[] {
  const at = Math.floor(place * parts.length);
  return [...parts.slice(0, at), "deadly", ...parts.slice(at)];
}

let count = 0;

function report(
  suspects: CrashSuspects,
  parts: readonly string[],
  attempt: Readonly<
    { outcome: ContentReport["outcome"]; on: string; ms: number }
  >,
): void {
  const { outcome, on, ms } = attempt;
  count += 1;
  const content = { digest: `digest-${count}`, outcome, ranMs: 50 };
  suspects.report(
    { ...content, sharedParts: parts as PromptPartId[] },
    { job: `job-${count}` as JobId, upstream: on as UpstreamId, startedAt: 1 },
    ms as Timestamp,
  );
}

/** Ends an upstream's process, with the prompts that it was running. */
function crash(
  suspects: CrashSuspects,
  aboard: readonly (readonly string[])[],
  at: Readonly<{ on: string; ms: number }>,
): void {
  const { on, ms } = at;
  for (const parts of aboard) {
    report(suspects, parts, { outcome: "disconnected", on, ms });
  }
  const now = ms as Timestamp;
  suspects.processEnded(on as UpstreamId, "unreachable", now, 1);
}

function decide(
  suspects: CrashSuspects,
  parts: readonly string[],
  ms: number,
): string {
  count += 1;
  const request = { digest: `d${count}`, sharedParts: parts as PromptPartId[] };
  const job = `ask-${count}` as JobId;
  const options = { job, allowTrial: true, leftMs: 10_000 };
  return suspects.decide(request, ms as Timestamp, options).type;
}

/** What another daemon knows once it has received all records of this one. */
function told(suspects: CrashSuspects, ms: number): CrashSuspects {
  const records = suspects.records(ms as Timestamp);
  const text = JSON.stringify({ mark: "", records });
  expect(text.length).toBeLessThanOrEqual(MAX_RECORDS_BYTES);
  const sync = parseWith(ContentSyncSchema, JSON.parse(text));
  const other = CrashSuspects.create();
  other.merge(sync._unsafeUnwrap().records ?? [], ms as Timestamp);
  return other;
}

// Guards against evidence that is dropped for parts of long prompts, so that a deadly part goes on to crash upstreams.
describe("the evidence of a crash was kept for some parts of a long prompt only", () => {
  test.each([0, 0.02, 0.5, 1])(
    "beside other requests on the upstream, with the deadly part at %s of them",
    (place) => {
      const suspects = CrashSuspects.create();
      const sound = common(SOME_PARTS);
      report(suspects, sound, { outcome: "answered", on: "e0", ms: 0 });
      const deadly = withDeadly(sound, place);
      const others = Array.from(
        { length: OTHERS },
        (_, i) => [...sound, `own-${i}`],
      );
      crash(suspects, [deadly, ...others], { on: "e1", ms: 1_000 });
      crash(suspects, [deadly, ...others], { on: "e2", ms: 3_000 });
      expect(decide(suspects, deadly, 3_100)).toBe("refuse");
      expect(decide(suspects, sound, 3_100)).toBe("run");
    },
  );

  test.each([0, 0.5, 1])(
    "where nothing was answered, and in what other daemons are told; at %s",
    (place) => {
      const suspects = CrashSuspects.create();
      const sound = common(MANY_PARTS);
      const deadly = withDeadly(sound, place);
      crash(suspects, [deadly], { on: "e1", ms: 1_000 });
      crash(suspects, [deadly], { on: "e2", ms: 3_000 });
      const other = told(suspects, 3_100);
      for (const one of [suspects, other]) {
        expect(decide(one, ["deadly"], 3_100)).toBe("refuse");
        expect(one.quarantineSummary.length).toBeLessThan(MAX_MARK_CHARS);
      }
      expect(other.quarantineSummary).toBe(suspects.quarantineSummary);
      // The other parts are free in both as soon as one prompt with them is answered.
      report(suspects, sound, { outcome: "answered", on: "e3", ms: 4_000 });
      for (const one of [suspects, told(suspects, 4_100)]) {
        expect(decide(one, sound, 4_200)).toBe("run");
        expect(decide(one, ["deadly"], 4_200)).toBe("refuse");
      }
    },
  );
});

test("prompts whose parts are all new don't push out the part that crashed upstreams", () => {
  const suspects = CrashSuspects.create();
  crash(suspects, [["deadly"]], { on: "e1", ms: 0 });
  crash(suspects, [["deadly"]], { on: "e2", ms: 2_000 });
  for (let n = 0; n < 10; n += 1) {
    const parts = common(MANY_PARTS).map((part) => `${n}-${part}`);
    crash(suspects, [parts], { on: `f${n}`, ms: 3_000 + n });
  }
  expect(decide(suspects, ["deadly"], 4_000)).toBe("refuse");
});
