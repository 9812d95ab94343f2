import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import type { Retry } from "../../core/reason.ts";
import { unexpectedFields } from "../../core/unexpected_error.ts";
import type { Verdict } from "../../core/verdict.ts";
import type { Dialect, RequestHead, ResponseHead } from "./dialect.ts";
import { OutgoingRequest } from "../http1/outgoing_request.ts";
import type { ParsedHead } from "../http1/response_parser.ts";
import { ReadFirstTimer } from "../read_first_timer.ts";
import type { AttemptFailure } from "./retry_policy.ts";
import {
  CONNECT_TIMEOUT_MS,
  connectTo,
  isRefusal,
} from "./upstream_connection.ts";

/** Largest head of a response. */
const MAX_HEAD_BYTES = 32 * 1024;
/** Lower statuses are informational, or none; higher ones are invalid (RFC 9110, 15). Neither can be passed on. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

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
  #req: OutgoingRequest | undefined;
  #hasHead = false;
  #connectTimer: ReadFirstTimer | undefined;
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
    const { head, headers, body } = this.#target;
    const created = OutgoingRequest.create({
      method: head.method,
      path: head.path,
      headers,
      body,
      maxHeadBytes: MAX_HEAD_BYTES,
    }, {
      onSent: () => {
        this.#sent = true;
        this.#connectTimer?.stop();
      },
      onHead: (responseHead) => this.#handleHead(responseHead),
      onData: (bytes) => this.#listener.onData(bytes),
      onEnd: () => {
        this.#settled = true;
        this.#listener.onEnd();
      },
      onFailure: (cause) =>
        this.#failConnection(cause.message, isRefusal(cause)),
    });
    if (created.isErr()) return this.#fail("connect_failed", created.error);
    const socket = this.#connect();
    if (socket === undefined) return;
    this.#req = created.value;
    this.#connectTimer = ReadFirstTimer.start(
      () => this.#failConnection("Connection timed out"),
      CONNECT_TIMEOUT_MS,
    );
    this.#req.send(socket);
  }

  /** The target's connection, or one that is being opened; an invalid address fails the attempt. */
  #connect(): Socket | undefined {
    const { address, connection } = this.#target;
    try {
      return connection ?? connectTo(address);
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
    this.#req?.pause();
  }

  resume(): void {
    this.#req?.resume();
  }

  #handleHead({ status, rawHeaders }: ParsedHead): void {
    this.#hasHead = true;
    if (status < MIN_FINAL_STATUS || status > MAX_STATUS) {
      this.#fail("answer_broken", `The response has the status ${status}`);
      return;
    }
    const head = this.#dialect.decodeResponse(status, rawHeaders);
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
    this.#listener.onHead(status, head);
  }

  #failConnection(detail: string, unreachable = false): void {
    const disconnected = this.#sent;
    if (this.#hasHead) {
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
