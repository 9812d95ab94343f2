import type { Problem } from "../core/problem.ts";

/** The end of a whole answer. */
export type ResponseEnd = Readonly<{
  finish: "stop" | "length";
  count: number;
  promptTokens: number;
  cachedTokens: number;
}>;

/** Writes one prompt's answer to its client; each answer ends exactly once. */
export abstract class ResponseWriter {
  abstract writeToken(index: number, text: string): void;
  abstract end(end: ResponseEnd): void;
  abstract fail(err: Problem): void;
  /** Whether the client has got the means to fetch the rest elsewhere. */
  abstract get resumable(): boolean;
}
