import { Buffer } from "node:buffer";
import type { ClientResponse } from "./client_response.ts";
import type { ResponseHead } from "./dialect.ts";
import { EventStreamParser, type StreamEvent } from "./event_stream_parser.ts";
import { promisesNotRun } from "./not_run_promise.ts";
import type { AttemptFailure } from "./retry_policy.ts";
import type { UnfinishedEvent, UnfinishedEvents } from "./unfinished_events.ts";

const MIN_SERVER_ERROR = 500;
const MAX_SUCCESS = 299;
/** Bytes received without a new event id, beyond which a stream is invalid; equals the largest event. */
const MAX_STALLED_BYTES = 1 << 20;

type RelayOptions = Readonly<{
  /** Id of the last event that the client has received before this request. */
  lastEventId?: string;
  /** Account of what all streams hold. */
  unfinished?: UnfinishedEvents;
  /** Called when the attempt's unfinished event was given up; the attempt has failed then. */
  onGivenUp?: (failure: AttemptFailure) => void;
}>;

/**
 * Relays the responses of one or more attempts to the client as one response. A stream that resumes on another
 * upstream keeps the head of the first response, and continues after the last event that the client was sent.
 */
export class ResponseRelay {
  readonly #client: ClientResponse;
  #parser = EventStreamParser.create();
  #head: ResponseHead | undefined;
  #status = 0;
  #eventsSent = 0;
  #receivedCount = 0;
  /** Bytes since the last event with a new id. */
  #stalledBytes = 0;
  #lastEventId: string | undefined;
  readonly #unfinished: UnfinishedEvent | undefined;

  private constructor(response: ClientResponse, options: RelayOptions) {
    const { lastEventId, unfinished, onGivenUp = () => {} } = options;
    this.#client = response;
    this.#lastEventId = lastEventId;
    this.#unfinished = unfinished?.open(() => onGivenUp(tooMuchHeld()));
  }

  static create(
    response: ClientResponse,
    options: RelayOptions = {},
  ): ResponseRelay {
    return new ResponseRelay(response, options);
  }

  /** Id of the last event that the client has received, in this exchange or before it. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Events that were sent to the client. */
  get eventsSent(): number {
    return this.#eventsSent;
  }

  /** Chunks or events that the current attempt has delivered. */
  get receivedCount(): number {
    return this.#receivedCount;
  }

  get status(): number {
    return this.#status;
  }

  /** Bytes of the body that the client was sent, and the length that it was told; undefined if it was told none. */
  get bodyBytes(): Readonly<{ sent: number; announced: number | undefined }> {
    const { sentBytes, announcedBytes } = this.#client;
    return { sent: sentBytes, announced: announcedBytes };
  }

  /** Whether the upstream's status is a success. */
  get succeeded(): boolean {
    return this.#status <= MAX_SUCCESS;
  }

  /** Whether bytes were sent that no other attempt can continue, so that a retry is impossible. */
  get committed(): boolean {
    return this.#client.started && !this.#isStream;
  }

  /** Whether the current attempt had nothing to add to a stream that the client resumed. */
  get isEmptyRest(): boolean {
    return this.#isStream && this.#receivedCount === 0;
  }

