import type { Result } from "neverthrow";
import type { Event } from "../core/event.ts";
import type { RecordId, StreamName } from "../core/id.ts";
import type { AppendRecord, Intent } from "../core/intent.ts";
import { type Millis, SECOND_MS } from "../core/time.ts";
import {
  CLAIMS_STREAM,
  CONFIG_STREAM,
  KEYS_STREAM,
  LEASES_STREAM,
  RECORDS_STREAM,
} from "../fold/streams.ts";
import type { LogClient, LogError } from "../platform/log_client.ts";
import type { LogBatch } from "../wire/log.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Appends per second that the log accepts from all daemons together. */
export const FLEET_APPENDS_PER_SECOND = 300;
const LONG_POLL_MS: Millis = 4 * SECOND_MS;
const MAX_READ_RECORDS = 1_000;
/** Time-out of a response, in addition to the long-poll time of a read. */
const RESPONSE_TIMEOUT_MS: Millis = 3 * SECOND_MS;
const MAX_BATCH_RECORDS = 500;
const MAX_BATCH_BYTES = 1_048_576;
const MAX_QUEUED_RECORDS = 10_000;
const MAX_IN_FLIGHT = 4;
const BURST_MS: Millis = SECOND_MS;

/** Streams in the order in which their records are sent when the append budget is short. */
const STREAMS_BY_PRIORITY: readonly StreamName[] = [
  CONFIG_STREAM,
  KEYS_STREAM,
  LEASES_STREAM,
  CLAIMS_STREAM,
  RECORDS_STREAM,
];

/** Options of the log adapter. */
export type LogAdapterOptions = Readonly<{
  /** Number of daemons that share the append budget, including this daemon. */
  liveDaemons: () => number;
  onEvent: (event: Event) => void;
  appendsPerSecond?: number;
}>;

type Queue = { waiting: AppendRecord[]; inFlight: number };

/** Runs the core's reads and appends of the log; each has a time-out. */
export class LogAdapter {
  readonly #client: LogClient;
  readonly #options: LogAdapterOptions;
  readonly #bucket: TokenBucket;
  readonly #queues = new Map<StreamName, Queue>();
  readonly #latestReads = new Map<StreamName, number>();
  #timer: ReturnType<typeof setTimeout> | undefined;
  #closed = false;

  private constructor(client: LogClient, options: LogAdapterOptions) {
    this.#client = client;
    this.#options = options;
    this.#bucket = TokenBucket.create(BURST_MS);
    for (const stream of STREAMS_BY_PRIORITY) {
      this.#queues.set(stream, { waiting: [], inFlight: 0 });
    }
  }

  static create(client: LogClient, options: LogAdapterOptions): LogAdapter {
    return new LogAdapter(client, options);
  }

  /** Queues records for appending; refuses them at once if the queue is full. */
  append(intent: Extract<Intent, { type: "append" }>): void {
    const queue = this.#queues.get(intent.stream);
    const full = queue === undefined ||
      queue.waiting.length + intent.records.length > MAX_QUEUED_RECORDS;
    if (full || this.#closed) {
      const ids = intent.records.map((record) => record.id);
      return this.#postAppendEnded(intent.stream, ids, { result: "refused" });
    }
    queue.waiting.push(...intent.records);
    this.#schedule(0);
  }

  /** Reads a stream, as a long poll if the intent asks for it; the result of an earlier read of the stream is ignored. */
  async read(intent: Extract<Intent, { type: "read_log" }>): Promise<void> {
    const { stream, from } = intent;
    const waitMs = intent.wait ? LONG_POLL_MS : 0;
    const readNumber = (this.#latestReads.get(stream) ?? 0) + 1;
    this.#latestReads.set(stream, readNumber);
    const result = await withTimeout(
      this.#client.read(stream, from, { limit: MAX_READ_RECORDS, waitMs }),
      waitMs + RESPONSE_TIMEOUT_MS,
    );
    if (this.#closed || this.#latestReads.get(stream) !== readNumber) return;
    this.#options.onEvent(readEvent(stream, result));
  }

  /** Stops sending; reads and appends in flight post no event. */
  close(): void {
    this.#closed = true;
    clearTimeout(this.#timer);
  }

  #schedule(delayMs: Millis): void {
    if (this.#timer !== undefined || this.#closed) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#flush();
    }, delayMs);
  }

  #flush(): void {
    for (const [stream, queue] of this.#queues) {
      while (queue.waiting.length > 0 && queue.inFlight < MAX_IN_FLIGHT) {
        const waitMs = this.#bucket.take(this.#rate());
        if (waitMs > 0) return this.#schedule(waitMs);
        void this.#send(stream, queue, takeBatch(queue.waiting));
      }
    }
  }

  #rate(): number {
    const budget = this.#options.appendsPerSecond ?? FLEET_APPENDS_PER_SECOND;
    return budget / Math.max(1, this.#options.liveDaemons());
  }

  async #send(
    stream: StreamName,
    queue: Queue,
    records: readonly AppendRecord[],
  ): Promise<void> {
    queue.inFlight += 1;
    const values = records.map((record) => record.body);
    const result = await withTimeout(
      this.#client.append(stream, values),
      RESPONSE_TIMEOUT_MS,
    );
    queue.inFlight -= 1;
    if (this.#closed) return;
    this.#schedule(0);
    this.#postAppendEnded(stream, records.map((record) => record.id), {
      result: appendResult(result),
      retryAfterMs: retryAfterOf(result),
    });
  }

  #postAppendEnded(
    stream: StreamName,
    records: readonly RecordId[],
    end: {
      result: "appended" | "refused" | "unknown";
      retryAfterMs?: Millis;
    },
  ): void {
    this.#options.onEvent({ type: "append_ended", stream, records, ...end });
  }
}

/** Resolves to undefined if the operation takes longer than the time-out. */
async function withTimeout<T>(
  operation: PromiseLike<Result<T, LogError>>,
  timeoutMs: Millis,
): Promise<Result<T, LogError> | undefined> {
  let timer: ReturnType<typeof setTimeout> | undefined;
  const timeout = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), timeoutMs);
  });
  try {
    return await Promise.race([operation, timeout]);
  } finally {
    clearTimeout(timer);
  }
}

function takeBatch(waiting: AppendRecord[]): readonly AppendRecord[] {
  let bytes = 0;
  let count = 0;
  for (const record of waiting) {
    bytes += record.body.length;
    if (count > 0 && bytes > MAX_BATCH_BYTES) break;
    count += 1;
    if (count === MAX_BATCH_RECORDS) break;
  }
  return waiting.splice(0, count);
}

function readEvent(
  stream: StreamName,
  result: Result<LogBatch, LogError> | undefined,
): Event {
  if (result === undefined) return { type: "log_unreachable", stream };
  if (result.isErr()) {
    const { error } = result;
    return error.code === "gone"
      ? { type: "log_gap", stream, firstOffset: error.firstOffset }
      : { type: "log_unreachable", stream };
  }
  const { records, next_offset, end_offset } = result.value;
  return {
    type: "log_read",
    stream,
    records,
    nextOffset: next_offset,
    endOffset: end_offset,
  };
}

function appendResult(
  result: Result<unknown, LogError> | undefined,
): "appended" | "refused" | "unknown" {
  if (result === undefined) return "unknown";
  if (result.isOk()) return "appended";
  return result.error.code === "refused" ? "refused" : "unknown";
}

function retryAfterOf(
  result: Result<unknown, LogError> | undefined,
): Millis | undefined {
  if (result === undefined || result.isOk()) return undefined;
  return result.error.code === "refused"
    ? result.error.retryAfterMs
    : undefined;
}
