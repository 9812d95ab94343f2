import { Buffer } from "node:buffer";
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import process from "node:process";
import type { Retry } from "../../core/reason.ts";
import { unexpectedFields } from "../../core/unexpected_error.ts";
import type { Verdict } from "../../core/verdict.ts";
import type { Dialect, RequestHead, ResponseHead } from "./dialect.ts";
import { hasInvalidHeader } from "./header_syntax.ts";
import { closedCleanly, isCloseDelimited } from "./close_delimited.ts";
import { ReadFirstTimer } from "../read_first_timer.ts";
import type { AttemptFailure } from "./retry_policy.ts";
import {
  CONNECT_TIMEOUT_MS,
  connectTo,
  isRefusal,
} from "./upstream_connection.ts";

/** Largest head of a response. */
const MAX_HEAD_BYTES = 32 * 1024;
/** Lower statuses are informational, or none, and can't be passed on. */
const MIN_FINAL_STATUS = 200;

/** Callbacks of one attempt; none is called after `onEnd` or `onFailure`. */
export type AttemptListener = Readonly<{
  onHead: (status: number, responseHead: ResponseHead) => void;
  onData: (chunk: Buffer) => void;
  onEnd: () => void;
  onFailure: (failure: AttemptFailure) => void;
}>;

/** Upstream address and request of an attempt. */
export type AttemptTarget = Readonly<{
  address: string;
  /** Open connection to the address; by default the attempt opens one. */
  connection?: Socket;
  head: RequestHead;
  headers: string[];
  body: Buffer;
}>;

/** One attempt at one upstream, on its own connection, so that responses of different requests can't be confused. */
export class Attempt {
  readonly #dialect: Dialect;
  readonly #target: AttemptTarget;
  readonly #listener: AttemptListener;
  #req: ClientRequest | undefined;
  #res: IncomingMessage | undefined;
  #connectTimer: ReadFirstTimer | undefined;
  /** Pieces of the body that the current reading of the socket has brought. */
  #pieces: Buffer[] = [];
  #sent = false;
  #settled = false;

  private constructor(
    dialect: Dialect,
    target: AttemptTarget,
    listener: AttemptListener,
  ) {
    this.#dialect = dialect;
    this.#target = target;
    this.#listener = listener;
  }

  static create(
    dialect: Dialect,
    target: AttemptTarget,
    listener: AttemptListener,
  ): Attempt {
    return new Attempt(dialect, target, listener);
  }

  /** Whether a byte may have reached the upstream. */
  get verdict(): Verdict {
    return this.#sent ? "may_have_run" : "not_run";
  }

  start(): void {
    const { body } = this.#target;
    const req = this.#openRequest();
    if (req === undefined) return;
    this.#req = req;
    this.#connectTimer = ReadFirstTimer.start(
      () => this.#failConnection("Connection timed out"),
      CONNECT_TIMEOUT_MS,
    );
    req.on("socket", (socket) => {
      socket.setNoDelay(true);
      if (socket.connecting) socket.once("connect", () => this.#onConnect());
      else this.#onConnect();
    });
    req.on("response", (res) => this.#handleResponse(res));
    req.on(
      "error",
      (err) => this.#failConnection(err.message, isRefusal(err)),
    );
    req.end(body);
  }

  #onConnect(): void {
    this.#sent = true;
    this.#connectTimer?.stop();
  }

  /** Creates the request; an invalid head fails the attempt before a byte is sent. */
  #openRequest(): ClientRequest | undefined {
    const { address, connection, head, headers } = this.#target;
    try {
      return request({
        createConnection: () => connection ?? connectTo(address),
        method: head.method,
        path: head.path,
        headers,
        maxHeaderSize: MAX_HEAD_BYTES,
        setHost: false,
      });
    } catch (cause) {
      this.#fail("connect_failed", unexpectedFields(cause).cause);
      return undefined;
    }
  }

  /** Cancels the attempt and closes its connection. */
  abort(): void {
    this.#settled = true;
    this.#connectTimer?.stop();
    this.#req?.destroy();
  }

  pause(): void {
    this.#res?.pause();
  }

  resume(): void {
    this.#res?.resume();
  }

  #handleResponse(res: IncomingMessage): void {
    if (this.#settled) return;
    this.#res = res;
    const status = res.statusCode ?? 0;
    if (status < MIN_FINAL_STATUS) {
      this.#fail("answer_broken", `The response has the status ${status}`);
      return;
    }
    if (hasInvalidHeader(res.rawHeaders)) {
      this.#fail("answer_broken", "The response has an invalid header");
      return;
    }
    const head = this.#dialect.decodeResponse(status, res.rawHeaders);
    if (
      head.requestId !== undefined && head.requestId !== this.#target.head.id
    ) {
      this.#fail("answer_broken", "The response belongs to another request");
      return;
    }
    if (head.requestId === undefined && (head.notRun || head.misdirected)) {
      // It may be an earlier refusal that was written once more.
      this.#fail("answer_broken", "The refusal names no request");
      return;
    }
    if (head.requestId === undefined && !head.hasDigest) {
      // Whoever answers at this address is not the upstream.
      this.#fail("answer_broken", "The response bears no mark of an upstream");
      return;
    }
    let ended = false;
    res.on("data", (piece: Buffer) => {
      // All pieces of one reading arrive in one turn: they are handled together, as the upstream chooses their size.
      if (this.#pieces.push(piece) === 1) {
        process.nextTick(() => this.#deliver());
      }
    });
    const closed = isCloseDelimited(res, this.#target.head.method)
      ? closedCleanly(res)
      : undefined;
    res.on("end", () => {
      ended = true;
      void this.#handleEnd(res, closed);
    });
    res.on("error", (err) => this.#failConnection(err.message));
    res.on("close", () => {
      if (!ended) this.#failConnection("The connection closed early");
    });
    this.#listener.onHead(status, head);
  }

  /** Hands the pieces on as one. */
  #deliver(): void {
    const pieces = this.#pieces;
    if (pieces.length === 0) return;
    this.#pieces = [];
    if (this.#settled) return;
    const [first] = pieces;
    this.#listener.onData(pieces.length === 1 ? first! : Buffer.concat(pieces));
  }

  async #handleEnd(
    res: IncomingMessage,
    closed?: Promise<boolean>,
  ): Promise<void> {
    this.#deliver();
    const complete = closed === undefined ? res.complete : await closed;
    if (this.#settled) return;
    if (!complete) return this.#failConnection("The response is truncated");
    this.#settled = true;
    this.#listener.onEnd();
  }

  #failConnection(detail: string, unreachable = false): void {
    this.#deliver();
    const disconnected = this.#sent;
    if (this.#res !== undefined) {
      this.#fail("answer_broken", detail, { disconnected });
    } else if (this.#sent) {
      this.#fail("upstream_crashed", detail, { disconnected });
    } else this.#fail("connect_failed", detail, { unreachable });
  }

  #fail(
    cause: Retry,
    detail: string,
    options: Readonly<{ disconnected?: boolean; unreachable?: boolean }> = {},
  ): void {
    if (this.#settled) return;
    const verdict = this.verdict;
    this.abort();
    this.#listener.onFailure({
      cause,
      verdict,
      detail,
      upstreamAtFault: true,
      ...options,
    });
  }
}
