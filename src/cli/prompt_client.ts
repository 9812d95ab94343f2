import type { ResultAsync } from "neverthrow";
import { z } from "zod";
import type { Millis } from "../core/time.ts";
import { VerdictSchema } from "../core/verdict.ts";

/** A prompt as an operator sends it. */
export type PromptToSend = Readonly<{
  model: string;
  adapter?: string;
  version?: string;
  maxTokens: number;
  text: string;
}>;

/** Who sends, and how urgent it is. */
export type Sender = Readonly<{
  team?: string;
  token?: string;
  class?: string;
  deadlineMs?: Millis;
}>;

/** What is needed to go on with a stream at any daemon. */
export type ResumePoint = Readonly<
  { request: string; lastEventId: number; token: string }
>;

/** One event of a streamed answer. */
export type ResponseEvent =
  | Readonly<
    {
      type: "head";
      request: string;
      revision?: string;
      resumeToken?: string;
    }
  >
  | Readonly<{ type: "token"; index: number; text: string }>
  | Readonly<{
    type: "done";
    count: number;
    finish: string;
    promptTokens: number;
  }>;

/** Why a prompt got no whole answer; the fields of the problem body. */
export const SendErrorSchema = z.object({
  code: z.string(),
  status: z.number(),
  verdict: VerdictSchema,
  detail: z.string(),
  retry_after_ms: z.number().optional(),
});
/** Why a prompt got no whole answer; `status` is 0 where the connection broke. */
export type SendError = z.infer<typeof SendErrorSchema>;

/** Sends prompts the way every client does. */
export abstract class PromptClient {
  /** Streams the answer to a prompt; resolves after the last event. */
  abstract send(
    address: string,
    prompt: PromptToSend,
    options: { sender: Sender; onEvent: (event: ResponseEvent) => void },
  ): ResultAsync<void, SendError>;

  /** Streams the rest of an answer. */
  abstract resume(
    address: string,
    point: ResumePoint,
    options: { sender: Sender; onEvent: (event: ResponseEvent) => void },
  ): ResultAsync<void, SendError>;

  /** Returns the addresses that a client should use, best first. */
  abstract entries(address: string): ResultAsync<readonly string[], SendError>;
}
