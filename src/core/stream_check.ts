import type { EngineEvent } from "../wire/engine.ts";
import type { AttemptId, RequestId } from "./id.ts";
import type { Weights } from "./request.ts";

/** How to handle one event of an engine's stream. */
export type StreamCheckResult =
  | Readonly<{ type: "pass" }>
  /** The event belongs to another request or attempt, or repeats a token; it is counted and dropped. */
  | Readonly<{ type: "drop"; reason: "crossed" | "doubled" }>
  /** The response can't be completed from this stream. */
  | Readonly<{ type: "broken"; detail: string }>;

/** Values that the events of one attempt must match. */
export type StreamExpectation = Readonly<{
  request: RequestId;
  attempt: AttemptId;
  weights: Weights;
  /** Tokens that the client has received before this stream. */
  receivedTokens: number;
}>;

const PASS: StreamCheckResult = { type: "pass" };

/** Filters an engine's stream: passes each token of one attempt once and in order, and the end only of a complete response. */
export class StreamCheck {
  readonly #expected: StreamExpectation;
  #nextIndex: number;

  private constructor(expected: StreamExpectation) {
    this.#expected = expected;
    this.#nextIndex = expected.receivedTokens;
  }

  static create(expected: StreamExpectation): StreamCheck {
    return new StreamCheck(expected);
  }

  /** Tokens accepted so far, including those received before this stream. */
  get tokens(): number {
    return this.#nextIndex;
  }

  /** Checks the next event. */
  checkEvent(event: EngineEvent): StreamCheckResult {
    const { request, attempt } = this.#expected;
    if (event.request !== request || event.attempt !== attempt) {
      return { type: "drop", reason: "crossed" };
    }
    if (event.type === "token") return this.#checkToken(event.index);
    if (event.type === "done") return this.#checkDone(event);
    return { type: "broken", detail: `The engine reported: ${event.code}.` };
  }

  #checkToken(index: number): StreamCheckResult {
    if (index < this.#nextIndex) return { type: "drop", reason: "doubled" };
    if (index > this.#nextIndex) {
      return {
        type: "broken",
        detail: `Token ${this.#nextIndex} is missing; token ${index} came.`,
      };
    }
    this.#nextIndex += 1;
    return PASS;
  }

  #checkDone(event: Extract<EngineEvent, { type: "done" }>): StreamCheckResult {
    const { weights } = this.#expected;
    if (event.finish === "cancelled") {
      return { type: "broken", detail: "The engine cancelled the answer." };
    }
    if (event.count !== this.#nextIndex) {
      return {
        type: "broken",
        detail:
          `The answer has ${event.count} tokens; ${this.#nextIndex} came.`,
      };
    }
    if (!sameWeights(event, weights)) {
      return {
        type: "broken",
        detail: `${event.model} ${event.version} answered, not what was asked.`,
      };
    }
    return PASS;
  }
}

function sameWeights(a: Weights, b: Weights): boolean {
  return a.model === b.model && a.version === b.version &&
    a.adapter === b.adapter;
}
