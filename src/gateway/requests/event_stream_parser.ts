import { Buffer } from "node:buffer";
import { ByteAccumulator } from "../byte_accumulator.ts";

/** One complete event of a stream: its bytes as received, its id, and whether it has data. */
export type StreamEvent = Readonly<
  { bytes: Buffer; id?: string; hasData: boolean }
>;

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Largest event; a stream with a longer one is invalid. */
const MAX_EVENT_BYTES = 1 << 20;
/** Bytes of an event's end that may precede the piece that completes it: a newline and a carriage return. */
const MAX_SPLIT_END_BYTES = 2;
/** A comment, a field that the standard knows, or another field with a value, such as one of the platform. */
const LINE = /^(?::|(?:data|event|id|retry)$|[A-Za-z][A-Za-z0-9-]*:)/;
const KNOWN_LINE = /^(?::|(?:data|event|id|retry)(?::|$))/;
const DATA_LINE = /^data(?::|$)/;

/** Complete events of a stream, in order, and why what follows them is invalid, if it is. */
export type ParsedEvents = Readonly<
  { events: readonly StreamEvent[]; invalid?: string }
>;

/**
 * Splits a server-sent event stream into complete events, so that a truncated event is never relayed. The work for a
 * byte is bounded, in however small pieces an event arrives.
 */
export class EventStreamParser {
  /** The event that is still incomplete. */
  readonly #pending = ByteAccumulator.create();
  #searchedBytes = 0;

  static create(): EventStreamParser {
    return new EventStreamParser();
  }

  /** Bytes of the event that is still incomplete. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** Memory that is kept for the event that is still incomplete, in bytes. */
  get heldBytes(): number {
    return this.#pending.heldBytes;
  }

  /** Bytes that were copied, searched or parsed so far. */
  get workBytes(): number {
    return this.#pending.copiedBytes + this.#searchedBytes;
  }

  /** Adds bytes; returns the events that they complete. */
  push(chunk: Buffer): ParsedEvents {
    // An end of an event that was not found yet has its last byte in the chunk.
    let searchFrom = Math.max(0, this.#pending.length - MAX_SPLIT_END_BYTES);
    this.#pending.append(chunk);
    const data = this.#pending.bytes;
    const events: StreamEvent[] = [];
    let from = 0;
    for (;;) {
      const end = endOfEvent(data, searchFrom);
      this.#searchedBytes += (end ?? data.length) - searchFrom;
      if (end === undefined) break;
      const event = parseEvent(data.subarray(from, end));
      this.#searchedBytes += end - from;
      if (event === undefined) {
        return { events, invalid: "The stream has text that is no event" };
      }
      events.push(event);
      from = end;
      searchFrom = end;
    }
    if (from > 0) this.#pending.reset(detached(data.subarray(from)));
    return this.#pending.length > MAX_EVENT_BYTES
      ? { events, invalid: `An event exceeds ${MAX_EVENT_BYTES} bytes` }
      : { events };
  }
}

/** A copy of a slice that is less than half of its buffer, which would be kept as long as the slice. */
function detached(slice: Buffer): Buffer {
  return slice.length < slice.buffer.byteLength / 2
    ? Buffer.from(slice)
    : slice;
}

/** Index after the first empty line that ends an event at or after `from`; undefined if there is none yet. */
function endOfEvent(data: Buffer, from: number): number | undefined {
  for (let i = data.indexOf(NEWLINE, from); i >= 0;) {
    let next = i + 1;
    if (data[next] === CARRIAGE_RETURN) next += 1;
    if (data[next] === NEWLINE) return next + 1;
    i = data.indexOf(NEWLINE, i + 1);
  }
  return undefined;
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
