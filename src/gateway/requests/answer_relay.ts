import type { Buffer } from "node:buffer";
import type { ClientAnswer } from "./client_answer.ts";
import type { AnswerHead } from "./dialect.ts";
import { EventCutter, type StreamEvent } from "./event_cutter.ts";
import type { AttemptFailure } from "./retry_rule.ts";

const MIN_SERVER_ERROR = 500;
const MAX_SUCCESS = 299;
/** Bytes of a stream that bring it no further, after which it is none: as much as one event may have. */
const MAX_IDLE_BYTES = 1 << 20;

/**
 * Passes the answers of one or more attempts on as one answer. A stream that goes on at another upstream keeps
 * the head of its first one, and goes on after the last event that was passed on.
 */
export class AnswerRelay {
  readonly #answer: ClientAnswer;
  #cutter = EventCutter.create();
  #head: AnswerHead | undefined;
  #status = 0;
  #events = 0;
  #progress = 0;
  /** Bytes since the last event that the client did not have. */
  #idleBytes = 0;
  #lastEventId: string | undefined;

  private constructor(answer: ClientAnswer, lastEventId: string | undefined) {
    this.#answer = answer;
    this.#lastEventId = lastEventId;
  }

  static create(
    answer: ClientAnswer,
    options: Readonly<{ lastEventId?: string }> = {},
  ): AnswerRelay {
    return new AnswerRelay(answer, options.lastEventId);
  }

  /** Id of the last event that the client has. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Events that were passed on. */
  get events(): number {
    return this.#events;
  }

  /** Chunks or events that this attempt has brought. */
  get progress(): number {
    return this.#progress;
  }

  get status(): number {
    return this.#status;
  }

  /** Whether the upstream's status says success. */
  get succeeded(): boolean {
    return this.#status <= MAX_SUCCESS;
  }

  /** Whether bytes were passed on that no other attempt can continue. */
  get sealed(): boolean {
    return this.#answer.begun && this.#head?.events !== true;
  }

  /** Gets ready for the next attempt. */
  startAttempt(): void {
    this.#cutter = EventCutter.create();
    this.#progress = 0;
    this.#idleBytes = 0;
    if (!this.#answer.begun) this.#head = undefined;
  }

  /** Takes the head of an attempt's answer; returns a failure where another attempt is better than this answer. */
  head(
    status: number,
    head: AnswerHead,
    options: Readonly<{ mayRetry: boolean }>,
  ): AttemptFailure | undefined {
    if (head.notRun || head.misdirected) return refusalOf(status, head);
    const success = status <= MAX_SUCCESS;
    if (success && !head.sealed) {
      return brokenBy("The answer has no digest");
    }
    if (this.#answer.begun) {
      if (success && head.events) return undefined;
      return brokenBy(`The stream can't go on: ${status}`);
    }
    if (status >= MIN_SERVER_ERROR && options.mayRetry) {
      return {
        cause: "upstream_refused",
        verdict: "ran",
        detail: `The upstream failed with ${status}`,
        blamed: false,
      };
    }
    this.#head = head;
    this.#status = status;
    // The head of a stream waits for its first event, so that another attempt may still give its own.
    if (!head.events) this.#answer.begin(status, head);
    return undefined;
  }

  /** Passes bytes on; `full` says that the client is slow, `broken` that the bytes are not what they should be. */
  data(chunk: Buffer, drained: () => void): "ok" | "full" | "broken" {
    if (this.#head?.events !== true) {
      this.#progress += 1;
      return this.#answer.write(chunk, drained) ? "ok" : "full";
    }
    const events = this.#cutter.push(chunk);
    if (events === undefined) return "broken";
    this.#idleBytes += chunk.length;
    let room = true;
    for (const event of events) {
      const order = this.#orderOf(event);
      if (order === "gap") return "broken";
      this.#progress += 1;
      if (order === "known") continue;
      if (event.id !== undefined) this.#idleBytes = 0;
      if (!this.#answer.begun) this.#answer.begin(this.#status, this.#head);
      room = this.#answer.write(event.bytes, drained);
      this.#events += 1;
      if (event.id !== undefined) this.#lastEventId = event.id;
    }
    if (this.#idleBytes > MAX_IDLE_BYTES) return "broken";
    return room ? "ok" : "full";
  }

  /** Ends the answer; returns a failure if the attempt's answer was not whole. */
  end(): AttemptFailure | undefined {
    if (this.#head === undefined) return brokenBy("The answer has no head");
    if (this.#head.events && this.#cutter.pending > 0) {
      return brokenBy("The last event is not whole");
    }
    if (!this.#answer.begun) this.#answer.begin(this.#status, this.#head);
    this.#answer.end();
    return undefined;
  }

  /** Whether an event is the next one, one that the client has, or one after a gap. */
  #orderOf(event: StreamEvent): "next" | "known" | "gap" {
    if (event.id === undefined || this.#lastEventId === undefined) {
      return "next";
    }
    const id = Number(event.id);
    const last = Number(this.#lastEventId);
    if (!Number.isInteger(id) || !Number.isInteger(last)) return "next";
    if (id <= last) return "known";
    return id === last + 1 ? "next" : "gap";
  }
}

function refusalOf(status: number, head: AnswerHead): AttemptFailure {
  return {
    cause: "upstream_refused",
    verdict: "not_run",
    detail: `The upstream has not run it (${status})`,
    blamed: head.misdirected || head.culprit !== undefined,
    retryAfterMs: head.retryAfterMs,
  };
}

function brokenBy(detail: string): AttemptFailure {
  return {
    cause: "answer_broken",
    verdict: "may_have_run",
    detail,
    blamed: true,
  };
}
