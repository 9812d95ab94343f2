import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";

/** One complete event of a stream: its bytes as received, its id, and whether it has data. */
export type StreamEvent = Readonly<
  { bytes: Buffer; id?: string; hasData: boolean }
>;

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Largest event; a stream with a longer one is invalid. */
const MAX_EVENT_BYTES = 1 << 20;
/** A comment, a field that the standard knows, or another field with a value, such as one of the platform. */
const LINE = /^(?::|(?:data|event|id|retry)$|[A-Za-z][A-Za-z0-9-]*:)/;
const KNOWN_LINE = /^(?::|(?:data|event|id|retry)(?::|$))/;
const DATA_LINE = /^data(?::|$)/;

/** Splits a server-sent event stream into complete events, so that a truncated event is never relayed. */
export class EventStreamParser {
  #remainder: Buffer = Buffer.alloc(0);

  static create(): EventStreamParser {
    return new EventStreamParser();
  }

  /** Bytes of the event that is still incomplete. */
  get pendingBytes(): number {
    return this.#remainder.length;
  }

  /** Adds bytes; returns the events that they complete, or why the stream is invalid. */
  push(chunk: Buffer): Result<readonly StreamEvent[], string> {
    const data = this.#remainder.length === 0
      ? chunk
      : Buffer.concat([this.#remainder, chunk]);
    const events: StreamEvent[] = [];
    let from = 0;
    for (let end = endOfEvent(data, from); end > 0;) {
      const event = parseEvent(data.subarray(from, end));
      if (event === undefined) {
        return err("The stream has text that is no event");
      }
      events.push(event);
      from = end;
      end = endOfEvent(data, from);
    }
    this.#remainder = data.subarray(from);
    return this.#remainder.length > MAX_EVENT_BYTES
      ? err(`An event exceeds ${MAX_EVENT_BYTES} bytes`)
      : ok(events);
  }
}

/** Index after the empty line that ends the event at `from`, or 0 if there is none yet. */
function endOfEvent(data: Buffer, from: number): number {
  for (let i = data.indexOf(NEWLINE, from); i >= 0;) {
    let next = i + 1;
    if (data[next] === CARRIAGE_RETURN) next += 1;
    if (data[next] === NEWLINE) return next + 1;
    i = data.indexOf(NEWLINE, i + 1);
  }
  return 0;
}

/** Reads the lines of an event; undefined if they are no event, such as the text of an error. */
function parseEvent(bytes: Buffer): StreamEvent | undefined {
  let id: string | undefined;
  let hasData = false;
  let isEvent = false;
  for (const line of bytes.toString("latin1").split(/\r?\n/)) {
    if (line === "") continue;
    if (!LINE.test(line)) return undefined;
    isEvent ||= KNOWN_LINE.test(line);
    hasData ||= DATA_LINE.test(line);
    // Of several id lines the last one counts, as the standard has it.
    if (line.startsWith("id:")) id = line.slice(3).trim();
  }
  const isEmpty = bytes.toString("latin1").trim() === "";
  return isEvent || isEmpty ? { bytes, id, hasData } : undefined;
}
