import { afterEach, describe, expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
  type UpstreamScript,
} from "../../testing/front_server_fixture.ts";
import {
  chooseUnfinished,
  unfinishedBytesOf,
  UnfinishedEvents,
} from "./unfinished_events.ts";

const MIB = 1 << 20;
/** Of these, unfinished events may take 3 MiB. */
const RESOURCES = { memoryBytes: 112 * MIB, descriptors: 2_069 };
const STREAMS = 8;
const FIRST = "id: 1\ndata: a\n\n";

let fixture: FrontServerFixture | undefined;
afterEach(() => fixture?.close());

/** Sends an event, then the beginning of another one, and its end a while later. */
function streamOf(bytes: number): UpstreamScript {
  const head = responseHeadText(200, {
    "X-Response-Seal": "s",
    "Content-Type": "text/event-stream",
  });
  return (socket) => {
    socket.write(`${head}${FIRST}id: 2\ndata: ${"x".repeat(bytes)}`);
    setTimeout(() => socket.end("\n\n"), 600);
  };
}

// Guards against a process that ends, as each of many streams keeps to its own bound.
describe("the unfinished events of many streams took the memory of the process", () => {
  test("they stay within a part of it, and streams with small events go on", async () => {
    const large = Array.from({ length: STREAMS }, () => streamOf(700 << 10));
    const small = Array.from({ length: STREAMS }, () => streamOf(100));
    fixture = await FrontServerFixture.start([...small, ...large], {
      resumable: false,
    }, { resources: RESOURCES });
    const started = fixture;
    let mostHeld = 0;
    const sample = setInterval(() => {
      const { unfinished_event_bytes: held = Infinity } =
        started.frontServer.gauges;
      mostHeld = Math.max(mostHeld, held);
    }, 5);
    const answers = await Promise.all(
      [...small, ...large].map(() => started.send("/ask/x")),
    );
    clearInterval(sample);
    expect(mostHeld).toBeGreaterThan(0);
    expect(mostHeld).toBeLessThanOrEqual(unfinishedBytesOf(RESOURCES));
    const complete = answers.map((answer) => answer.complete);
    expect(complete.slice(0, STREAMS)).toEqual(small.map(() => true));
    const broken = complete.filter((isComplete) => !isComplete);
    expect(broken.length).toBeGreaterThan(STREAMS / 2);
    for (const answer of answers) expect(answer.body).toContain(FIRST);
    // The upstreams are at fault, and nothing is held once all have ended.
    const { lineFields, jobUpdates } = started.exchangePort.recorded;
    expect(
      lineFields.filter(({ detail }) =>
        detail === "The unfinished events of all upstreams are too large"
      ).length,
    ).toBeGreaterThanOrEqual(broken.length);
    expect(jobUpdates.filter((update) => update.endsWith("failed")).length)
      .toBe(broken.length);
    expect(started.frontServer.gauges["unfinished_event_bytes"]).toBe(0);
  });
});

describe("the unfinished event that is given up", () => {
  const events = [
    { name: "a", bytes: 2 },
    { name: "b", bytes: 5 },
    { name: "c", bytes: 5 },
  ];

  test("is the first of the largest ones", () => {
    expect(chooseUnfinished(events, { heldBytes: 12, maxBytes: 11 })?.name)
      .toBe("b");
  });

  test("is none while they fit", () => {
    expect(chooseUnfinished(events, { heldBytes: 12, maxBytes: 12 }))
      .toBeUndefined();
  });

  test("may be the one that grew, whose stream is then told by the result", () => {
    const held = UnfinishedEvents.create(RESOURCES);
    const givenUp: string[] = [];
    const first = held.open(() => givenUp.push("first"));
    const second = held.open(() => givenUp.push("second"));
    expect(first.hold(2 * MIB)).toBe(true);
    expect(second.hold(1.5 * MIB)).toBe(true);
    expect(givenUp).toEqual(["first"]);
    expect(second.hold(4 * MIB)).toBe(false);
    expect(second.bytes).toBe(0);
  });
});
