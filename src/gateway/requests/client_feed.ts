import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import type { Millis } from "../../core/time.ts";
import {
  adaptSliceBytes,
  FIRST_SLICE_BYTES,
  isCostly,
  nextSliceBytes,
} from "./feed_slice.ts";

/** Requests on a connection without a complete response, beyond which nothing more is read. */
const MAX_OPEN = 4;
/** Bytes behind the last request, and of a refused one beyond its body's limit, that are read and discarded. */
const DISCARDED_BYTES = 256 << 10;
const DISCARDED_BODY_BYTES = 16 << 20;
/** A reading of so few bytes that begins with a head goes to the parser at once; few requests fit into it. */
const SMALL_BYTES = 2 << 10;
const NO_BYTES: Buffer = Buffer.alloc(0);
/** Time that a connection gets at once for what it has received, and all that wait for their turn together. */
const DIRECT_MS: Millis = 2;
const TURN_MS: Millis = 8;

/** The requests on a connection, as its feed sees them. */
export type FeedState = Readonly<{
  /** Requests whose head was read. */
  requests: number;
  /** Requests without a complete response. */
  open: number;
  /** The last request without a complete response. */
  newest: IncomingMessage | undefined;
  /** Whether no further request on the connection is answered. */
  lastStarted: boolean;
}>;

/** The connections that wait for the parser; each turn of the event loop has a limited time for all of them. */
export class FeedQueue {
  readonly #waiting = new Set<ClientFeed>();
  #immediate: NodeJS.Immediate | undefined;

  static create(): FeedQueue {
    return new FeedQueue();
  }

  add(feed: ClientFeed): void {
    this.#waiting.add(feed);
    this.#immediate ??= setImmediate(() => this.#run());
  }

  delete(feed: ClientFeed): void {
    this.#waiting.delete(feed);
  }

  #run(): void {
    const until = performance.now() + TURN_MS;
    for (const feed of this.#waiting) {
      this.#waiting.delete(feed);
      feed.step();
      if (performance.now() >= until) break;
    }
    this.#immediate = this.#waiting.size === 0
      ? undefined
      : setImmediate(() => this.#run());
  }
}

type ClientFeedOptions = Readonly<{
  queue: FeedQueue;
  /** Largest body of a request by the configuration in force. */
  maxBodyBytes: () => number;
  /** Called when what the feed holds has changed. */
  onChange?: () => void;
  /** Called once if something comes behind the last request that is answered. */
  onBehindLast?: () => void;
}>;

/**
 * Hands what a client sends to the parser of its connection, in slices. Nothing more is read while as many requests are
 * open as one connection may have, and a body in very small pieces waits for its turn behind others.
 */
export class ClientFeed {
  readonly #socket: Socket;
  readonly #state: FeedState;
  readonly #queue: FeedQueue;
  readonly #maxBodyBytes: () => number;
  readonly #onChange: () => void;
  #onBehindLast: () => void;
  readonly #parse: (bytes: Buffer) => void;
  #received = NO_BYTES;
  #sliceBytes = FIRST_SLICE_BYTES;
  #bodyLeft = 0;
  /** Bytes since the last head, or the last part of a body. */
  #unparsedBytes = 0;
  /** Bytes of the newest request behind its head. */
  #bodyBytes = 0;
  #discardedBytes = 0;
  #costly = false;
  #discards = false;
  #stopped = false;

