import { createParser } from "eventsource-parser";
import type { HttpStream, StreamItem } from "../net/http_stream.ts";
import type { HttpError } from "../net/http_message.ts";
import { type EngineEvent, EngineEventSchema } from "../wire/engine.ts";
import type { EngineError, EngineStream } from "./engine_client.ts";

/** Largest event that is buffered. */
const MAX_EVENT_CHARS = 65_536;

type EventItem =
  | Readonly<{ ok: true; event: EngineEvent }>
  | Readonly<{ ok: false; err: EngineError }>;

/** Decodes the response stream of an accepted call into engine events. */
export function readEngineStream(stream: HttpStream): EngineStream {
  return { events: readEvents(stream), close: () => stream.close() };
}

/** Maps a failed HTTP call to an engine error; once a byte was sent, the verdict is `may_have_run`. */
export function toEngineError(failure: HttpError): EngineError {
  const { detail } = failure;
  if (!failure.sent) {
    return { code: "connect_failed", verdict: "not_run", detail };
  }
  const code = ERROR_CODES[failure.code];
  return { code, verdict: "may_have_run", detail };
}

const ERROR_CODES = {
  overloaded: "broken",
  invalid: "broken",
  connect_failed: "broken",
  broken: "broken",
  silent: "silent",
  too_large: "malformed",
} as const satisfies Record<HttpError["code"], EngineError["code"]>;

async function* readEvents(
  stream: HttpStream,
): AsyncGenerator<EventItem, void, undefined> {
  const parser = EventParser.create();
  for await (const item of stream.items()) {
    for (const event of parser.parse(item)) {
      yield event;
      if (!event.ok || event.event.type !== "token") return stream.close();
    }
  }
  yield errorItem("truncated", "The stream ended without its final event");
}

/** Parses chunks of an event stream into validated events. */
class EventParser {
  readonly #decoder = new TextDecoder();
  readonly #parser = createParser({
    maxBufferSize: MAX_EVENT_CHARS,
    onEvent: (message) => this.#pending.push(parseEvent(message.data)),
    onError: (cause) => {
      if (cause.type !== "max-buffer-size-exceeded") return;
      this.#pending.push(errorItem("malformed", "An event is too large"));
    },
  });
  #pending: EventItem[] = [];

  private constructor() {}

  static create(): EventParser {
    return new EventParser();
  }

  /** Returns the events that this chunk completes. */
  parse(item: StreamItem): readonly EventItem[] {
    if (!item.ok) return [{ ok: false, err: toEngineError(item.err) }];
    this.#pending = [];
    this.#parser.feed(this.#decoder.decode(item.chunk, { stream: true }));
    return this.#pending;
  }
}

function parseEvent(data: string): EventItem {
  const parsed = EngineEventSchema.safeParse(parseJson(data));
  if (parsed.success) return { ok: true, event: parsed.data };
  return errorItem("malformed", "An event does not match its schema");
}

function errorItem(code: "malformed" | "truncated", detail: string): EventItem {
  return { ok: false, err: { code, verdict: "may_have_run", detail } };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
