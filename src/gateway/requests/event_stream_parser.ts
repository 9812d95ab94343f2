import { Buffer } from "node:buffer";

/** One complete event of a stream: its bytes as received, and its id. */
export type StreamEvent = Readonly<{ bytes: Buffer; id?: string }>;

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Largest event; a stream with a longer one is invalid. */
const MAX_EVENT_BYTES = 1 << 20;

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

  /** Adds bytes; returns the events that they complete, or undefined if an event is too large. */
  push(chunk: Buffer): readonly StreamEvent[] | undefined {
    const data = this.#remainder.length === 0
      ? chunk
      : Buffer.concat([this.#remainder, chunk]);
    const events: StreamEvent[] = [];
    let from = 0;
    for (let end = endOfEvent(data, from); end > 0;) {
      const bytes = data.subarray(from, end);
      events.push({ bytes, id: idOf(bytes) });
      from = end;
      end = endOfEvent(data, from);
    }
    this.#remainder = data.subarray(from);
    return this.#remainder.length > MAX_EVENT_BYTES ? undefined : events;
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

/** The id of an event: that of its last `id` line, as the standard has it. */
function idOf(bytes: Buffer): string | undefined {
  return bytes.toString("latin1").split(/\r?\n/)
    .findLast((line) => line.startsWith("id:"))?.slice(3).trim();
}