  /** Whether the response is a stream of events that another attempt can continue; a failure is none. */
  get #isStream(): boolean {
    return this.succeeded && this.#head?.isEventStream === true;
  }

  /** Drops what was received of an event that the attempt did not complete. */
  endAttempt(): void {
    this.#parser = EventStreamParser.create();
    this.#unfinished?.hold(0);
  }

  /** Resets the state of the previous attempt. */
  startAttempt(): void {
    this.endAttempt();
    this.#receivedCount = 0;
    this.#stalledBytes = 0;
    if (!this.#client.started) this.#head = undefined;
  }

  /** Handles the head of an attempt's response; returns a failure if the response must not reach the client. */
  receiveHead(
    status: number,
    head: ResponseHead,
    options: Readonly<{ mayRetry: boolean }>,
  ): AttemptFailure | undefined {
    if (head.notRun || head.misdirected) return notRunFailure(status, head);
    const success = status <= MAX_SUCCESS;
    if (success && !head.hasDigest) {
      return brokenResponse("The response has no digest");
    }
    if (this.#client.started) {
      if (success && head.isEventStream) return undefined;
      return brokenResponse(`The stream can't be resumed: status ${status}`);
    }
    if (promisesNotRun(status)) return unprovenRefusal(status);
    if (status >= MIN_SERVER_ERROR && options.mayRetry) {
      return {
        cause: "upstream_refused",
        verdict: "ran",
        detail: `The upstream failed with ${status}`,
        upstreamAtFault: false,
      };
    }
    this.#head = head;
    this.#status = status;
    const { headers } = head;
    this.#client.setHead(status, { headers, isEventStream: this.#isStream });
    return undefined;
  }

  /** Relays bytes; returns `full` if the client's buffer is full, or a failure if the event stream is invalid. */
  receiveData(
    chunk: Buffer,
    onDrained: () => void,
  ): "ok" | "full" | AttemptFailure {
    if (!this.#isStream) {
      this.#receivedCount += 1;
      const isWritable = this.#client.write(chunk, onDrained);
      return this.#lengthFailure() ?? (isWritable ? "ok" : "full");
    }
    const { events, invalid } = this.#parser.push(chunk);
    this.#stalledBytes += chunk.length;
    const accepted: Buffer[] = [];
    let failure = invalid === undefined ? undefined : brokenResponse(invalid);
    for (const event of events) {
      const position = this.#positionOf(event);
      if (position === "gap") {
        failure = brokenResponse(this.#gapDetail(event));
        break;
      }
      this.#receivedCount += 1;
      if (position === "known") continue;
      accepted.push(event.bytes);
      if (event.id === undefined) continue;
      this.#stalledBytes = 0;
      this.#lastEventId = event.id;
    }
    const writable = this.#relayEvents(accepted, onDrained);
    if (failure !== undefined) return failure;
    if (this.#stalledBytes > MAX_STALLED_BYTES) {
      return brokenResponse(
        `${this.#stalledBytes} bytes came without a new event id`,
      );
    }
    if (this.#unfinished?.hold(this.#parser.heldBytes) === false) {
      return tooMuchHeld();
    }
    return writable ? "ok" : "full";
  }

  /** Sends events in one write, as an upstream may send many small ones at once; false if the client's buffer is full. */
  #relayEvents(events: readonly Buffer[], onDrained: () => void): boolean {
    if (events.length === 0) return true;
    this.#eventsSent += events.length;
    const [first] = events;
    const bytes = events.length === 1 ? first! : Buffer.concat(events);
    return this.#client.write(bytes, onDrained);
  }

  /** Ends the client's response; returns a failure if the attempt's response is incomplete. */
  finish(): AttemptFailure | undefined {
    if (this.#head === undefined) return brokenResponse("No response head");
    if (this.#isStream && this.#parser.pendingBytes > 0) {
      return brokenResponse("The last event is incomplete");
    }
    this.#client.end();
    return this.#lengthFailure();
  }

  /** The failure of a body that differs from the length that was announced to the client. */
  #lengthFailure(): AttemptFailure | undefined {
    const { lengthError } = this.#client;
    return lengthError === undefined ? undefined : brokenResponse(lengthError);
  }

  #gapDetail({ id }: StreamEvent): string {
    const received = id === undefined ? "An event without an id" : "An event";
    return `${received} does not follow event ${this.#lastEventId}`;
  }

  /** Whether an event is next in order, already known to the client, or preceded by a gap. */
  #positionOf(event: StreamEvent): "next" | "known" | "gap" {
    if (this.#lastEventId === undefined) return "next";
    // Data without a place in the order may be an error's text.
    if (event.id === undefined) return event.hasData ? "gap" : "next";
    const id = Number(event.id);
    const last = Number(this.#lastEventId);
    if (!Number.isInteger(id) || !Number.isInteger(last)) return "next";
    if (id <= last) return "known";
    return id === last + 1 ? "next" : "gap";
  }
}

function notRunFailure(status: number, head: ResponseHead): AttemptFailure {
  return {
    cause: "upstream_refused",
    verdict: "not_run",
    detail: `The upstream did not run the request (${status})`,
    upstreamAtFault: head.misdirected || head.culprit !== undefined,
    retryAfterMs: head.retryAfterMs,
  };
}

/** A refusal that does not state that the request has not run: passed on, its status would promise just that. */
function unprovenRefusal(status: number): AttemptFailure {
  return {
    cause: "upstream_refused",
    verdict: "may_have_run",
    detail: `The upstream answered ${status} and may have run the request`,
    upstreamAtFault: false,
  };
}

function tooMuchHeld(): AttemptFailure {
  return brokenResponse("The unfinished events of all upstreams are too large");
}

function brokenResponse(detail: string): AttemptFailure {
  return {
    cause: "answer_broken",
    verdict: "may_have_run",
    detail,
    upstreamAtFault: true,
  };
}
