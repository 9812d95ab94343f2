import type { EngineEvent } from "../wire/engine.ts";
import type { AttemptId, RequestId } from "./id.ts";
import type { Weights } from "./request.ts";

/** What to do with one event that came back from an engine. */
export type StreamVerdict =
  | Readonly<{ type: "pass" }>
  /** Not for the client; counted and dropped. */
  | Readonly<{ type: "drop"; why: "crossed" | "doubled" }>
  /** The answer can't be completed from this stream. */
  | Readonly<{ type: "broken"; detail: string }>;

/** What the events of one attempt must say. */
export type StreamExpectation = Readonly<{
  request: RequestId;
  attempt: AttemptId;
  weights: Weights;
  /** Tokens that the client has already. */
  after: number;
}>;

const PASS: StreamVerdict = { type: "pass" };

/** Lets through only the whole answer of one attempt, in order and once. */
export class StreamCheck {
  readonly #expected: StreamExpectation;
  #next: number;

  private constructor(expected: StreamExpectation) {
    this.#expected = expected;
    this.#next = expected.after;
  }

  static create(expected: StreamExpectation): StreamCheck {
    return new StreamCheck(expected);
  }

  /** Tokens passed on so far, those before this attempt included. */
  get tokens(): number {
    return this.#next;
  }

  /** Judges the next event. */
  take(event: EngineEvent): StreamVerdict {
    const { request, attempt } = this.#expected;
    if (event.request !== request || event.attempt !== attempt) {
      return { type: "drop", why: "crossed" };
    }
    if (event.type === "token") return this.#takeToken(event.index);
    if (event.type === "done") return this.#takeDone(event);
    return { type: "broken", detail: `The engine reported: ${event.code}.` };
  }

  #takeToken(index: number): StreamVerdict {
    if (index < this.#next) return { type: "drop", why: "doubled" };
    if (index > this.#next) {
      return {
        type: "broken",
        detail: `Token ${this.#next} is missing; token ${index} came.`,
      };
    }
    this.#next += 1;
    return PASS;
  }

  #takeDone(event: Extract<EngineEvent, { type: "done" }>): StreamVerdict {
    const { weights } = this.#expected;
    if (event.finish === "cancelled") {
      return { type: "broken", detail: "The engine cancelled the answer." };
    }
    if (event.count !== this.#next) {
      return {
        type: "broken",
        detail: `The answer has ${event.count} tokens; ${this.#next} came.`,
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
