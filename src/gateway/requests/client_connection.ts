import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Problem } from "../../core/problem.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import { breakOff } from "../http1/break_off.ts";

/** Answers a request whose body can't be read to its end. */
export type FailBody = (err: Problem) => void;

/** A client's connection: the requests on it that have no complete response, and since when it has had none. */
export class ClientConnection {
  readonly socket: Socket;
  readonly #now: () => Timestamp;
  /** Requests without a complete response, in order, and what answers those that were admitted. */
  readonly #open = new Map<IncomingMessage, FailBody | undefined>();
  /** Their responses. */
  readonly #responses = new Set<ServerResponse>();
  #requests = 0;
  #idleSince: Timestamp;
  /** Bytes that had been read when the connection became idle. */
  #readBefore = 0;
  #closing = false;
  #lastStarted = false;
  #excused = false;
  #toldIdleMs: Millis = 0;

  private constructor(socket: Socket, now: () => Timestamp) {
    this.socket = socket;
    this.#now = now;
    this.#idleSince = now();
    socket.once("close", () => this.#closeQueued());
  }

  static create(socket: Socket, now: () => Timestamp): ClientConnection {
    return new ClientConnection(socket, now);
  }

  /** Number of requests whose head was read. */
  get requests(): number {
    return this.#requests;
  }

  /** Number of requests without a complete response. */
  get open(): number {
    return this.#open.size;
  }

  /** The last request without a complete response. */
  get newest(): IncomingMessage | undefined {
    let newest: IncomingMessage | undefined;
    for (const req of this.#open.keys()) newest = req;
    return newest;
  }

  /** Bytes of responses that the client has not read. */
  get unreadBytes(): number {
    let bytes = 0;
    for (const res of this.#responses) bytes += res.writableLength;
    return bytes;
  }

  /** How long the client may reuse the connection, by the last response. */
  get toldIdleMs(): Millis {
    return this.#toldIdleMs;
  }

  /** Whether the connection closes after the responses to its open requests. */
  get closing(): boolean {
    return this.#closing;
  }

  /** Whether a response has started after which the connection closes, so that no further request can be answered. */
  get lastStarted(): boolean {
    return this.#lastStarted;
  }

  /** Time since the connection opened or its last response was complete. */
  get idleMs(): Millis {
    return this.#now() - this.#idleSince;
  }

  /** Bytes that were read since the connection became idle. */
  get receivedBytes(): number {
    return this.socket.bytesRead - this.#readBefore;
  }

  /** Records a request whose head was read, and the idle time that its response will name. */
  opened(
    req: IncomingMessage,
    res: ServerResponse,
    options: Readonly<{ toldIdleMs: Millis }>,
  ): void {
    this.#requests += 1;
    this.#toldIdleMs = options.toldIdleMs;
    this.#open.set(req, undefined);
    this.#responses.add(res);
    res.once("close", () => this.#closed(req, res));
  }

  /** Records that a request was admitted; `failBody` answers it if its body can't be read to its end. */
  admitted(req: IncomingMessage, failBody: FailBody): void {
    this.#open.set(req, failBody);
  }

  /**
   * Returns whether the response that starts now is the last on the connection: it must be if the rest of its request is
   * `unread`, and is if the connection `closes` and no other request was read after this one.
   */
  startResponse(
    req: IncomingMessage,
    options: Readonly<{ unread: boolean; closes: boolean }>,
  ): boolean {
    const closes = options.closes || this.#closing;
    const isNewest = this.newest === req;
    const isLast = options.unread || (closes && isNewest);
    this.#lastStarted ||= isLast;
    return isLast;
  }

  /** Whether its idle time may be exceeded once, as the daemon stood still; until it is idle anew. */
  tryExcuse(): boolean {
    if (this.#excused) return false;
    this.#excused = true;
    return true;
  }

  /** Ends the reading of requests: answers one whose body is incomplete, and closes after the responses to the others. */
  closeAfterOpen(err: Problem): void {
    this.#closing = true;
    const [req, failBody] = [...this.#open].at(-1) ?? [];
    if (req?.complete === false) failBody?.(err);
  }

  /** Ends the connection at once, with the response that its client is reading. */
  destroy(): void {
    const started = [...this.#responses].find(({ socket }) => socket !== null);
    if (started === undefined) this.socket.destroy();
    else breakOff(started);
  }

  /** Closes the responses that wait behind another one, as the server closes only the one that holds the socket. */
  #closeQueued(): void {
    for (const res of [...this.#responses]) {
      if (res.socket !== null) continue;
      res.destroy();
      res.emit("close");
    }
  }

  #closed(req: IncomingMessage, res: ServerResponse): void {
    this.#responses.delete(res);
    this.#open.delete(req);
    if (this.#open.size > 0) return;
    this.#excused = false;
    this.#idleSince = this.#now();
    this.#readBefore = this.socket.bytesRead;
    if (this.#closing) this.socket.destroySoon();
  }
}
