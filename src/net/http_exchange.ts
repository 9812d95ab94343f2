import { err, ok, type Result } from "neverthrow";
import { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import type { Millis } from "../core/time.ts";
import {
  headerOf,
  type HttpError,
  type HttpHeaders,
  type HttpRes,
} from "./http_message.ts";

/** Limits of one call. */
export type ExchangeLimits = Readonly<{
  /** Time limit for getting a connection, in ms. */
  connectMs: Millis;
  /** Time limit for the complete response, including connecting, in ms. */
  timeoutMs: Millis;
  /** Largest accepted response body, in bytes. */
  maxBytes: number;
}>;

type Settle = (result: Result<HttpRes, HttpError>) => void;

/** Callbacks of an exchange. */
export type ExchangeListener = Readonly<{
  /** Called once, with the response or the error. */
  settle: Settle;
  /** Called once, when undici has released all resources of the call. */
  finish: () => void;
}>;

const NO_BODY_STATUSES = new Set([204, 304]);

/**
 * One call on undici's dispatch interface. undici calls `onRequestStart` right before it writes the first
 * byte; aborting there keeps a call from being sent twice, or after it timed out.
 */
export class HttpExchange implements Dispatcher.DispatchHandler {
  readonly #method: string;
  readonly #limits: ExchangeLimits;
  readonly #listener: ExchangeListener;
  readonly #chunks: Buffer[] = [];
  #size = 0;
  #sent = false;
  #settled = false;
  #finished = false;
  #status = 0;
  #headers: HttpHeaders = {};
  #controller: Dispatcher.DispatchController | undefined;
  #connectTimer: NodeJS.Timeout | undefined;
  #responseTimer: NodeJS.Timeout | undefined;

  private constructor(
    method: string,
    options: { limits: ExchangeLimits; listener: ExchangeListener },
  ) {
    this.#method = method;
    this.#limits = options.limits;
    this.#listener = options.listener;
  }

  static create(
    method: string,
    options: { limits: ExchangeLimits; listener: ExchangeListener },
  ): HttpExchange {
    return new HttpExchange(method, options);
  }

  /** Starts the timers of both time limits. */
  start(): void {
    const { connectMs, timeoutMs } = this.#limits;
    this.#connectTimer = setTimeout(
      () =>
        this.#abort("connect_failed", "No connection within the time limit"),
      Math.min(connectMs, timeoutMs),
    );
    this.#responseTimer = setTimeout(
      () => this.#abort("silent", "No complete response within the time limit"),
      timeoutMs,
    );
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#settled || this.#sent) {
      controller.abort(
        new Error("The call has already timed out or been sent"),
      );
      return;
    }
    this.#sent = true;
    this.#controller = controller;
    clearTimeout(this.#connectTimer);
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: HttpHeaders,
  ): void {
    if (status < 200) return;
    this.#status = status;
    this.#headers = headers;
    if (Number(headerOf(headers, "content-length")) > this.#limits.maxBytes) {
      this.#abort("too_large", "The response is too large");
    }
  }

  onResponseData(_controller: unknown, chunk: Buffer): void {
    this.#size += chunk.length;
    if (this.#size > this.#limits.maxBytes) {
      this.#abort("too_large", "The response is too large");
      return;
    }
    this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    if (this.#isComplete()) {
      const body = Buffer.concat(this.#chunks);
      this.#settle(
        ok({ status: this.#status, headers: this.#headers, body }),
      );
    } else {
      this.#fail(
        "broken",
        "The response is incomplete: neither a matching content-length nor chunked coding",
      );
    }
    this.#finish();
  }

  onResponseError(_controller: unknown, cause: Error): void {
    this.#fail(this.#sent ? "broken" : unsentErrorCode(cause), cause.message);
    this.#finish();
  }

  #isComplete(): boolean {
    if (this.#method === "HEAD") return true;
    if (NO_BODY_STATUSES.has(this.#status)) return true;
    const length = headerOf(this.#headers, "content-length");
    if (length !== undefined) return Number(length) === this.#size;
    const coding = headerOf(this.#headers, "transfer-encoding");
    return coding !== undefined && /\bchunked$/i.test(coding.trim());
  }

  #abort(code: HttpError["code"], detail: string): void {
    this.#fail(this.#sent ? code : "connect_failed", detail);
    this.#controller?.abort(new Error(detail));
  }

  #fail(code: HttpError["code"], detail: string): void {
    this.#settle(err({ code, sent: this.#sent, detail }));
  }

  #settle(result: Result<HttpRes, HttpError>): void {
    if (this.#settled) return;
    this.#settled = true;
    clearTimeout(this.#connectTimer);
    clearTimeout(this.#responseTimer);
    this.#listener.settle(result);
  }

  #finish(): void {
    if (this.#finished) return;
    this.#finished = true;
    this.#listener.finish();
  }
}

function unsentErrorCode(cause: Error): HttpError["code"] {
  const invalid = "code" in cause && cause.code === "UND_ERR_INVALID_ARG";
  return invalid ? "invalid" : "connect_failed";
}
