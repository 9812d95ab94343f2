import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { performance } from "node:perf_hooks";
import type { Result } from "neverthrow";
import type { UpstreamId } from "../../core/id.ts";
import { type Problem, problem } from "../../core/problem.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { BufferPool } from "../buffer_pool.ts";
import { ByteAccumulator } from "../byte_accumulator.ts";
import type { AdmittedRequest } from "../serving/route_table.ts";
import type { AnswerTimes } from "./answer_times.ts";
import type { ClientResponse } from "./client_response.ts";
import type { RequestHead } from "./dialect.ts";
import type { HoldingStage } from "./client_budget.ts";
import type { HoldBody } from "./client_guard.ts";
import { Exchange } from "./exchange.ts";
import type { ExchangePort } from "./exchange_port.ts";
import { type DrainGate, draining } from "./drain_gate.ts";
import { ReadFirstTimer } from "../read_first_timer.ts";
import { RETRY_AFTER_MS } from "./retry_policy.ts";
import type { UnfinishedEvents } from "./unfinished_events.ts";

/** Longest time for a body, also where a request's time limit is longer. */
const MAX_BODY_MS: Millis = 30_000;

/** A request whose head was admitted. */
export type AdmittedHead = Readonly<{
  head: RequestHead;
  admitted: AdmittedRequest;
  /** Admits the request by a version that is newer than the one that did; undefined if there is none. */
  readmit: () => Result<AdmittedRequest, Problem> | undefined;
  /** Largest body that is accepted. */
  bodyBytes: number;
  arrivedAt: Timestamp;
  /** When the final response is due, by the version that admitted the head; later versions don't change it. */
  deadlineAt: Timestamp;
  response: ClientResponse;
}>;

/** Refuses a request, with the bytes of its body so far; `unread` if they are not all. */
export type RefuseRequest = (
  err: Problem,
  body: Readonly<{ received: number; unread: boolean }>,
) => void;

type IncomingRequestOptions = Readonly<{
  gate: DrainGate;
  times: AnswerTimes;
  refuse: RefuseRequest;
  /** Where the buffers of bodies come from. */
  pool?: BufferPool;
  /** Account of what the streams of all requests hold. */
  unfinished?: UnfinishedEvents;
  /** Called before the exchange starts; a refusal if it may not. */
  run?: () => Problem | undefined;
}>;

/** An admitted request, from its head to its final response: reads the body, then runs the exchange. */
export class IncomingRequest {
  readonly #port: ExchangePort;
  readonly #entry: AdmittedHead;
  readonly #gate: DrainGate;
  readonly #times: AnswerTimes;
  readonly #refuse: RefuseRequest;
  readonly #unfinished: UnfinishedEvents | undefined;
  readonly #run: () => Problem | undefined;
  #hold: HoldBody = () => {};
  #admitted: AdmittedRequest;
  readonly #body: ByteAccumulator;
  #receivedBytes = 0;
  /** When a part of the body was last received, by `performance.now`. */
  #receivedAt: Millis = -Infinity;
  #exchange: Exchange | undefined;
  #bodyTimer: ReadFirstTimer | undefined;

