import type { Problem } from "../core/problem.ts";

/** Finish reason and token counts of a complete response. */
export type ResponseEnd = Readonly<{
  finish: "stop" | "length";
  count: number;
  promptTokens: number;
  cachedTokens: number;
}>;

/** Writes one prompt's response to its client; each response ends exactly once. */
export abstract class ResponseWriter {
  abstract writeToken(index: number, text: string): void;
  abstract end(end: ResponseEnd): void;
  abstract fail(err: Problem): void;
  /** Whether the client has received the headers that it needs to resume the stream at any daemon. */
  abstract get resumable(): boolean;
}
