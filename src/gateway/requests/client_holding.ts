import type { Problem } from "../../core/problem.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { ConnectionUse, Holding, HoldingStage } from "./client_budget.ts";
import type { ClientConnection } from "./client_connection.ts";
import type { ClientFeed } from "./client_feed.ts";

/** Memory of a connection, and of a request with its response, without what was received. */
const CONNECTION_BYTES = 8 << 10;
const REQUEST_BYTES = 8 << 10;
/** Memory for a byte of a head, which the parser keeps as text. */
const HEAD_FACTOR = 2;

/** What the guard gives up when memory or descriptors are short. */
export abstract class Held implements Holding {
  bytes = 0;
  movedAt: Timestamp;

  constructor(now: Timestamp) {
    this.movedAt = now;
  }

  abstract get stage(): HoldingStage;
  abstract get client(): string;
  /** Bytes that are held now, by what is known without a further part. */
  abstract measure(): number;
  abstract giveUp(err: Problem): void;
}

/** Ends a connection that has no request to answer, or after the answers to those that it has. */
export type EndConnection = (
  connection: ClientConnection,
  err: Problem,
) => void;

/** A connection with what was received on it and is no body. */
export class HeldConnection extends Held implements ConnectionUse {
  readonly connection: ClientConnection;
  readonly feed: ClientFeed;
  readonly client: string;
  readonly #end: EndConnection;

  constructor(
    connection: ClientConnection,
    options: Readonly<
      { now: Timestamp; feed: ClientFeed; end: EndConnection }
    >,
  ) {
    super(options.now);
    const { remoteAddress, remotePort } = connection.socket;
    this.connection = connection;
    this.feed = options.feed;
    this.client = `${remoteAddress}:${remotePort}`;
    this.#end = options.end;
  }

  get requests(): number {
    return this.connection.requests;
  }

  get idleMs(): Millis {
    return this.connection.idleMs;
  }

  get stage(): HoldingStage {
    const { open, newest, receivedBytes, socket } = this.connection;
    if (open === 0) return receivedBytes > 0 ? "head" : "idle";
    if (socket.writableLength > 0) return "unread";
    if (newest?.complete === false) return open === 1 ? "body" : "running";
    return this.feed.waits ? "behind" : "running";
  }

  measure(): number {
    const { open, socket, unreadBytes } = this.connection;
    if (socket.destroyed) return 0;
    return CONNECTION_BYTES + open * REQUEST_BYTES + unreadBytes +
      this.feed.heldBytes * HEAD_FACTOR;
  }

  giveUp(err: Problem): void {
    const { stage, connection } = this;
    const answers = stage === "behind" || stage === "body";
    if (!answers || connection.lastStarted) {
      connection.destroy();
      return;
    }
    if (stage === "behind") this.feed.discard();
    this.#end(connection, err);
  }

  /** Reads no further request, and closes the connection after the answers to those that are open. */
  close(err: Problem): void {
    this.feed.discard();
    this.#end(this.connection, err);
  }
}

/** An admitted request, as the guard sees it. */
export type GuardedRequest = Readonly<{
  stage: HoldingStage;
  /** Refuses the request, which was passed on to no upstream. */
  giveUp: (err: Problem) => void;
}>;

/** A request with its body. */
export class HeldRequest extends Held {
  readonly #connection: HeldConnection;
  readonly #req: GuardedRequest;

  constructor(
    connection: HeldConnection,
    options: Readonly<{ now: Timestamp; req: GuardedRequest }>,
  ) {
    super(options.now);
    this.#connection = connection;
    this.#req = options.req;
  }

  get client(): string {
    return this.#connection.client;
  }

  get stage(): HoldingStage {
    return this.#req.stage;
  }

  /** Nothing, as the body goes with the request. */
  measure(): number {
    return 0;
  }

  giveUp(err: Problem): void {
    this.#req.giveUp(err);
  }
}
