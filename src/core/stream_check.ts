import type { EngineEvent } from "../wire/engine.ts";
import type { AttemptId, RequestId } from "./id.ts";
import type { Weights } from "./request.ts";

/** What to do with one event that came back from an engine. */
export type StreamCheckResult =
  | Readonly<{ type: "pass" }>
  /** Not for the client; counted and dropped. */
  | Readonly<{ type: "drop"; reason: "crossed" | "doubled" }>
  /** The answer can't be completed from this stream. */
  | Readonly<{ type: "broken"; detail: string }>;

/** What the events of one attempt must say. */
export type StreamExpectation = Readonly<{
  request: RequestId;
  attempt: AttemptId;
  weights: Weights;
  /** Tokens that the client has already. */
  receivedTokens: number;
}>;

const PASS: StreamCheckResult = { type: "pass" };

/** Lets through only the whole answer of one attempt, in order and once. */
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

  /** Tokens passed on so far, those before this attempt included. */
  get tokens(): number {
    return this.#nextIndex;
  }

  /** Judges the next event. */
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
