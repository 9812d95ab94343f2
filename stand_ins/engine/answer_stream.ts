import type { ServerResponse } from "node:http";
import type { EngineEvent, GenerateHead } from "../../src/wire/engine.ts";
import { type AnswerKey, answerToken } from "./answer.ts";
import type { AnswerFault } from "./faults.ts";

type DoneEvent = Extract<EngineEvent, { type: "done" }>;
type FinalEvent = Extract<EngineEvent, { type: "done" | "error" }>;

const HUGE_CHARS = 200_000;

/** One reader of an answer. */
type Reader = {
  readonly res: ServerResponse;
  readonly fault: AnswerFault | undefined;
  /** Index of the next token to send. */
  next: number;
  sent: number;
  broken: boolean;
};

/** One answer at the engine; any number of connections read it, and its text follows from its key. */
export class AnswerStream {
  readonly head: GenerateHead;
  readonly #key: AnswerKey;
  readonly #first: number;
  readonly #readers = new Set<Reader>();
  #produced: number;
  #final: FinalEvent | undefined;

  private constructor(head: GenerateHead, key: AnswerKey) {
    this.head = head;
    this.#key = key;
    this.#first = head.answered?.count ?? 0;
    this.#produced = this.#first;
  }

  static create(head: GenerateHead, key: AnswerKey): AnswerStream {
    return new AnswerStream(head, key);
  }

  get ended(): boolean {
    return this.#final !== undefined;
  }

  get readers(): number {
    return this.#readers.size;
  }

  /** Sends what is there from token `after` on, then what comes; `onGone` is called when the reader has gone. */
  attach(
    res: ServerResponse,
    options: {
      after: number;
      fault: AnswerFault | undefined;
      onGone: () => void;
    },
  ): void {
    const { after, fault, onGone } = options;
    res.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
    });
    res.flushHeaders();
    const next = Math.max(after, this.#first);
    const reader: Reader = { res, fault, next, sent: 0, broken: false };
    this.#readers.add(reader);
    res.on("close", () => {
      this.#readers.delete(reader);
      onGone();
    });
    this.#catchUp(reader);
  }

  /** Notes that the engine has produced one more token. */
  token(index: number): void {
    this.#produced = index + 1;
    for (const reader of this.#readers) this.#catchUp(reader);
  }

  /** Ends the answer. */
  end(final: FinalEvent): void {
    this.#final ??= final;
    for (const reader of this.#readers) this.#catchUp(reader);
  }

  /** Shows readers that the engine is alive. */
  ping(): void {
    for (const { res, broken } of this.#readers) {
      if (!broken) res.write(": ping\n\n");
    }
  }

  #catchUp(reader: Reader): void {
    let text = "";
    while (reader.next < this.#produced && !reader.broken) {
      text += this.#tokenText(reader);
      reader.next += 1;
      reader.sent += 1;
    }
    if (this.#final && !reader.broken) text += finalText(this.#final, reader);
    if (text !== "") reader.res.write(text);
    if (this.#final && !reader.broken) reader.res.end();
  }

  #tokenText(reader: Reader): string {
    const { fault, next } = reader;
    const event = this.#tokenEvent(next);
    if (!fault || reader.sent < fault.after) return frame(event, next + 1);
    const crossed = {
      ...event,
      request: "request-of-another",
      attempt: "attempt-of-another",
    };
    switch (fault.type) {
      case "doubled":
        return frame(event, next + 1) + frame(event, next + 1);
      case "crossed":
        return frame(crossed, next + 1) + frame(event, next + 1);
      case "gap":
        return reader.sent === fault.after ? "" : frame(event, next + 1);
      case "garbage":
        return 'data: {"type":"tok\n\n';
      case "huge":
        return frame({ ...event, text: "x".repeat(HUGE_CHARS) }, next + 1);
      case "truncated":
      case "reset":
      case "silent":
        breakOff(reader, fault.type);
        return "";
      default:
        return frame(event, next + 1);
    }
  }

  #tokenEvent(index: number) {
    const { request, attempt } = this.head;
    const text = answerToken(this.#key, index);
    return { type: "token", request, attempt, index, text };
  }
}

function breakOff(
  reader: Reader,
  type: "truncated" | "reset" | "silent",
): void {
  reader.broken = true;
  // What was written before has to leave first.
  if (type === "truncated") setImmediate(() => reader.res.end());
  if (type === "reset") {
    reader.res.write("", () => reader.res.socket?.resetAndDestroy());
  }
}

function finalText(final: FinalEvent, reader: Reader): string {
  const { type } = reader.fault ?? {};
  if (final.type === "error") return frame(final, reader.next);
  if (type === "truncated" || type === "reset" || type === "silent") {
    breakOff(reader, type);
    return "";
  }
  if (type === "wrong_weights") {
    return frame({ ...final, version: "another-version" }, reader.next);
  }
  if (type === "late") return frame(staleToken(final), 1) + frame(final, 1);
  const text = frame(final, reader.next);
  return type === "doubled" ? text + text : text;
}

function staleToken(final: DoneEvent) {
  const { request, attempt } = final;
  return { type: "token", request, attempt, index: 0, text: " late" };
}

function frame(event: object, id: number): string {
  return `id: ${id}\ndata: ${JSON.stringify(event)}\n\n`;
}
