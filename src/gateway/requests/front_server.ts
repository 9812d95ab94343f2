import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { UpstreamId } from "../../core/id.ts";
import { type Problem, problem } from "../../core/problem.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import { AnswerTimes } from "./answer_times.ts";
import {
  CHECK_INTERVAL_MS,
  ClientConnections,
  type ConnectionLimits,
} from "./client_connections.ts";
import { DEFAULT_RESOURCES, type ProcessResources } from "./client_budget.ts";
import { ClientGuard } from "./client_guard.ts";
import { ClientResponse } from "./client_response.ts";
import type { RequestHead } from "./dialect.ts";
import { type Drain, DrainGate } from "./drain_gate.ts";
import { createHttpServer } from "../http1/http_server.ts";
import { deadlineOf } from "./exchange_util.ts";
import type { ExchangePort } from "./exchange_port.ts";
import { type AdmittedHead, IncomingRequest } from "./incoming_request.ts";
import type { RouteTable } from "../serving/route_table.ts";
import { UnfinishedEvents } from "./unfinished_events.ts";

/** Largest head that the parser accepts; the configured limit is checked afterwards. */
const PARSER_HEAD_BYTES = 64 * 1024;
const NOT_CONFIGURED_RETRY_AFTER_MS: Millis = 500;

/** State of the daemon that the front server reads. */
export type FrontState = Readonly<{
  routes: () => RouteTable | undefined;
  drain: () => Drain | undefined;
}>;

/** HTTP server for clients; rejects requests that can't be served at once, and runs an exchange for the others. */
export class FrontServer {
  readonly #port: ExchangePort;
  readonly #state: FrontState;
  readonly #server: Server;
  readonly #connections: ClientConnections;
  readonly #guard: ClientGuard;
  readonly #unfinished: UnfinishedEvents;
  /** Admitted requests without a final response. */
  readonly #requests = new Set<IncomingRequest>();
  readonly #gate: DrainGate;
  readonly #times = AnswerTimes.create();
  #openRequests = 0;

