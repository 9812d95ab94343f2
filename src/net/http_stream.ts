import { err, ok, type Result } from "neverthrow";
import { Buffer } from "node:buffer";
import { clearTimeout, setTimeout } from "node:timers";
import type { Dispatcher } from "undici";
import type { Millis } from "../core/time.ts";
import type { HttpError, HttpHeaders } from "./http_message.ts";

/** Number of unread chunks at which the connection is paused. */
const MAX_QUEUED_CHUNKS = 64;

/** The next part of a streamed response; an error is the last item. */
export type StreamItem =
  | Readonly<{ ok: true; chunk: Buffer }>
  | Readonly<{ ok: false; err: HttpError }>;

/** Limits of one streamed call. */
export type StreamLimits = Readonly<{
  /** Time limit for getting a connection, in ms. */
  connectMs: Millis;
  /** Time without any data sent or received after which the call fails, in ms. */
  silenceMs: Millis;
}>;

/** Callbacks of a stream. */
export type StreamListener = Readonly<{
  /** Called once, when the response headers have arrived or the call has failed. */
  open: (result: Result<HttpStream, HttpError>) => void;
  /** Called when the call has failed because no data was sent or received for `silenceMs`. */
  silent: () => void;
  /** Called once, when undici has released all resources of the call. */
  finish: () => void;
}>;

/**
 * One call with a streamed response on undici's dispatch interface. undici calls `onRequestStart` right
 * before it writes the first byte, so a call that fails earlier has not been sent.
 */
export class HttpStream implements Dispatcher.DispatchHandler {
  readonly #limits: StreamLimits;
  readonly #listener: StreamListener;
  readonly #queue: Buffer[] = [];
  #sent = false;
  #opened = false;
  #closed = false;
  #finished = false;
  #paused = false;
  #ended = false;
  #failure: HttpError | undefined;
  #wakeReader: (() => void) | undefined;
  #status = 0;
  #headers: HttpHeaders = {};
  #controller: Dispatcher.DispatchController | undefined;
  #connectTimer: NodeJS.Timeout | undefined;
  #silenceTimer: NodeJS.Timeout | undefined;

  private constructor(limits: StreamLimits, listener: StreamListener) {
    this.#limits = limits;
    this.#listener = listener;
  }

  static create(limits: StreamLimits, listener: StreamListener): HttpStream {
    return new HttpStream(limits, listener);
  }

  get status(): number {
    return this.#status;
  }

  get headers(): HttpHeaders {
    return this.#headers;
  }

  /** Starts the connect timer; the silence timer starts when the request is sent. */
  start(): void {
    const { connectMs, silenceMs } = this.#limits;
    this.#connectTimer = setTimeout(
      () =>
        this.#abort("connect_failed", "No connection within the time limit"),
      Math.min(connectMs, silenceMs),
    );
  }

  /** Restarts the silence limit after data was sent or received. */
  restartSilenceTimer(): void {
    this.#silenceTimer?.refresh();
  }

  /** Closes the connection; `items` ends. */
  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#stopTimers();
    if (!this.#ended) this.#controller?.abort(new Error("Closed"));
    this.#wakeReader?.();
  }

  /** Yields the chunks of the response body; may be iterated once only. */
  async *items(): AsyncGenerator<StreamItem, void, undefined> {
    while (!this.#closed) {
      const chunk = this.#queue.shift();
      if (chunk !== undefined) {
        this.#resume();
        yield { ok: true, chunk };
      } else if (this.#failure !== undefined) {
        yield { ok: false, err: this.#failure };
        return;
      } else if (this.#ended) {
        return;
      } else {
        await new Promise<void>((resolve) => this.#wakeReader = resolve);
      }
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#closed || this.#failure !== undefined || this.#sent) {
      controller.abort(new Error("The call has already ended or been sent"));
      return;
    }
    this.#sent = true;
    this.#controller = controller;
    clearTimeout(this.#connectTimer);
    this.#silenceTimer = setTimeout(
      () => this.#onSilenceTimeout(),
      this.#limits.silenceMs,
    );
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: HttpHeaders,
  ): void {
    this.restartSilenceTimer();
    if (status < 200) return;
    this.#status = status;
    this.#headers = headers;
    this.#open(ok(this));
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.restartSilenceTimer();
    if (this.#closed) return;
    this.#queue.push(chunk);
    if (this.#queue.length >= MAX_QUEUED_CHUNKS) {
      this.#paused = true;
      controller.pause();
    }
    this.#wakeReader?.();
  }

  onResponseEnd(): void {
    this.#ended = true;
    this.#stopTimers();
    this.#wakeReader?.();
    this.#finish();
  }

  onResponseError(_controller: unknown, cause: Error): void {
    this.#fail(this.#sent ? "broken" : "connect_failed", cause.message);
    this.#finish();
  }

  #resume(): void {
    if (!this.#paused || this.#queue.length > 0) return;
    this.#paused = false;
    this.restartSilenceTimer();
    this.#controller?.resume();
  }

  #onSilenceTimeout(): void {
    // A paused connection receives nothing because its reader is slow.
    if (this.#paused) {
      this.restartSilenceTimer();
      return;
    }
    this.#abort("silent", "No data was sent or received within the time limit");
    this.#listener.silent();
  }

  #abort(code: HttpError["code"], detail: string): void {
    this.#fail(code, detail);
    this.#controller?.abort(new Error(detail));
  }

  #fail(code: HttpError["code"], detail: string): void {
    if (this.#failure !== undefined || this.#ended) return;
    this.#failure = { code, sent: this.#sent, detail };
    this.#stopTimers();
    this.#open(err(this.#failure));
    this.#wakeReader?.();
  }

  #open(result: Result<HttpStream, HttpError>): void {
    if (this.#opened) return;
    this.#opened = true;
    this.#listener.open(result);
  }

  #stopTimers(): void {
    clearTimeout(this.#connectTimer);
    clearTimeout(this.#silenceTimer);
  }

  #finish(): void {
    if (this.#finished) return;
    this.#finished = true;
    this.#listener.finish();
  }
}
