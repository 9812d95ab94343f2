import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { Problem } from "../../core/problem.ts";
import { SECOND_MS } from "../../core/time.ts";
import { PROBLEM_TYPE, problemBody } from "../../http/problem_body.ts";
import type { AnswerHead } from "./dialect.ts";

const CLOSING = ["Connection", "close"];

/** Statuses that tell the client about its own request; all others follow from the verdict. */
const CLIENT_ERRORS: Readonly<Partial<Record<Problem["code"], number>>> = {
  bad_request: 400,
  unauthorized: 401,
  unknown_path: 404,
  body_too_large: 413,
  head_too_large: 431,
};

/** The status of a problem on the transparent path: 503 says that the request has not run and will not. */
export function transparentStatus(err: Problem): number {
  const status = CLIENT_ERRORS[err.code];
  if (status !== undefined) return status;
  if (err.verdict === "not_run") return 503;
  return err.code === "deadline_exceeded" ? 504 : 502;
}

/** The answer to one client: a head once, then bytes in order. */
export class ClientAnswer {
  readonly #res: ServerResponse;
  /** Whether the connection is to be closed after the answer. */
  readonly #closing: () => boolean;
  #drained: (() => void) | undefined;

  private constructor(res: ServerResponse, closing: () => boolean) {
    this.#res = res;
    this.#closing = closing;
    res.on("drain", () => this.#drained?.());
  }

  static create(res: ServerResponse, closing: () => boolean): ClientAnswer {
    return new ClientAnswer(res, closing);
  }

  /** Whether a head was written, after which no other answer can be given. */
  get begun(): boolean {
    return this.#res.headersSent;
  }

  begin(status: number, head: AnswerHead): void {
    const headers = this.#closing()
      ? [...head.headers, ...CLOSING]
      : [...head.headers];
    this.#res.writeHead(status, headers);
  }

  /** Writes bytes; false if the client is slow, and `drained` is called when it has caught up. */
  write(bytes: Buffer, drained: () => void): boolean {
    this.#drained = drained;
    return this.#res.write(bytes);
  }

  end(): void {
    this.#res.end();
  }

  /** Ends an answer in a way that can't be taken for a whole one. */
  breakOff(): void {
    this.#res.destroy();
  }

  /** Answers with a problem. */
  refuse(err: Problem, extra: Readonly<Record<string, string>> = {}): void {
    const status = transparentStatus(err);
    const body = problemBody({ ...err }, { status });
    const headers: Record<string, string | number> = {
      "content-type": PROBLEM_TYPE,
      "content-length": body.length,
      ...extra,
    };
    if (err.retryAfterMs !== undefined && status === 503) {
      headers["retry-after"] = (err.retryAfterMs / SECOND_MS).toFixed(2);
    }
    if (this.#closing()) headers["connection"] = "close";
    this.#res.writeHead(status, headers);
    this.#res.end(body);
  }
}
