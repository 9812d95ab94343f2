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

/** Credentials, class and deadline of a request. */
export type Sender = Readonly<{
  team?: string;
  token?: string;
  class?: string;
  deadlineMs?: Millis;
}>;

/** What a client needs to resume a stream at any daemon. */
export type ResumePoint = Readonly<
  { request: string; lastEventId: number; token: string }
>;

/** One event of a streamed response. */
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

/** Fields of the problem body of a failed prompt. */
export const SendErrorSchema = z.object({
  code: z.string(),
  status: z.number(),
  verdict: VerdictSchema,
  detail: z.string(),
  retry_after_ms: z.number().optional(),
});
/** Why a prompt got no complete response; `status` is 0 if the connection broke. */
export type SendError = z.infer<typeof SendErrorSchema>;

/** Sends prompts through the public client API. */
export abstract class PromptClient {
  /** Streams the response to a prompt; resolves after the last event. */
  abstract send(
    address: string,
    prompt: PromptToSend,
    options: { sender: Sender; onEvent: (event: ResponseEvent) => void },
  ): ResultAsync<void, SendError>;

  /** Streams the rest of a response. */
  abstract resume(
    address: string,
    point: ResumePoint,
    options: { sender: Sender; onEvent: (event: ResponseEvent) => void },
  ): ResultAsync<void, SendError>;

  /** Returns the addresses that a client should use, best first. */
  abstract entries(address: string): ResultAsync<readonly string[], SendError>;
}
