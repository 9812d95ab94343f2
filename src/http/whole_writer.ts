import type { ServerResponse } from "node:http";
import { type Problem, problemStatus } from "../core/problem.ts";
import { type AnswerHead, wholeAnswer } from "./answer_format.ts";
import { type AnswerEnd, AnswerWriter } from "./answer_writer.ts";
import { problemBody, problemHeaders } from "./problem_body.ts";

/** Where a whole answer goes. */
export type WholeTarget = Readonly<{
  res: ServerResponse;
  head: AnswerHead;
  headers: () => Record<string, string>;
}>;

/** Collects an answer and sends it whole or not at all. */
export class WholeWriter extends AnswerWriter {
  readonly #target: WholeTarget;
  readonly #parts: string[] = [];

  private constructor(target: WholeTarget) {
    super();
    this.#target = target;
  }

  static create(target: WholeTarget): WholeWriter {
    return new WholeWriter(target);
  }

  override get resumable(): boolean {
    return false;
  }

  override token(_index: number, text: string): void {
    this.#parts.push(text);
  }

  override end(end: AnswerEnd): void {
    const { res, head, headers } = this.#target;
    if (res.headersSent) return;
    res.writeHead(200, { "content-type": "application/json", ...headers() });
    res.end(wholeAnswer(head, this.#parts.join(""), end));
  }

  override fail(err: Problem): void {
    const { res } = this.#target;
    if (res.headersSent) return;
    res.writeHead(problemStatus(err), problemHeaders(err));
    res.end(problemBody(err));
  }
}
