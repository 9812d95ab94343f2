import fc from "fast-check";
import { expect, test } from "vitest";
import type { EngineEvent } from "../wire/engine.ts";
import type { AttemptId, ModelId, RequestId, VersionId } from "./id.ts";
import { StreamCheck } from "./stream_check.ts";

const WEIGHTS = { model: "sage" as ModelId, version: "2" as VersionId };
const EXPECTED = {
  request: "r1" as RequestId,
  attempt: "a1" as AttemptId,
  weights: WEIGHTS,
  receivedTokens: 0,
};

function token(index: number, overrides: object = {}): EngineEvent {
  const { request, attempt } = EXPECTED;
  return {
    type: "token",
    request,
    attempt,
    index,
    text: `t${index}`,
    ...overrides,
  };
}

function done(count: number, overrides: object = {}): EngineEvent {
  const { request, attempt } = EXPECTED;
  return {
    type: "done",
    request,
    attempt,
    count,
    finish: "stop",
    ...WEIGHTS,
    prompt_tokens: 1,
    cached_tokens: 0,
    ...overrides,
  };
}

test.each([
  ["a complete answer", [token(0), token(1), done(2)], "pass pass pass"],
  [
    "a token of another request",
    [token(0, { request: "r2" }), token(0)],
    "drop pass",
  ],
  [
    "the end of another attempt",
    [token(0), done(1, { attempt: "a0" })],
    "pass drop",
  ],
  ["a duplicate token", [token(0), token(0), token(1)], "pass drop pass"],
  ["a missing token", [token(0), token(2)], "pass broken"],
  ["an end before the last token", [token(0), done(2)], "pass broken"],
  [
    "a cancelled answer",
    [token(0), done(1, { finish: "cancelled" })],
    "pass broken",
  ],
  ["the wrong version", [token(0), done(1, { version: "1" })], "pass broken"],
  ["an adapter that was not requested", [done(0, { adapter: "x" })], "broken"],
])("%s", (_name, events, expected) => {
  const check = StreamCheck.create(EXPECTED);
  const verdicts = events.map((event) => check.checkEvent(event).type);
  expect(verdicts.join(" ")).toBe(expected);
});

test("for any event sequence, only consecutive tokens of the own attempt pass and the end matches their count", () => {
  const eventArbitrary = fc.oneof(
    fc.nat(6).map((index) => token(index)),
    fc.nat(6).map((index) => token(index, { request: "r2" })),
    fc.nat(6).map((count) => done(count)),
  );
  fc.assert(
    fc.property(
      fc.array(eventArbitrary, { maxLength: 30 }),
      fc.nat(3),
      (events, receivedTokens) => {
        const check = StreamCheck.create({ ...EXPECTED, receivedTokens });
        const passed: EngineEvent[] = [];
        for (const event of events) {
          const verdict = check.checkEvent(event);
          if (verdict.type === "broken") break;
          if (verdict.type === "pass") passed.push(event);
          if (verdict.type === "pass" && event.type === "done") break;
        }
        const indexes = passed.flatMap((event) =>
          event.type === "token" ? [event.index] : []
        );
        expect(indexes).toEqual(
          indexes.map((_, position) => receivedTokens + position),
        );
        const last = passed.at(-1);
        if (last?.type === "done") {
          expect(last.count).toBe(
            receivedTokens + indexes.length,
          );
        }
      },
    ),
    { seed: 1, numRuns: 500 },
  );
});
