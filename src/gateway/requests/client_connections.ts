import { Buffer } from "node:buffer";
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { type Problem, problem } from "../../core/problem.ts";
import { type Millis, timerMs } from "../../core/time.ts";
import { PROBLEM_TYPE, problemBody } from "../../http/problem_body.ts";
import { ClientConnection } from "./client_connection.ts";
import type { ClientGuard } from "./client_guard.ts";
import { LINGER_MS, proxyProblemStatus } from "./client_response.ts";
import type { ExchangePort } from "./exchange_port.ts";
import { HeldLimit } from "./held_limit.ts";

/** Time limits of client connections: for the head of a request, and without any request. */
export type ConnectionLimits = Readonly<{ headMs: Millis; idleMs: Millis }>;

/** Why a connection ends while no request on it is answered. */
type EndCause =
  /** No request for the idle limit. */
  | "idle"
  /** The head of a request was not complete in time. */
  | "head_late"
  /** What was sent can't be read as a request. */
  | "unreadable"
  /** The client asked for a tunnel. */
  | "tunnel"
  /** Behind the last response came another request. */
  | "behind_last"
  /** The client closed or reset the connection within a request. */
  | "client_left"
  /** The daemon holds too much for clients. */
  | "overloaded";

/** Limits until a configuration is loaded. */
const INITIAL_HEAD_MS: Millis = 5_000;
const INITIAL_IDLE_MS: Millis = 15_000;
/** How often the server is to check connections for late heads. */
export const CHECK_INTERVAL_MS: Millis = 1_000;
/** Added to the configured idle time in what clients are told. */
const PROMISE_MARGIN_MS: Millis = 1_000;
/** Added to what clients are told, so that the server doesn't close a connection that a client still reuses. */
const IDLE_MARGIN_MS: Millis = 1_000;

/** A timer that is later than this shows that the event loop or the whole VM stood still. */
const STALL_MS: Millis = 250;
/** Time for what was sent during a stall to arrive. */
const STALL_GRACE_MS: Millis = 500;

const HEAD_LATE_STATUS = 408;
/** What a client's own end of its connection is reported as. */
const UNFINISHED_CODE = "HPE_INVALID_EOF_STATE";
const PARSER_ERROR = /^HPE_/;

/** Ends of client connections that are not the end of a response: answers them where that is possible, and logs them. */
export class ClientConnections {
  readonly #server: Server;
  readonly #port: Pick<ExchangePort, "now" | "line">;
  readonly #guard: ClientGuard;
  readonly #connections = new WeakMap<Duplex, ClientConnection>();
  readonly #headLimit = HeldLimit.create(INITIAL_HEAD_MS);
  readonly #idleLimit = HeldLimit.create(INITIAL_IDLE_MS);
  #headTimer: NodeJS.Timeout | undefined;

