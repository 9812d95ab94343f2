import { EventSourceParserStream } from "eventsource-parser/stream";

/** A streamed answer as a client sees it. */
export type ReceivedStream = {
  status: number;
  requestId: string;
  resumeToken: string;
  text: string;
  /** Id of the last event. */
  lastEvent: number;
  /** Count of the final event; absent where it has not come. */
  count: number | undefined;
  /** Body of a refusal, or of the error that ended the stream. */
  problem: string | undefined;
};

/** How a stream is opened. */
export type StreamOptions = Readonly<{
  method: "GET" | "POST";
  headers: Record<string, string>;
  body?: string;
  /** Called after each token; the stream is given up when it returns false. */
  onToken?: (received: ReceivedStream) => boolean;
  /** Gives the stream up. */
  signal?: AbortSignal;
}>;

/** Reads a stream until it ends, breaks, or is given up. */
export async function readStream(
  url: string,
  options: StreamOptions,
): Promise<ReceivedStream> {
  const { method, headers, body, signal } = options;
  const received: ReceivedStream = {
    status: 0,
    requestId: "",
    resumeToken: "",
    text: "",
    lastEvent: Number(headers["last-event-id"] ?? 0),
    count: undefined,
    problem: undefined,
  };
  try {
    const res = await fetch(url, { method, headers, body, signal });
    received.status = res.status;
    received.requestId = res.headers.get("x-request-id") ?? "";
    received.resumeToken = res.headers.get("x-resume-token") ?? "";
    if (res.status !== 200) received.problem = await res.text();
    else await readEvents(res, received, options);
  } catch {
    // A broken connection leaves what was received, without its final event.
  }
  return received;
}

async function readEvents(
  res: Response,
  received: ReceivedStream,
  options: StreamOptions,
): Promise<void> {
  const events = res.body!
    .pipeThrough(new TextDecoderStream() as TransformStream<Uint8Array, string>)
    .pipeThrough(new EventSourceParserStream());
  for await (const event of events) {
    if (event.event === "error") received.problem = event.data;
    if (event.event === "done") received.count = JSON.parse(event.data).count;
    if (event.id === undefined) continue;
    received.lastEvent = Number(event.id);
    received.text += JSON.parse(event.data).choices[0].delta.content;
    if (options.onToken?.(received) === false) return;
  }
}
