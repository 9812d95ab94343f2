import type { Buffer } from "node:buffer";
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { connect } from "node:net";
import type { Retry } from "../../core/reason.ts";
import type { Millis } from "../../core/time.ts";
import { unexpectedFields } from "../../core/unexpected_error.ts";
import type { Verdict } from "../../core/verdict.ts";
import { splitAddress } from "../address.ts";
import type { AnswerHead, ClientHead, Dialect } from "./dialect.ts";
import { isUndelimited, wasClosed } from "./undelimited.ts";
import type { AttemptFailure } from "./retry_rule.ts";

/** Time to a connection; a lost opening packet would be sent again only after a second. */
const CONNECT_MS: Millis = 350;
/** Bytes of an answer's head at most. */
const MAX_HEAD_BYTES = 32 * 1024;

/** What one attempt reports; nothing comes after `end` or `fail`. */
export type AttemptListener = Readonly<{
  head: (status: number, head: AnswerHead) => void;
  data: (chunk: Buffer) => void;
  end: () => void;
  fail: (failure: AttemptFailure) => void;
}>;

/** Where an attempt goes and what it sends. */
export type AttemptTarget = Readonly<{
  address: string;
  head: ClientHead;
  headers: string[];
  body: Buffer;
}>;

/** One try at one upstream, on a connection of its own, so that no other answer can be taken for its own. */
export class Attempt {
  readonly #dialect: Dialect;
  readonly #target: AttemptTarget;
  readonly #listener: AttemptListener;
  #req: ClientRequest | undefined;
  #res: IncomingMessage | undefined;
  #connectTimer: NodeJS.Timeout | undefined;
  #sent = false;
  #over = false;

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
    const req = this.#request();
    if (req === undefined) return;
    this.#req = req;
    this.#connectTimer = setTimeout(
      () => this.#fail("connect_failed", "No connection in time"),
      CONNECT_MS,
    );
    req.on("socket", (socket) => {
      socket.setNoDelay(true);
      socket.once("connect", () => {
        this.#sent = true;
        clearTimeout(this.#connectTimer);
      });
    });
    req.on("response", (res) => this.#receive(res));
    req.on("error", (err) => this.#broken(err.message));
    req.end(body);
  }

  /** Writes the head; one that can't be written fails the attempt before a byte is sent. */
  #request(): ClientRequest | undefined {
    const { address, head, headers } = this.#target;
    try {
      return request({
        createConnection: () =>
          connect({ ...splitAddress(address), allowHalfOpen: true }),
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

  /** Gives the attempt up; the upstream sees its connection close. */
  abort(): void {
    this.#over = true;
    clearTimeout(this.#connectTimer);
    this.#req?.destroy();
  }

  pause(): void {
    this.#res?.pause();
  }

  resume(): void {
    this.#res?.resume();
  }

  #receive(res: IncomingMessage): void {
    if (this.#over) return;
    this.#res = res;
    const status = res.statusCode ?? 0;
    const head = this.#dialect.decodeAnswer(status, res.rawHeaders);
    if (
      head.requestId !== undefined && head.requestId !== this.#target.head.id
    ) {
      this.#fail("answer_broken", "The answer belongs to another request");
      return;
    }
    let ended = false;
    res.on("data", (chunk: Buffer) => {
      if (!this.#over) this.#listener.data(chunk);
    });
    const closed = isUndelimited(res, this.#target.head.method)
      ? wasClosed(res)
      : undefined;
    res.on("end", () => {
      ended = true;
      void this.#end(res, closed);
    });
    res.on("error", (err) => this.#broken(err.message));
    res.on("close", () => {
      if (!ended) this.#broken("The connection closed");
    });
    this.#listener.head(status, head);
  }

  async #end(res: IncomingMessage, closed?: Promise<boolean>): Promise<void> {
    const whole = closed === undefined ? res.complete : await closed;
    if (this.#over) return;
    if (!whole) return this.#broken("The answer broke off");
    this.#over = true;
    this.#listener.end();
  }

  #broken(detail: string): void {
    const disconnected = this.#sent;
    if (this.#res !== undefined) {
      this.#fail("answer_broken", detail, { disconnected });
    } else if (this.#sent) {
      this.#fail("upstream_crashed", detail, { disconnected });
    } else this.#fail("connect_failed", detail);
  }

  #fail(
    cause: Retry,
    detail: string,
    options: Readonly<{ disconnected?: boolean }> = {},
  ): void {
    if (this.#over) return;
    const verdict = this.verdict;
    this.abort();
    this.#listener.fail({ cause, verdict, detail, blamed: true, ...options });
  }
}
