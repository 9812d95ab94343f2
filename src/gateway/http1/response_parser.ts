import { Buffer } from "node:buffer";
import { ByteAccumulator } from "../byte_accumulator.ts";
import { type Framing, responseFraming } from "./framing.ts";
import { isHeaderValue, isToken } from "./header_syntax.ts";

/** Status and headers of a response. */
export type ParsedHead = Readonly<{
  status: number;
  /** Alternating names and values, as they were received. */
  rawHeaders: readonly string[];
}>;

/** What bytes of a connection bring: a head, then a part of the body, then perhaps an error that ends it. */
export type ParsedBytes = Readonly<{
  head?: ParsedHead;
  body?: Buffer;
  error?: string;
}>;

/** The request that a response belongs to, and the most bytes of lines that are not its body. */
export type ParserOptions = Readonly<{ method: string; maxHeadBytes: number }>;

type State =
  | "status"
  | "headers"
  | "length"
  | "chunk_size"
  | "chunk"
  | "chunk_end"
  | "trailer"
  | "close"
  | "complete"
  | "broken";

const LF = 0x0a;
const STATUS_LINE = /^HTTP\/1\.[01] ([0-9]{3})(?: .*)?$/s;
/** A size of more digits would not fit a safe integer. */
const CHUNK_LINE = /^0*([0-9a-fA-F]{1,13})(?:[ \t]*;.*)?$/s;
const MAX_CHUNK_LINE_BYTES = 4_096;
const SWITCHING_PROTOCOLS = 101;
const INFORMATIONAL = 100;
const MIN_FINAL_STATUS = 200;

/**
 * Reads one HTTP/1.1 response of a connection that is used once (RFC 9112). Bytes behind the response are ignored;
 * framing that recipients may read in different ways is an error, as is a line that doesn't end with CR LF.
 */
export class ResponseParser {
  readonly #options: ParserOptions;
  /** The start of a line whose end has not arrived. */
  readonly #line = ByteAccumulator.create();
  #state: State = "status";
  #status = 0;
  #rawHeaders: string[] = [];
  /** Bytes of the lines of heads and trailers so far. */
  #headBytes = 0;
  /** Bytes that are left of the body, or of the current chunk. */
  #leftBytes = 0;
  #head: ParsedHead | undefined;
  #pieces: Buffer[] = [];
  #error: string | undefined;

  private constructor(options: ParserOptions) {
    this.#options = options;
  }

  static create(options: ParserOptions): ResponseParser {
    return new ResponseParser(options);
  }

  /** Whether the response has arrived to its end. */
  get complete(): boolean {
    return this.#state === "complete";
  }

  /** Whether only the end of the connection ends the response. */
  get endsWithConnection(): boolean {
    return this.#state === "close";
  }