  private constructor(
    port: ExchangePort,
    entry: AdmittedHead,
    options: IncomingRequestOptions,
  ) {
    this.#port = port;
    this.#entry = entry;
    this.#admitted = entry.admitted;
    this.#gate = options.gate;
    this.#times = options.times;
    this.#refuse = options.refuse;
    this.#unfinished = options.unfinished;
    this.#run = options.run ?? (() => undefined);
    this.#body = ByteAccumulator.create({
      maxBytes: entry.bodyBytes,
      pool: options.pool,
    });
  }

  static create(
    port: ExchangePort,
    entry: AdmittedHead,
    options: IncomingRequestOptions,
  ): IncomingRequest {
    return new IncomingRequest(port, entry, options);
  }

  /** How far the request has come. */
  get stage(): HoldingStage {
    if (this.#exchange === undefined) return "body";
    return this.#exchange.unsent ? "queued" : "running";
  }

  /** Reads the body and starts the exchange at its end; a body that comes too slowly is refused. */
  read(
    req: IncomingMessage,
    res: ServerResponse,
    hold: HoldBody = () => {},
  ): void {
    this.#hold = hold;
    const { response, bodyBytes, arrivedAt, deadlineAt } = this.#entry;
    const leftMs = deadlineAt - arrivedAt;
    this.#bodyTimer = ReadFirstTimer.start(
      () => this.failBody(bodyLate()),
      Math.min(leftMs, MAX_BODY_MS),
      () => this.#receivedAt,
    );
    res.once("close", () => this.#onClose(res));
    req.on("data", (chunk: Buffer) => {
      this.#receivedBytes += chunk.length;
      this.#receivedAt = performance.now();
      if (response.started) return;
      if (this.#receivedBytes <= bodyBytes) {
        this.#body.append(chunk);
        hold(this.#body.capacity);
      } else {
        this.failBody(
          problem("body_too_large", "The request body is too large"),
        );
      }
    });
    req.on("end", () => {
      this.#bodyTimer?.stop();
      if (response.started || res.destroyed) return;
      this.#onBody();
    });
  }

  upstreamLost(id: UpstreamId): void {
    this.#exchange?.upstreamLost(id);
  }

  /** Refuses a request that was passed on to no upstream. */
  giveUp(err: Problem): void {
    this.failBody(err);
    this.#exchange?.refuseUnsent(err);
  }

  /** Refuses a request whose body can't be read to its end. */
  failBody(err: Problem): void {
    if (this.#exchange !== undefined || this.#entry.response.started) return;
    this.#body.release();
    this.#hold(0);
    this.#bodyTimer?.stop();
    this.#refuse(err, { received: this.#receivedBytes, unread: true });
  }

  /** Applies a planned stop, which leaves less time to wait for a place. */
  limitWait(): void {
    this.#exchange?.limitWait();
  }

  /** Gives the final response, as the daemon is about to exit. */
  cut(): void {
    const exchange = this.#exchange;
    const answered = exchange?.finished ?? this.#entry.response.started;
    if (answered) return this.#line("cut", { state: "unread" });
    if (exchange !== undefined) return exchange.cut();
    this.#line("cut", { state: "body", received: this.#receivedBytes });
    this.failBody(draining("The daemon stops before the body is read"));
  }

  /** Handles the whole body: by the version that is in force now, as one may have been taken while it was read. */
  #onBody(): void {
    const refusal = this.#readmit() ?? this.#drainRefusal() ?? this.#run();
    if (refusal !== undefined) {
      const received = this.#receivedBytes;
      return this.#refuse(refusal, { received, unread: false });
    }
    const body = this.#body.bytes;
    this.#body.reset();
    this.#exchange = this.#start(body);
  }

  /** The refusal by a newer version than the one that admitted the request; the time limit stays as it was. */
  #readmit(): Problem | undefined {
    const readmitted = this.#entry.readmit();
    if (readmitted === undefined) return undefined;
    if (readmitted.isErr()) return readmitted.error;
    this.#admitted = readmitted.value;
    return undefined;
  }

  /** The refusal if a planned stop leaves too little time; logs what a draining daemon takes. */
  #drainRefusal(): Problem | undefined {
    const { drain } = this.#gate;
    if (drain === undefined) return undefined;
    const now = this.#port.now();
    const { deadlineAt } = this.#entry;
    const req = { admitted: this.#admitted, deadlineAt };
    const refusal = this.#gate.refusal(req, now);
    if (refusal !== undefined) return refusal;
    this.#line("taken", {
      need_ms: Math.round(this.#gate.needMs(req, now)),
      left_ms: Math.round(drain.endsAt - now),
    });
    return undefined;
  }

  #onClose(res: ServerResponse): void {
    this.#bodyTimer?.stop();
    this.#body.release();
    this.#hold(0);
    if (res.writableFinished) return;
    if (this.#exchange !== undefined) this.#exchange.cancel();
    // A refusal has its line, and is whole before the rest of the body is.
    else if (!this.#entry.response.started) {
      this.#line("client_left", { placed: 0, received: this.#receivedBytes });
    }
  }

  #start(body: Buffer): Exchange {
    const { head, arrivedAt, deadlineAt, response } = this.#entry;
    const admitted = this.#admitted;
    const exchange = Exchange.create(this.#port, {
      head,
      body,
      admitted,
      arrivedAt,
      deadlineAt,
      digest: digestOf(head, { admitted, body }),
    }, {
      response,
      gate: this.#gate,
      unfinished: this.#unfinished,
      onAnswered: (ms) =>
        this.#times.record(admitted.route, ms, this.#port.now()),
    });
    exchange.start();
    return exchange;
  }

  #line(kind: string, fields: Parameters<ExchangePort["line"]>[1]): void {
    const { id } = this.#entry.head;
    const route = this.#admitted.route.name;
    this.#port.line(kind, { req: id, route, ...fields });
  }
}

function bodyLate(): Problem {
  return problem("deadline_exceeded", "The body came too late", {
    retryAfterMs: RETRY_AFTER_MS,
  });
}

/** Digest of caller, path and body, by which content that crashes upstreams is recognised when it is sent again. */
function digestOf(
  head: RequestHead,
  { admitted, body }: Readonly<{ admitted: AdmittedRequest; body: Buffer }>,
): string {
  return createHash("sha1")
    .update(admitted.team?.id ?? "")
    .update("\n")
    .update(head.path)
    .update("\n")
    .update(body)
    .digest("base64url");
}
