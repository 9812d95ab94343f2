import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import { hasInvalidHeader, isToken } from "./header_syntax.ts";
import { type ParsedHead, ResponseParser } from "./response_parser.ts";

const TARGET = /^[\x21-\x7e]+$/;

/** A request that is sent as it stands: its headers must frame its body. */
export type OutgoingMessage = Readonly<{
  method: string;
  path: string;
  /** Alternating names and values. */
  headers: readonly string[];
  body: Buffer | undefined;
  /** Largest head of its response. */
  maxHeadBytes: number;
}>;

/** Callbacks of a request; none is called after `onEnd` or `onFailure`, or after it was destroyed. */
export type OutgoingListener = Readonly<{
  /** The connection is open, and the request's bytes are handed to it. */
  onSent: () => void;
  onHead: (head: ParsedHead) => void;
  /** Called once for each reading of the socket that brings a part of the body. */
  onData: (bytes: Buffer) => void;
  /** The response is complete. */
  onEnd: () => void;
  onFailure: (cause: Error) => void;
}>;

/** One request and its response, on a connection of their own that allows half-open use; it is closed after them. */
export class OutgoingRequest {
  readonly #message: OutgoingMessage;
  readonly #listener: OutgoingListener;
  readonly #parser: ResponseParser;
  #socket: Socket | undefined;
  #paused = false;
  /** Whether the response is complete, but the request is paused. */
  #endIsDue = false;
  #settled = false;

  private constructor(message: OutgoingMessage, listener: OutgoingListener) {
    this.#message = message;
    this.#listener = listener;
    this.#parser = ResponseParser.create(message);
  }

  /** Creates a request; fails if its head may not be sent. */
  static create(
    message: OutgoingMessage,
    listener: OutgoingListener,
  ): Result<OutgoingRequest, string> {
    if (!isToken(message.method)) return err("The method is invalid");
    if (!TARGET.test(message.path)) return err("The path is invalid");
    if (hasInvalidHeader(message.headers)) return err("A header is invalid");
    return ok(new OutgoingRequest(message, listener));
  }

  /** Sends the request on a connection that is open or is being opened. */
  send(socket: Socket): void {
    this.#socket = socket;
    socket.setNoDelay(true);
    socket.on("data", (bytes: Buffer) => this.#read(bytes));
    socket.on("end", () => this.#handleEndOfStream(socket));
    socket.on("error", (cause) => this.#fail(cause));
    socket.on("close", () => this.#fail(closedEarly()));
    if (socket.connecting) socket.once("connect", () => this.#write(socket));
    else this.#write(socket);
  }

  /** Reads no further until `resume`. */
  pause(): void {
    this.#paused = true;
    this.#socket?.pause();
  }

  resume(): void {
    this.#paused = false;
    if (this.#endIsDue) this.#end();
    else this.#socket?.resume();
  }

  /** Closes the connection. */
  destroy(): void {
    this.#settled = true;
    this.#socket?.destroy();
  }

  #write(socket: Socket): void {
    if (this.#settled) return;
    if (socket.destroyed) return this.#fail(closedEarly());
    const { method, path, headers, body } = this.#message;
    let head = `${method} ${path} HTTP/1.1\r\n`;
    for (let i = 0; i + 1 < headers.length; i += 2) {
      head += `${headers[i]}: ${headers[i + 1]}\r\n`;
    }
    socket.cork();
    socket.write(`${head}\r\n`, "latin1");
    if (body !== undefined && body.length > 0) socket.write(body);
    socket.uncork();
    this.#listener.onSent();
  }

  #read(bytes: Buffer): void {
    if (this.#settled) return;
    const { head, body, error } = this.#parser.push(bytes);
    if (head !== undefined) this.#listener.onHead(head);
    if (body !== undefined && !this.#settled) this.#listener.onData(body);
    if (error !== undefined) this.#fail(new Error(error));
    else if (this.#parser.complete) this.#end();
  }

  /**
   * The server sends no more. When data and a reset arrive together, libuv reports the end of the stream and not the
   * error; a write then reveals it, which matters if nothing but the end shows that a response is complete.
   */
  #handleEndOfStream(socket: Socket): void {
    if (this.#settled || this.#endIsDue) return;
    if (!this.#parser.endsWithConnection) return this.#fail(closedEarly());
    // HTTP servers ignore an empty line before a request.
    socket.write("\r\n", (cause) => {
      if (cause === null || cause === undefined) this.#end();
      else this.#fail(cause);
    });
  }

  #end(): void {
    if (this.#settled) return;
    this.#endIsDue = this.#paused;
    if (this.#paused) return;
    this.destroy();
    this.#listener.onEnd();
  }

  #fail(cause: Error): void {
    if (this.#settled || this.#endIsDue) return;
    this.destroy();
    this.#listener.onFailure(cause);
  }
}

function closedEarly(): Error {
  return new Error("The connection closed early");
}