  /** Reads the next bytes of the connection. */
  push(bytes: Buffer): ParsedBytes {
    let at = 0;
    while (at < bytes.length) {
      const state = this.#state;
      if (state === "complete" || state === "broken") break;
      if (state === "length" || state === "chunk" || state === "close") {
        at = this.#readBody(bytes, at);
      } else at = this.#readLine(bytes, at);
    }
    const [head, pieces, error] = [this.#head, this.#pieces, this.#error];
    this.#head = undefined;
    this.#pieces = [];
    const body = pieces.length > 1 ? Buffer.concat(pieces) : pieces[0];
    return { head, body, error };
  }

  #readBody(bytes: Buffer, at: number): number {
    if (this.#state === "close") {
      this.#pieces.push(bytes.subarray(at));
      return bytes.length;
    }
    const end = Math.min(bytes.length, at + this.#leftBytes);
    this.#pieces.push(bytes.subarray(at, end));
    this.#leftBytes -= end - at;
    if (this.#leftBytes === 0) {
      this.#state = this.#state === "chunk" ? "chunk_end" : "complete";
    }
    return end;
  }

  #readLine(bytes: Buffer, at: number): number {
    const lineFeed = bytes.indexOf(LF, at);
    const end = lineFeed < 0 ? bytes.length : lineFeed + 1;
    this.#line.append(bytes.subarray(at, end));
    if (this.#isTooLong(end - at)) {
      this.#fail(
        "The response's head, a chunk's size or a trailer is too long",
      );
    } else if (lineFeed >= 0) {
      const line = this.#line.bytes.toString("latin1");
      this.#line.reset();
      const content = line.slice(0, -2);
      if (line.endsWith("\r\n") && !content.includes("\r")) {
        this.#handleLine(content);
      } else this.#fail("A line doesn't end with CR LF");
    }
    return end;
  }

  #isTooLong(added: number): boolean {
    if (this.#state === "chunk_size" || this.#state === "chunk_end") {
      return this.#line.length > MAX_CHUNK_LINE_BYTES;
    }
    this.#headBytes += added;
    return this.#headBytes > this.#options.maxHeadBytes;
  }

  #handleLine(line: string): void {
    switch (this.#state) {
      case "status":
        return this.#handleStatus(line);
      case "headers":
        if (line === "") return this.#handleHead();
        return this.#handleHeader(line, this.#rawHeaders);
      case "trailer":
        if (line === "") this.#state = "complete";
        else this.#handleHeader(line, []);
        return;
      case "chunk_size":
        return this.#handleChunkSize(line);
      default:
        if (line === "") this.#state = "chunk_size";
        else this.#fail("A chunk is longer than its size");
    }
  }

  #handleStatus(line: string): void {
    // Servers may send an empty line behind an earlier message.
    if (line === "") return;
    const [, status] = STATUS_LINE.exec(line) ?? [];
    if (status === undefined) return this.#fail("The status line is invalid");
    this.#status = Number(status);
    this.#state = "headers";
  }

  #handleHeader(line: string, into: string[]): void {
    const colon = line.indexOf(":");
    const name = line.slice(0, Math.max(0, colon));
    const value = withoutOuterSpace(line.slice(colon + 1));
    if (!isToken(name) || !isHeaderValue(value)) {
      return this.#fail("A header is invalid");
    }
    into.push(name, value);
  }

  #handleHead(): void {
    const [status, rawHeaders] = [this.#status, this.#rawHeaders];
    this.#rawHeaders = [];
    if (status === SWITCHING_PROTOCOLS) {
      return this.#fail("The response switches protocols");
    }
    if (status >= INFORMATIONAL && status < MIN_FINAL_STATUS) {
      this.#state = "status";
      return;
    }
    const { method } = this.#options;
    responseFraming(method, status, rawHeaders).match(
      (framing) => {
        this.#head = { status, rawHeaders };
        this.#startBody(framing);
      },
      (error) => this.#fail(`The framing is ambiguous: ${error}`),
    );
  }

  #startBody(framing: Framing): void {
    if (framing.kind === "chunked") this.#state = "chunk_size";
    else if (framing.kind === "close") this.#state = "close";
    else {
      this.#leftBytes = framing.kind === "length" ? framing.bytes : 0;
      this.#state = this.#leftBytes > 0 ? "length" : "complete";
    }
  }

  #handleChunkSize(line: string): void {
    const [, digits] = CHUNK_LINE.exec(line) ?? [];
    if (digits === undefined) return this.#fail("A chunk's size is invalid");
    this.#leftBytes = parseInt(digits, 16);
    this.#state = this.#leftBytes > 0 ? "chunk" : "trailer";
  }

  #fail(error: string): void {
    this.#state = "broken";
    this.#error = error;
    this.#line.reset();
  }
}

/** The text without spaces and tabs around it. */
function withoutOuterSpace(text: string): string {
  const isSpace = (at: number) => text[at] === " " || text[at] === "\t";
  let start = 0;
  let end = text.length;
  while (start < end && isSpace(start)) start += 1;
  while (end > start && isSpace(end - 1)) end -= 1;
  return text.slice(start, end);
}