  private constructor(
    socket: Socket,
    state: FeedState,
    options: ClientFeedOptions,
  ) {
    this.#socket = socket;
    this.#state = state;
    this.#queue = options.queue;
    this.#maxBodyBytes = options.maxBodyBytes;
    this.#onChange = options.onChange ?? (() => {});
    this.#onBehindLast = options.onBehindLast ?? (() => {});
    const [parse] = socket.listeners("data");
    this.#parse = parse as (bytes: Buffer) => void;
    // Without it, Node.js reads the connection by itself.
    if (parse === undefined) return;
    socket.removeListener("data", this.#parse);
    socket.on("data", (bytes) => this.#receive(bytes));
    socket.on("resume", () => this.#settle());
    socket.once("close", () => this.#queue.delete(this));
  }

  /** Takes over the input of a connection that an HTTP server has just accepted. */
  static attach(
    socket: Socket,
    state: FeedState,
    options: ClientFeedOptions,
  ): ClientFeed {
    return new ClientFeed(socket, state, options);
  }

  /** Bytes that were received, and are no body that was read. */
  get heldBytes(): number {
    return this.#received.length + this.#socket.readableLength +
      this.#unparsedBytes;
  }

  /** Whether bytes wait behind requests that are open. */
  get waits(): boolean {
    return this.#received.length > 0;
  }

  /** Records that a part of a body was read. */
  bodyRead(): void {
    this.#unparsedBytes = 0;
  }

  /** Reads on, as a request on the connection has its complete response. */
  continue(): void {
    if (this.#received.length > 0) this.#enqueue();
  }

  /** Discards what was received, and some of what comes. */
  discard(): void {
    this.#discards = true;
    this.#received = NO_BYTES;
    this.#unparsedBytes = 0;
    if (!this.#stopped) this.#socket.resume();
  }

  /** Hands the next slice to the parser, in this connection's turn. */
  step(): void {
    if (this.#socket.destroyed) return;
    if (this.#mayFeed()) this.#feedSlice();
    this.#settle();
  }

  #receive(bytes: Buffer): void {
    const { length } = this.#received;
    this.#received = length === 0
      ? bytes
      : Buffer.concat([this.#received, bytes]);
    if (length === 0 && bytes.length <= SMALL_BYTES && this.#tryFeedAll()) {
      return this.#settle();
    }
    if (!this.#costly) {
      const until = performance.now() + DIRECT_MS;
      while (this.#mayFeed()) {
        this.#feedSlice();
        if (performance.now() >= until) break;
      }
    }
    this.#settle();
  }

  /** Hands a reading that begins with a head to the parser as a whole; false if it begins within a body, or has to wait. */
  #tryFeedAll(): boolean {
    if (this.#state.newest?.complete === false || !this.#mayFeed()) {
      return false;
    }
    const { requests } = this.#state;
    const bytes = this.#received;
    this.#received = NO_BYTES;
    this.#unparsedBytes += bytes.length;
    this.#parse.call(this.#socket, bytes);
    if (this.#state.requests === requests) return true;
    this.#onHead();
    // A part of the body may have been among them.
    this.#bodyLeft = 0;
    return true;
  }

  #mayFeed(): boolean {
    const { open, newest, lastStarted } = this.#state;
    if (this.#received.length === 0 || this.#socket.destroyed) return false;
    const isWhole = newest?.complete !== false;
    if (this.#discards) return this.#discardReceived();
    if (lastStarted && isWhole) {
      this.#onBehindLast();
      this.#onBehindLast = () => {};
      return this.#discardReceived();
    }
    const most = this.#maxBodyBytes() + DISCARDED_BODY_BYTES;
    if (lastStarted && this.#bodyBytes > most) {
      this.#stopped = true;
      this.#received = NO_BYTES;
      return false;
    }
    if (isPausedByServer(this.#socket)) return false;
    return !isWhole || open < MAX_OPEN;
  }

  #discardReceived(): false {
    this.#discardedBytes += this.#received.length;
    this.#received = NO_BYTES;
    this.#stopped ||= this.#discardedBytes > DISCARDED_BYTES;
    return false;
  }

  #feedSlice(): void {
    const { requests, newest } = this.#state;
    const isBody = newest?.complete === false;
    const bytes = nextSliceBytes(this.#received, {
      sliceBytes: this.#sliceBytes,
      bodyLeft: this.#bodyLeft,
    });
    const slice = this.#received.subarray(0, bytes);
    this.#received = this.#received.subarray(bytes);
    this.#bodyLeft = Math.max(0, this.#bodyLeft - bytes);
    this.#unparsedBytes += bytes;
    this.#bodyBytes += bytes;
    const from = performance.now();
    this.#parse.call(this.#socket, slice);
    const ms = performance.now() - from;
    if (this.#state.requests !== requests) return this.#onHead();
    if (!isBody) return;
    this.#sliceBytes = adaptSliceBytes(this.#sliceBytes, ms);
    this.#costly = isCostly(bytes, ms);
  }

  /** The slice has ended with a head. */
  #onHead(): void {
    const { newest } = this.#state;
    this.#unparsedBytes = 0;
    this.#bodyBytes = 0;
    this.#sliceBytes = FIRST_SLICE_BYTES;
    this.#bodyLeft = newest?.complete === false
      ? Number(newest.headers["content-length"] ?? 0)
      : 0;
  }

  /** Pauses the socket while bytes wait for the parser, and reads on otherwise. */
  #settle(): void {
    if (this.#socket.destroyed) return;
    if (this.#mayFeed()) this.#enqueue();
    const waits = this.#received.length > 0 || this.#stopped;
    if (waits) this.#socket.pause();
    else if (this.#socket.isPaused() && !isPausedByServer(this.#socket)) {
      this.#socket.resume();
    }
    this.#onChange();
  }

  #enqueue(): void {
    this.#queue.add(this);
  }
}

/** Whether the HTTP server reads no more requests from a connection, as its responses are not read. */
function isPausedByServer(socket: Socket & { _paused?: boolean }): boolean {
  return socket._paused === true;
}
