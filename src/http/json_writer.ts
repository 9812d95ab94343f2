import type { ServerResponse } from "node:http";
import { type Problem, problemStatus } from "../core/problem.ts";
import { completeResponse, type ResponseMetadata } from "./response_format.ts";
import { type ResponseEnd, ResponseWriter } from "./response_writer.ts";
import { problemBody, problemHeaders } from "./problem_body.ts";

/** The HTTP response that a JSON body is written to. */
export type JsonTarget = Readonly<{
  res: ServerResponse;
  metadata: ResponseMetadata;
  headers: () => Record<string, string>;
}>;

/** Collects a response and sends it as one JSON body, or a problem instead. */
export class JsonWriter extends ResponseWriter {
  readonly #target: JsonTarget;
  readonly #parts: string[] = [];

  private constructor(target: JsonTarget) {
    super();
    this.#target = target;
  }

  static create(target: JsonTarget): JsonWriter {
    return new JsonWriter(target);
  }

  override get resumable(): boolean {
    return false;
  }

  override writeToken(_index: number, text: string): void {
    this.#parts.push(text);
  }

  override end(end: ResponseEnd): void {
    const { res, metadata, headers } = this.#target;
    if (res.headersSent) return;
    res.writeHead(200, { "content-type": "application/json", ...headers() });
    res.end(completeResponse(metadata, this.#parts.join(""), end));
  }

  override fail(err: Problem): void {
    const { res } = this.#target;
    if (res.headersSent) return;
    res.writeHead(problemStatus(err), problemHeaders(err));
    res.end(problemBody(err));
  }
}