  private constructor(
    port: ExchangePort,
    state: FrontState,
    resources: ProcessResources,
  ) {
    this.#port = port;
    this.#state = state;
    this.#guard = ClientGuard.create(port, resources, {
      maxBodyBytes: () => state.routes()?.serving.limits.bodyBytes ?? 0,
    });
    this.#unfinished = UnfinishedEvents.create(resources);
    this.#gate = DrainGate.create(state.drain, this.#times);
    this.#server = createHttpServer(
      {
        maxHeaderSize: PARSER_HEAD_BYTES,
        // The time for a body ends with the request's own.
        requestTimeout: 0,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        noDelay: true,
        // Such a request is refused with a line, as all others.
        requireHostHeader: false,
      },
      (req, res) => this.#serve(req, res),
    );
    this.#connections = ClientConnections.create(this.#server, port, {
      guard: this.#guard,
    });
  }

  static create(
    port: ExchangePort,
    state: FrontState,
    options: Readonly<{ resources?: ProcessResources }> = {},
  ): FrontServer {
    const { resources = DEFAULT_RESOURCES } = options;
    return new FrontServer(port, state, resources);
  }

  /** What is held for clients and of upstreams, and the limits. */
  get gauges(): Readonly<Record<string, number>> {
    return { ...this.#guard.gauges, ...this.#unfinished.gauges };
  }

  /** Number of requests without a final response. */
  get openRequests(): number {
    return this.#openRequests;
  }

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port }, () => resolve());
    });
  }

  /** Applies the limits of a new configuration. */
  applyLimits(limits: ConnectionLimits): void {
    this.#connections.applyLimits(limits);
  }

  upstreamLost(id: UpstreamId): void {
    for (const one of this.#requests) one.upstreamLost(id);
  }

  /** Applies a planned stop to the requests that are open when it begins. */
  limitWaits(): void {
    for (const one of this.#requests) one.limitWait();
  }

  /** Gives each open request its final response, as the daemon is about to exit. */
  cut(): void {
    for (const one of [...this.#requests]) one.cut();
  }

  /** Stops accepting connections, and closes idle ones. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  #serve(req: IncomingMessage, res: ServerResponse): void {
    const arrivedAt = this.#port.now();
    const connection = this.#connections.opened(req, res);
    if (connection === undefined) return;
    this.#openRequests += 1;
    res.once("close", () => {
      this.#openRequests -= 1;
      this.#guard.answered(connection);
    });
    const response = ClientResponse.create(res, (unread) => {
      const closes = this.#gate.drain !== undefined;
      return connection.startResponse(req, { unread, closes });
    }, { onBuffered: () => this.#guard.buffered(connection) });
    const admitted = this.#admit(req, arrivedAt);
    if ("problem" in admitted) {
      // The body is not read, so the connection can't be reused.
      const unread = req.headers["content-length"] !== undefined ||
        req.headers["transfer-encoding"] !== undefined ||
        req.headers.host === undefined;
      this.#refuse(response, admitted, unread ? req : undefined);
      return;
    }
    const { head } = admitted;
    const one = IncomingRequest.create(this.#port, {
      ...admitted,
      arrivedAt,
      response,
    }, {
      gate: this.#gate,
      times: this.#times,
      refuse: (err, { received, unread }) =>
        this.#refuse(
          response,
          { head, problem: err, received },
          unread ? req : undefined,
        ),
      pool: this.#guard.pool,
      unfinished: this.#unfinished,
      run: () => this.#guard.run(connection, res),
    });
    this.#requests.add(one);
    connection.admitted(req, (err) => one.failBody(err));
    res.once("close", () => this.#requests.delete(one));
    one.read(req, res, this.#guard.hold(connection, one));
  }

  #admit(
    req: IncomingMessage,
    now: Timestamp,
  ): AcceptedRequest | RejectedRequest {
    const decoded = this.#port.dialect.decodeRequest(
      req.method ?? "",
      req.url ?? "",
      req.rawHeaders,
    );
    if (decoded.isErr()) return { problem: decoded.error };
    const head = decoded.value;
    const closed = this.#gate.closed(now);
    if (closed !== undefined) return { head, problem: closed };
    const routes = this.#state.routes();
    if (routes === undefined) {
      const notConfigured = problem(
        "not_configured",
        "No configuration has been loaded yet",
        {
          retryAfterMs: NOT_CONFIGURED_RETRY_AFTER_MS,
        },
      );
      return { head, problem: notConfigured };
    }
    const { limits } = routes.serving;
    if (headBytesOf(req) > limits.headBytes) {
      return {
        head,
        problem: problem("head_too_large", "The request head is too large"),
      };
    }
    if (Number(req.headers["content-length"] ?? 0) > limits.bodyBytes) {
      return {
        head,
        problem: problem("body_too_large", "The request body is too large"),
      };
    }
    const admitted = routes.admit(head);
    if (admitted.isErr()) return { head, problem: admitted.error };
    const { timeoutMs } = admitted.value.route;
    const deadlineAt = deadlineOf(now, { timeoutMs, leftMs: head.leftMs });
    const due = { admitted: admitted.value, deadlineAt };
    const refusal = this.#gate.refusal(due, now);
    if (refusal !== undefined) return { head, problem: refusal };
    const readmit = () => this.#readmit(head, routes);
    const { bodyBytes } = limits;
    return { head, ...due, readmit, bodyBytes };
  }

  /** Admits a request by the version in force, if that is another one than it was admitted by. */
  #readmit(
    head: RequestHead,
    before: RouteTable,
  ): ReturnType<RouteTable["admit"]> | undefined {
    const current = this.#state.routes();
    if (current === undefined || current === before) return undefined;
    const admitted = current.admit(head);
    this.#port.line("readmitted", {
      req: head.id,
      from: before.serving.version,
      to: current.serving.version,
      route: admitted.map(({ route }) => route.name).unwrapOr(undefined),
    });
    return admitted;
  }

  #refuse(
    response: ClientResponse,
    rejected: RejectedRequest,
    unread: IncomingMessage | undefined,
  ): void {
    const { head } = rejected;
    const err = rejected.problem;
    this.#port.observe.problem(err.code, err.verdict);
    this.#port.line("turned_away", {
      req: head?.id,
      host: head?.host,
      path: head?.path,
      code: err.code,
      detail: err.detail,
      received: rejected.received,
      version: this.#state.routes()?.serving.version,
    });
    response.sendProblem(err, { unread });
  }
}

type AcceptedRequest = Omit<AdmittedHead, "arrivedAt" | "response">;
type RejectedRequest = Readonly<
  { head?: RequestHead; problem: Problem; received?: number }
>;

function headBytesOf(req: IncomingMessage): number {
  let size = (req.url ?? "").length;
  for (const part of req.rawHeaders) size += part.length + 2;
  return size;
}
