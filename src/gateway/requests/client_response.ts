import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Problem } from "../../core/problem.ts";
import { type Millis, SECOND_MS } from "../../core/time.ts";
import { PROBLEM_TYPE, problemBody } from "../../http/problem_body.ts";
import { breakOff } from "../http1/break_off.ts";
import { type Framing, responseFraming } from "../http1/framing.ts";
import { withoutHeader } from "../http1/header_syntax.ts";
import type { ResponseHead } from "./dialect.ts";

/** Time that a client is given to send the rest of a refused request, or to close its connection. */
export const LINGER_MS: Millis = 1_000;

const CLOSE_HEADER = ["Connection", "close"];

/** Statuses of problems with the request itself; all others follow from the verdict. */
const CLIENT_ERRORS: Readonly<Partial<Record<Problem["code"], number>>> = {
  bad_request: 400,
  unauthorized: 401,
  unknown_path: 404,
  body_too_large: 413,
  head_too_large: 431,
};

/** HTTP status of a problem with a proxied request; 503 means that the request has not run and will not run. */
export function proxyProblemStatus(err: Problem): number {
  const status = CLIENT_ERRORS[err.code];
  if (status !== undefined) return status;
  if (err.verdict === "not_run") return 503;
  return err.code === "deadline_exceeded" ? 504 : 502;
}

/** Starts a response; returns whether its connection closes after it, as it must if a part of the request is `unread`. */
export type StartsLast = (unread: boolean) => boolean;

/**
 * The response to one client: one head, then bytes in order. A body that differs from the length which its head has
 * announced breaks the connection off.
 */
export class ClientResponse {
  readonly #res: ServerResponse;
  /** Whether the connection closes after the response that starts now. */
  readonly #startsLast: StartsLast;
  /** Status and headers of an upstream's response, until they are sent. */
  #head: Readonly<{ status: number; headers: readonly string[] }> | undefined;
  /** How the sent head frames the body; undefined before it is sent. */
  #framing: Framing | undefined;
  #sentBytes = 0;
  #lengthError: string | undefined;
  #onDrained: (() => void) | undefined;
  /** Called when a part of the response is buffered, and when its client has read that. */
  readonly #onBuffered: () => void;

  private constructor(
    res: ServerResponse,
    startsLast: StartsLast,
    onBuffered: () => void,
  ) {
    this.#res = res;
    this.#startsLast = startsLast;
    this.#onBuffered = onBuffered;
    res.on("drain", () => {
      onBuffered();
      this.#onDrained?.();
    });
  }

  static create(
    res: ServerResponse,
    startsLast: StartsLast,
    options: Readonly<{ onBuffered?: () => void }> = {},
  ): ClientResponse {
    const { onBuffered = () => {} } = options;
    return new ClientResponse(res, startsLast, onBuffered);
  }

  /** Whether a part of the response was sent, after which it can't be replaced by another one. */
  get started(): boolean {
    return this.#res.headersSent;
  }

  /** Bytes of the body that were handed to the connection. */
  get sentBytes(): number {
    return this.#sentBytes;
  }

  /** Length of the body that the sent head announces; undefined if it announces none. */
  get announcedBytes(): number | undefined {
    return this.#framing?.kind === "length" ? this.#framing.bytes : undefined;
  }

  /** Why the connection was broken off, if the body differs from its announced length. */
  get lengthError(): string | undefined {
    return this.#lengthError;
  }

  /**
   * Sets the head. It is sent with the first byte of the body, or at the end; until then another one may replace it. The
   * length of an event stream isn't announced, as another upstream may end it, or known events may be left out.
   */
  setHead(
    status: number,
    head: Pick<ResponseHead, "headers" | "isEventStream">,
  ): void {
    const headers = head.isEventStream
      ? withoutHeader(head.headers, "content-length")
      : head.headers;
    this.#head = { status, headers };
  }

  /** Writes bytes; false if the buffer is full, in which case `onDrained` is called once it has drained. */
  write(bytes: Buffer, onDrained: () => void): boolean {
    this.#sendHead();
    this.#sentBytes += bytes.length;
    const { announcedBytes = Infinity } = this;
    if (this.#sentBytes > announcedBytes) {
      this.#breakOff();
      return true;
    }
    this.#onDrained = onDrained;
    const isWritable = this.#res.write(bytes);
    if (!isWritable) this.#onBuffered();
    return isWritable;
  }

  end(): void {
    this.#sendHead();
    const { announcedBytes = 0 } = this;
    if (this.#sentBytes < announcedBytes) this.#breakOff();
    else this.#res.end();
  }

  /** Otherwise the client would wait for the rest, or read the next response as a part of this one. */
  #breakOff(): void {
    this.#lengthError =
      `The body has ${this.#sentBytes} of ${this.announcedBytes} announced bytes`;
    this.destroy();
  }

  #sendHead(): void {
    if (this.started || this.#head === undefined) return;
    const { status, headers } = this.#head;
    const { method = "" } = this.#res.req;
    this.#framing = responseFraming(method, status, headers)
      .unwrapOr(undefined);
    const closes = this.#startsLast(false) ? CLOSE_HEADER : [];
    this.#res.writeHead(status, [...headers, ...closes]);
  }

  /** Destroys the connection, so that the client detects a truncated response. */
  destroy(): void {
    breakOff(this.#res);
  }

  /**
   * Sends a problem as the complete response (RFC 9457), with `Retry-After` on a 503. The connection closes after it if
   * the request's body is `unread`.
   */
  sendProblem(
    err: Problem,
    options: Readonly<{ unread?: IncomingMessage }> = {},
  ): void {
    const { unread } = options;
    const status = proxyProblemStatus(err);
    const body = problemBody({ ...err }, { status });
    const headers: Record<string, string | number> = {
      "content-type": PROBLEM_TYPE,
      "content-length": Buffer.byteLength(body),
    };
    if (err.retryAfterMs !== undefined && status === 503) {
      headers["retry-after"] = (err.retryAfterMs / SECOND_MS).toFixed(2);
    }
    if (this.#startsLast(unread !== undefined)) {
      headers["connection"] = "close";
    }
    this.#res.writeHead(status, headers);
    if (unread === undefined) return void this.#res.end(body);
    this.#res.write(body);
    discardBody(unread, () => this.#res.end());
  }
}

/** Reads the rest of a body for a while: closing a connection with unread bytes resets it, which may undo the response. */
function discardBody(req: IncomingMessage, onDone: () => void): void {
  if (req.readableEnded || req.destroyed) return onDone();
  const timer = setTimeout(onDone, LINGER_MS);
  req.once("close", () => {
    clearTimeout(timer);
    onDone();
  });
  req.resume();
}