  private constructor(
    server: Server,
    port: Pick<ExchangePort, "now" | "line">,
    guard: ClientGuard,
  ) {
    this.#server = server;
    this.#port = port;
    this.#guard = guard;
    this.#applyHeadLimit();
    this.#server.keepAliveTimeout = INITIAL_IDLE_MS + PROMISE_MARGIN_MS;
    server.on("connection", (socket) => this.#open(this.#of(socket)));
    server.on("timeout", (socket) => this.#onTimeout(this.#of(socket)));
    server.on(
      "clientError",
      (err: NodeJS.ErrnoException, socket) =>
        this.#onError(this.#of(socket as Socket), err),
    );
    server.on("connect", (req, socket) => {
      const connection = this.#of(socket as Socket);
      guard.discard(connection);
      // The server has taken its own listeners off the socket.
      socket.on("error", () => socket.destroy());
      socket.resume();
      const detail = `${req.method} can't be served`;
      this.#end(connection, "tunnel", problem("bad_request", detail));
    });
  }

  static create(
    server: Server,
    port: Pick<ExchangePort, "now" | "line">,
    options: Readonly<{ guard: ClientGuard }>,
  ): ClientConnections {
    return new ClientConnections(server, port, options.guard);
  }

  /** Applies the limits of a new configuration, also to open connections. */
  applyLimits({ headMs, idleMs }: ConnectionLimits): void {
    const now = this.#port.now();
    this.#headLimit.replace(headMs, now);
    this.#applyHeadLimit();
    this.#idleLimit.replace(idleMs, now);
    // Only told to clients; when its timer fires, a connection is held for what is in force then.
    this.#server.keepAliveTimeout = timerMs(idleMs + PROMISE_MARGIN_MS);
  }

  /** Records a request whose head was read, and returns its connection; undefined if the request can't be answered. */
  opened(
    req: IncomingMessage,
    res: ServerResponse,
  ): ClientConnection | undefined {
    const connection = this.#of(req.socket);
    if (connection.lastStarted) {
      this.#line(connection, "behind_last", {});
      this.#guard.discard(connection);
      req.resume();
      return undefined;
    }
    const toldIdleMs = this.#server.keepAliveTimeout;
    connection.opened(req, res, { toldIdleMs });
    return connection;
  }

  #open(connection: ClientConnection): void {
    this.#guard.open(connection, {
      end: (one, err) => this.#end(one, "overloaded", err),
      onBehindLast: () => this.#line(connection, "behind_last", {}),
    });
  }

  #of(socket: Socket): ClientConnection {
    const known = this.#connections.get(socket);
    if (known !== undefined) return known;
    const connection = ClientConnection.create(socket, () => this.#port.now());
    this.#connections.set(socket, connection);
    return connection;
  }

  /** Sets the time for a head, which the server compares at each check with what heads have taken so far. */
  #applyHeadLimit(): void {
    const now = this.#port.now();
    const limitMs = this.#headLimit.at(now) + CHECK_INTERVAL_MS;
    this.#server.headersTimeout = timerMs(limitMs);
    clearTimeout(this.#headTimer);
    const changesAt = this.#headLimit.nextChangeAt(now);
    if (changesAt === undefined) return;
    const apply = () => this.#applyHeadLimit();
    this.#headTimer = setTimeout(apply, timerMs(changesAt - now)).unref();
  }

  /** How long a connection is held idle: what its client was last told, or may know of the configuration. */
  #idleLimitOf({ toldIdleMs }: ClientConnection): Millis {
    const configuredMs = this.#idleLimit.at(this.#port.now()) +
      PROMISE_MARGIN_MS;
    return Math.max(toldIdleMs, configuredMs) + IDLE_MARGIN_MS;
  }

  /** Closes a connection that has been idle for as long as its client may rely on it, or waits for the rest of that. */
  #onTimeout(connection: ClientConnection): void {
    const { socket, idleMs } = connection;
    if (connection.open > 0 || connection.receivedBytes > 0) return;
    const limitMs = this.#idleLimitOf(connection);
    const leftMs = limitMs - idleMs;
    if (leftMs > 0) {
      socket.setTimeout(timerMs(leftMs));
    } else if (leftMs < -STALL_MS && connection.tryExcuse()) {
      socket.setTimeout(STALL_GRACE_MS);
    } else {
      this.#unlessMoreArrives(connection, () => {
        this.#line(connection, "idle", { limitMs });
        socket.destroy();
      });
    }
  }

  /** A head is late, or nothing has come since the connection opened, which makes it an idle one. */
  #onLateHead(connection: ClientConnection): void {
    if (connection.requests === 0 && connection.receivedBytes === 0) {
      return this.#onTimeout(connection);
    }
    const end = () => {
      const late = problem("bad_request", "The request head came too late");
      this.#end(connection, "head_late", late, HEAD_LATE_STATUS);
    };
    this.#unlessMoreArrives(connection, end, () => {
      // The rest of it was on its way when the time was over.
      const { requests } = connection;
      const endIfIncomplete = () => {
        const isGone = connection.socket.destroyed;
        if (!isGone && connection.requests === requests) end();
      };
      setTimeout(endIfIncomplete, STALL_GRACE_MS).unref();
    });
  }

  /** Timers run before sockets are read: waits until they were, and calls `otherwise` if only a part of a head arrived. */
  #unlessMoreArrives(
    connection: ClientConnection,
    act: () => void,
    otherwise: () => void = () => {},
  ): void {
    const { requests, receivedBytes, socket } = connection;
    setImmediate(() => {
      if (socket.destroyed || connection.requests !== requests) return;
      if (connection.receivedBytes === receivedBytes) act();
      else otherwise();
    });
  }

  #onError(connection: ClientConnection, err: NodeJS.ErrnoException): void {
    const { code = "", message } = err;
    if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
      return this.#onLateHead(connection);
    }
    if (!PARSER_ERROR.test(code) || code === UNFINISHED_CODE) {
      // A request whose head was read logs its own end.
      const { open, closing, receivedBytes } = connection;
      if (open === 0 && !closing && receivedBytes > 0) {
        this.#line(connection, "client_left", { detail: code });
      }
      connection.socket.destroy();
      return;
    }
    this.#guard.discard(connection);
    const unreadable = code === "HPE_HEADER_OVERFLOW"
      ? problem("head_too_large", "The request head is too large")
      : problem("bad_request", `The request can't be read: ${message}`);
    this.#end(connection, "unreadable", unreadable);
  }

  /** Answers what is no request, after the requests before it, and closes the connection. */
  #end(
    connection: ClientConnection,
    cause: EndCause,
    err: Problem,
    status = proxyProblemStatus(err),
  ): void {
    if (connection.closing) return;
    const { socket, open } = connection;
    const { detail } = err;
    if (open > 0) {
      this.#line(connection, cause, { detail });
      return connection.closeAfterOpen(err);
    }
    this.#line(connection, cause, { detail, status });
    connection.closeAfterOpen(err);
    socket.end(answerText(err, status));
    setTimeout(() => socket.destroy(), LINGER_MS).unref();
  }

  #line(
    connection: ClientConnection,
    cause: EndCause,
    fields: Readonly<{ detail?: string; status?: number; limitMs?: Millis }>,
  ): void {
    const { limitMs, ...rest } = fields;
    this.#port.line("connection_ended", {
      cause,
      ...rest,
      open: connection.open,
      requests: connection.requests,
      received: connection.receivedBytes,
      idle_ms: Math.round(connection.idleMs),
      limit_ms: limitMs === undefined ? undefined : Math.round(limitMs),
    });
  }
}

/** The whole response to bytes that are no request. */
function answerText(err: Problem, status: number): string {
  const body = problemBody({ ...err }, { status });
  return [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    `Content-Type: ${PROBLEM_TYPE}`,
    `Content-Length: ${Buffer.byteLength(body)}`,
    "Connection: close",
    "",
    body,
  ].join("\r\n");
}
