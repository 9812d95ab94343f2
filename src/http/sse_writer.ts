import type { ServerResponse } from "node:http";
import { type Problem, problemStatus } from "../core/problem.ts";
import {
  endChunk,
  type ResponseMetadata,
  tokenChunk,
} from "./response_format.ts";
import { type ResponseEnd, ResponseWriter } from "./response_writer.ts";
import { problemBody, problemHeaders } from "./problem_body.ts";

/** The HTTP response that a stream is written to. */
export type SseTarget = Readonly<{
  res: ServerResponse;
  metadata: ResponseMetadata;
  /** Headers of the stream, known when its first token arrives. */
  headers: () => Record<string, string>;
}>;

/** Streams a response as server-sent events; an event's id is its token's index plus one. */
export class SseWriter extends ResponseWriter {
  readonly #target: SseTarget;
  #ended = false;

  private constructor(target: SseTarget) {
    super();
    this.#target = target;
  }

  static create(target: SseTarget): SseWriter {
    return new SseWriter(target);
  }

  override get resumable(): boolean {
    return this.#target.res.headersSent;
  }

  override writeToken(index: number, text: string): void {
    this.#sendHeaders();
    this.#target.res.write(
      `id: ${index + 1}\ndata: ${tokenChunk(this.#target.metadata, text)}\n\n`,
    );
  }

  override end(end: ResponseEnd): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#sendHeaders();
    this.#target.res.end(
      `event: done\ndata: ${
        endChunk(this.#target.metadata, end)
      }\n\ndata: [DONE]\n\n`,
    );
  }

  override fail(err: Problem): void {
    if (this.#ended) return;
    this.#ended = true;
    const { res } = this.#target;
    if (res.headersSent) {
      res.end(`event: error\ndata: ${problemBody(err)}\n\n`);
      return;
    }
    res.writeHead(problemStatus(err), problemHeaders(err));
    res.end(problemBody(err));
  }

  /** Sends the headers before the first event, also when a stream ends without a token. */
  #sendHeaders(): void {
    const { res, headers } = this.#target;
    if (res.headersSent) return;
    res.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      ...headers(),
    });
  }
}
