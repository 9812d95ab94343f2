import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import {
  type AnswerEvent,
  PromptClient,
  type PromptToSend,
  type ResumePoint,
  type SendError,
} from "./prompt_client.ts";

/** One scripted stream: events, then success or an error. */
export type FakeStream = Readonly<
  { events: readonly AnswerEvent[]; error?: SendError }
>;

/** Plays scripted streams and notes what was asked. */
export class FakePromptClient extends PromptClient {
  readonly asked: string[] = [];
  streams: FakeStream[] = [];
  addresses: readonly string[] = ["a:1", "b:1"];

  override send(
    address: string,
    _prompt: PromptToSend,
    options: { onEvent: (event: AnswerEvent) => void },
  ): ResultAsync<void, SendError> {
    return this.#play(`send ${address}`, options.onEvent);
  }

  override resume(
    address: string,
    point: ResumePoint,
    options: { onEvent: (event: AnswerEvent) => void },
  ): ResultAsync<void, SendError> {
    const { request, after, token } = point;
    const asked = `resume ${address} ${request}:${after}:${token}`;
    return this.#play(asked, options.onEvent);
  }

  override entries(): ResultAsync<readonly string[], SendError> {
    return okAsync(this.addresses);
  }

  #play(
    asked: string,
    onEvent: (event: AnswerEvent) => void,
  ): ResultAsync<void, SendError> {
    this.asked.push(asked);
    const stream = this.streams.shift();
    for (const event of stream?.events ?? []) onEvent(event);
    if (stream?.error !== undefined) return errAsync(stream.error);
    return okAsync(undefined);
  }
}
