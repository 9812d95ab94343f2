import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import {
  PromptClient,
  type PromptToSend,
  type ResponseEvent,
  type ResumePoint,
  type SendError,
} from "./prompt_client.ts";

/** One scripted stream: events, then success or an error. */
export type FakeStream = Readonly<
  { events: readonly ResponseEvent[]; error?: SendError }
>;

/** Returns scripted streams and records the calls. */
export class FakePromptClient extends PromptClient {
  readonly calls: string[] = [];
  streams: FakeStream[] = [];
  addresses: readonly string[] = ["a:1", "b:1"];

  override send(
    address: string,
    _prompt: PromptToSend,
    options: { onEvent: (event: ResponseEvent) => void },
  ): ResultAsync<void, SendError> {
    return this.#runScript(`send ${address}`, options.onEvent);
  }

  override resume(
    address: string,
    point: ResumePoint,
    options: { onEvent: (event: ResponseEvent) => void },
  ): ResultAsync<void, SendError> {
    const { request, lastEventId: after, token } = point;
    const call = `resume ${address} ${request}:${after}:${token}`;
    return this.#runScript(call, options.onEvent);
  }

  override entries(): ResultAsync<readonly string[], SendError> {
    return okAsync(this.addresses);
  }

  #runScript(
    call: string,
    onEvent: (event: ResponseEvent) => void,
  ): ResultAsync<void, SendError> {
    this.calls.push(call);
    const stream = this.streams.shift();
    for (const event of stream?.events ?? []) onEvent(event);
    if (stream?.error !== undefined) return errAsync(stream.error);
    return okAsync(undefined);
  }
}
