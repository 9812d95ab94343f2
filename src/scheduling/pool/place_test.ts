import { describe, expect, test } from "vitest";
import type { DomainId, UpstreamId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import {
  ENGINE_PACE,
  placementRequest,
  poolJob,
} from "../../testing/pool_fixtures.ts";
import type { Candidate, PromptInput } from "./candidate.ts";
import { passMs, prefillMs } from "./engine_pace.ts";
import { placeCall } from "./place_call.ts";
import { placeLong } from "./place_long.ts";
import { placeShort } from "./place_short.ts";
import type { PlacementRequest, PoolJob } from "./pool_job.ts";
import { UpstreamLoad } from "./upstream_load.ts";

const NOW = 10_000 as Timestamp;
let jobs = 0;

function jobOn(upstream: string, fields: Partial<PoolJob> = {}): PoolJob {
  jobs += 1;
  return poolJob(`j${jobs}`, upstream, { writing: true, ...fields });
}

function engine(
  id: string,
  options: { streams?: number; reading?: number; fields?: Partial<PoolJob> } =
    {},
): Candidate {
  const load = UpstreamLoad.create(id as UpstreamId);
  for (let i = 0; i < (options.streams ?? 0); i += 1) {
    load.add(jobOn(id, options.fields), NOW);
  }
  if (options.reading !== undefined) {
    const partMs = options.reading;
    load.add(
      jobOn("other", { helpers: [id as UpstreamId], partMs, writing: false }),
      NOW,
    );
  }
  return { id: id as UpstreamId, domain: "a" as DomainId, slots: 11, load };
}

function input(
  candidates: readonly Candidate[],
  fields: Partial<PlacementRequest> = {},
): PromptInput {
  const ask = placementRequest("ask", fields);
  return { ask, candidates, now: NOW, pace: ENGINE_PACE };
}

describe("cost of work", () => {
  test("prefill follows the platform's formula", () => {
    expect(prefillMs(ENGINE_PACE, 5_000)).toBeCloseTo(30.5, 1);
    expect(prefillMs(ENGINE_PACE, 154_000)).toBeCloseTo(3_052, 0);
  });

  test("a pass writes one event for each stream", () => {
    expect(passMs(ENGINE_PACE, 1, 5_000)).toBeCloseTo(44.4, 1);
  });
});

describe("short prompts", () => {
  test("are packed on an engine that already decodes, so that other engines stay free", () => {
    const engines = [engine("e0"), engine("e1", { streams: 3 }), engine("e2")];
    expect(placeShort(input(engines))?.engine.id).toBe("e1");
  });

  test("are packed in the failure domain of their daemon if it has enough engines", () => {
    const far = { ...engine("far", { streams: 3 }), domain: "b" as DomainId };
    const near = [
      engine("near", { streams: 1 }),
      ...Array.from({ length: 15 }, (_, i) => engine(`e${i}`)),
    ];
    expect(placeShort(input([far, ...near]))?.engine.id).toBe("near");
    expect(placeShort(input([far, ...near.slice(0, 5)]))?.engine.id)
      .toBe("far");
  });

  test("avoid an engine whose slots are nearly taken", () => {
    const engines = [engine("e0"), engine("e1", { streams: 8 })];
    expect(placeShort(input(engines))?.engine.id).toBe("e0");
  });

  test("avoid an engine that prefills a long part", () => {
    const engines = [
      engine("e0", { streams: 2, reading: 400 }),
      engine("e1"),
    ];
    expect(placeShort(input(engines))?.engine.id).toBe("e1");
  });

  test("avoid an engine whose streams a large prompt would make pause too long", () => {
    const engines = [
      engine("e0", { streams: 3, reading: 60 }),
      engine("e1"),
    ];
    const place = placeShort(input(engines, { promptTokens: 23_000 }));
    expect(place?.engine.id).toBe("e1");
  });

  test("avoid an engine that failed recently", () => {
    const bad = engine("e0", { streams: 2 });
    bad.load.recordFailure(NOW);
    expect(placeShort(input([bad, engine("e1")]))?.engine.id).toBe("e1");
  });
});

describe("long prompts", () => {
  const long = { promptTokens: 154_000, targetMs: 3_000, pauseMs: 1_000 };

  test("are split over the engines without sensitive streams", () => {
    const free = Array.from({ length: 12 }, (_, i) => engine(`e${i}`));
    const sensitive = Array.from(
      { length: 4 },
      (_, i) => engine(`t${i}`, { streams: 6 }),
    );
    const place = placeLong(input([...sensitive, ...free], long), {
      dueInMs: 2_950,
      timeoutInMs: 11_000,
    });
    if (typeof place === "string") throw new Error(place);
    const ids = [place.engine, ...place.helpers].map((engine) => engine.id);
    expect(ids.filter((id) => id.startsWith("t"))).toEqual([]);
    expect(ids).toHaveLength(12);
  });

  /** Streams of long prompts, which accept pauses of up to a second, and of medium ones, which don't. */
  const tolerant = { pauseMs: 1_000 };
  const firm = { pauseMs: 600 };

  test("are prefilled on engines whose streams accept the pause", () => {
    const tolerantEngines = Array.from(
      { length: 13 },
      (_, i) => engine(`b${i}`, { streams: 2, fields: tolerant }),
    );
    const firmEngines = Array.from(
      { length: 3 },
      (_, i) => engine(`s${i}`, { streams: 1, fields: firm }),
    );
    const place = placeLong(
      input([...firmEngines, ...tolerantEngines], {
        ...long,
        promptTokens: 270_000,
      }),
      { dueInMs: 2_950, timeoutInMs: 11_000 },
    );
    if (typeof place === "string") throw new Error(place);
    const ids = [place.engine, ...place.helpers].map((engine) => engine.id);
    expect(ids.filter((id) => id.startsWith("s"))).toEqual([]);
  });

  test("are answered on an engine with one stream of a long prompt rather than on an empty engine", () => {
    const engines = [
      engine("e0"),
      engine("e1", { streams: 1, fields: tolerant }),
      engine("e2", { streams: 3, fields: tolerant }),
    ];
    const place = placeLong(input(engines, long), {
      dueInMs: 2_950,
      timeoutInMs: 11_000,
    });
    if (typeof place === "string") throw new Error(place);
    expect(place.engine.id).toBe("e1");
  });

  test("wait if the only free engines have short streams that a part would cause to be aborted", () => {
    const engines = [
      ...Array.from({ length: 3 }, (_, i) => engine(`t${i}`, { streams: 4 })),
      engine("r0", { reading: 900 }),
    ];
    const place = (promptTokens: number) =>
      placeLong(input(engines, { ...long, promptTokens }), {
        dueInMs: 2_950,
        timeoutInMs: 11_000,
      });
    expect(place(120_000)).toBe("busy");
  });

  test("wait for engines that are free soon if the free ones alone would make them late", () => {
    const free = Array.from({ length: 8 }, (_, i) => engine(`f${i}`));
    const soon = (reading: number) =>
      Array.from({ length: 8 }, (_, i) => engine(`r${i}`, { reading }));
    const ask = { ...long, promptTokens: 220_000 };
    const options = { dueInMs: 700, timeoutInMs: 11_000 };
    expect(placeLong(input([...free, ...soon(200)], ask), options))
      .toBe("busy");
    expect(placeLong(input([...free, ...soon(6_000)], ask), options))
      .not.toBe("busy");
  });

  test("wait while too few engines are free", () => {
    const busy = Array.from(
      { length: 13 },
      (_, i) => engine(`b${i}`, { reading: 300 }),
    );
    const free = Array.from({ length: 3 }, (_, i) => engine(`e${i}`));
    const options = { dueInMs: 2_950, timeoutInMs: 11_000 };
    expect(placeLong(input([...busy, ...free], long), options)).toBe("busy");
    const small = { ...long, promptTokens: 40_000 };
    expect(typeof placeLong(input([...busy, ...free], small), options))
      .toBe("object");
  });

  test("use engines with sensitive streams for parts that are short enough for them", () => {
    const all = Array.from(
      { length: 16 },
      (_, i) => engine(`t${i}`, { streams: 3 }),
    );
    const place = placeLong(
      input(all, { ...long, promptTokens: 110_000 }),
      { dueInMs: 2_950, timeoutInMs: 11_000 },
    );
    if (typeof place === "string") throw new Error(place);
    expect(place.partMs).toBeLessThan(200);
  });

  test("leave some engines to short prompts that arrive meanwhile", () => {
    const all = Array.from({ length: 16 }, (_, i) => engine(`e${i}`));
    const giant = { ...long, promptTokens: 290_000 };
    const place = placeLong(input(all, giant), {
      dueInMs: 2_950,
      timeoutInMs: 11_000,
    });
    if (typeof place === "string") throw new Error(place);
    expect(place.helpers).toHaveLength(13);
  });

  test("don't use an engine that has just failed", () => {
    const all = Array.from({ length: 8 }, (_, i) => engine(`e${i}`));
    all[3]!.load.recordFailure(NOW);
    const place = placeLong(input(all, long), {
      dueInMs: 2_950,
      timeoutInMs: 11_000,
    });
    if (typeof place === "string") throw new Error(place);
    const ids = [place.engine, ...place.helpers].map((engine) => engine.id);
    expect(ids).not.toContain("e3");
    // One of the other seven engines is reserved for short prompts.
    expect(ids).toHaveLength(6);
  });

  test("reserve memory on other engines if one engine can't hold them", () => {
    const all = Array.from({ length: 8 }, (_, i) => engine(`e${i}`));
    const place = placeLong(
      input(all, { ...long, promptTokens: 500_000 }),
      { dueInMs: 2_950, timeoutInMs: 11_000 },
    );
    if (typeof place === "string") throw new Error(place);
    const reserved = place.tickets.reduce(
      (sum, ticket) => sum + ticket.tokens,
      0,
    );
    expect(reserved).toBeGreaterThanOrEqual(501_600 - 315_000);
    expect(place.tickets.every((ticket) => ticket.upstream !== place.engine.id))
      .toBe(true);
  });

  test("are refused if the memory of all engines is too small", () => {
    const all = [engine("e0"), engine("e1")];
    const place = placeLong(
      input(all, { ...long, promptTokens: 700_000 }),
      { dueInMs: 2_950, timeoutInMs: 60_000 },
    );
    expect(place).toBe("no_memory");
  });
});

test("calls go to the least utilized instance, and to the local failure domain first", () => {
  const busy = engine("e0", { streams: 5, fields: { kind: "call" } });
  const far = { ...engine("e1"), domain: "b" };
  expect(placeCall(input([busy, far]))?.instance.id).toBe("e1");
  expect(placeCall(input([engine("e2"), far]))?.instance.id).toBe("e2");
});

describe("engines whose slots are all taken by helper jobs", () => {
  test("get no further part, as rejecting it would fail the whole prompt", () => {
    const busy = engine("e0");
    for (let i = 0; i < busy.slots; i += 1) {
      const tickets = [{ upstream: busy.id, tokens: 1_000 }];
      busy.load.add(jobOn("other", { helpers: [busy.id], tickets }), NOW);
    }
    const engines = [busy, engine("e1"), engine("e2")];
    const long = { promptTokens: 100_000, targetMs: 3_000, pauseMs: 1_000 };
    const place = placeLong(input(engines, long), {
      dueInMs: 2_950,
      timeoutInMs: 11_000,
    });
    if (typeof place === "string") throw new Error(place);
    const used = [place.engine, ...place.helpers].map((engine) => engine.id);
    expect(used).not.toContain("e0");
  });
});

describe("engines that are known to be slow", () => {
  const slow = (id: string, options: Parameters<typeof engine>[1] = {}) => {
    const candidate = engine(id, options);
    candidate.load.setSlowdown(6, NOW);
    return candidate;
  };

  test("get no short prompt, even if they already decode streams", () => {
    const engines = [slow("e0", { streams: 3 }), engine("e1")];
    expect(placeShort(input(engines))?.engine.id).toBe("e1");
  });

  test("get no part of a long prompt", () => {
    const engines = [
      ...Array.from({ length: 4 }, (_, i) => slow(`s${i}`)),
      ...Array.from({ length: 12 }, (_, i) => engine(`e${i}`)),
    ];
    const long = { promptTokens: 154_000, targetMs: 3_000, pauseMs: 1_000 };
    const place = placeLong(input(engines, long), {
      dueInMs: 2_950,
      timeoutInMs: 11_000,
    });
    if (typeof place === "string") throw new Error(place);
    const used = [place.engine, ...place.helpers].map((engine) => engine.id);
    expect(used.filter((id) => id.startsWith("s"))).toEqual([]);
  });

  test("are no longer slow once the last report has expired", () => {
    const candidate = slow("e0");
    expect(candidate.load.slowdownAt((NOW + 4_000) as Timestamp)).toBe(6);
    expect(candidate.load.slowdownAt((NOW + 4_001) as Timestamp)).toBe(1);
  });

  test("scale their prefill backlog by the slowdown", () => {
    const candidate = engine("e0", { reading: 100 });
    candidate.load.setSlowdown(6, NOW);
    expect(candidate.load.backlogMs(NOW)).toBe(600);
    candidate.load.setSlowdown(1, NOW);
    expect(candidate.load.backlogMs(NOW)).toBe(100);
  });
});
