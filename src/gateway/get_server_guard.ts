import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { type Millis, SECOND_MS } from "../core/time.ts";
import { ClientFeed, FeedQueue } from "./requests/client_feed.ts";

/** Time without a byte after which a connection is closed, also while its response is not read. */
const IDLE_MS: Millis = 10 * SECOND_MS;

/** A connection, and its requests without a complete response. */
type GuardedConnection = {
  requests: number;
  open: number;
  newest: IncomingMessage | undefined;
  readonly lastStarted: boolean;
  feed: ClientFeed | undefined;
};

/** Limits the connections of all servers that answer GET requests, and what is read from them. */
export class GetServerGuard {
  readonly #maxConnections: number;
  readonly #queue = FeedQueue.create();
  /** In the order in which they were last used. */
  readonly #connections = new Map<Socket, GuardedConnection>();

  private constructor(maxConnections: number) {
    this.#maxConnections = maxConnections;
  }

  static create(
    options: Readonly<{ maxConnections: number }>,
  ): GetServerGuard {
    return new GetServerGuard(options.maxConnections);
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#connections.size;
  }

  /** Guards a server; a request with a body is the last on its connection, and the body is not read. */
  guard(server: Server): void {
    server.setTimeout(IDLE_MS);
    server.on("connection", (socket) => this.#open(socket));
    server.on("request", (req, res) => this.#onRequest(req, res));
  }

  #open(socket: Socket): void {
    if (this.#connections.size >= this.#maxConnections) this.#closeOldest();
    const connection: GuardedConnection = {
      requests: 0,
      open: 0,
      newest: undefined,
      lastStarted: false,
      feed: undefined,
    };
    connection.feed = ClientFeed.attach(socket, connection, {
      queue: this.#queue,
      maxBodyBytes: () => 0,
    });
    this.#connections.set(socket, connection);
    socket.once("close", () => this.#connections.delete(socket));
  }

  #onRequest(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    this.#connections.delete(socket);
    this.#connections.set(socket, connection);
    connection.requests += 1;
    connection.open += 1;
    connection.newest = req;
    if (hasBody(req)) {
      res.setHeader("connection", "close");
      connection.feed?.discard();
    }
    res.once("close", () => {
      connection.open -= 1;
      if (connection.newest === req) connection.newest = undefined;
      connection.feed?.continue();
    });
  }

  #closeOldest(): void {
    for (const [socket, { open }] of this.#connections) {
      if (open > 0) continue;
      this.#connections.delete(socket);
      socket.destroy();
      return;
    }
  }
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}
