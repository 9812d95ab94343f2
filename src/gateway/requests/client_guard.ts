import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Problem } from "../../core/problem.ts";
import { problem } from "../../core/problem.ts";
import type { Timestamp } from "../../core/time.ts";
import {
  chooseConnection,
  chooseHolding,
  type ClientShares,
  clientSharesOf,
  POOL_FRACTION,
  type ProcessResources,
} from "./client_budget.ts";
import { BufferPool } from "../buffer_pool.ts";
import type { ClientConnection } from "./client_connection.ts";
import { ClientFeed, FeedQueue } from "./client_feed.ts";
import {
  type EndConnection,
  type GuardedRequest,
  type Held,
  HeldConnection,
  HeldRequest,
} from "./client_holding.ts";
import type { ExchangePort } from "./exchange_port.ts";
import { RETRY_AFTER_MS } from "./retry_policy.ts";

/** Times the connections of their share, beyond which a new one is closed if none of the others can be. */
const MAX_OVERSHOOT = 1.25;

/** Records the bytes that the body of a request takes; 0 when it is given up, or answered. */
export type HoldBody = (bytes: number) => void;

/** Keeps what is held for all clients within the shares of the process, by giving up what is least useful. */
export class ClientGuard {
  /** Buffers of bodies; those of refused ones would otherwise gather until they are collected. */
  readonly pool: BufferPool;
  readonly #port: Pick<ExchangePort, "now" | "line">;
  readonly #shares: ClientShares;
  readonly #maxBodyBytes: () => number;
  readonly #queue = FeedQueue.create();
  readonly #connections = new Map<ClientConnection, HeldConnection>();
  readonly #held = new Set<Held>();
  #heldBytes = 0;
  #bodyBytes = 0;
  #running = 0;
  #relieving = false;

  private constructor(
    port: Pick<ExchangePort, "now" | "line">,
    resources: ProcessResources,
    maxBodyBytes: () => number,
  ) {
    this.#port = port;
    this.#shares = clientSharesOf(resources);
    this.pool = BufferPool.create({
      maxBytes: this.#shares.bytes * POOL_FRACTION,
    });
    this.#maxBodyBytes = maxBodyBytes;
  }

  static create(
    port: Pick<ExchangePort, "now" | "line">,
    resources: ProcessResources,
    options: Readonly<{ maxBodyBytes: () => number }>,
  ): ClientGuard {
    return new ClientGuard(port, resources, options.maxBodyBytes);
  }

  /** Figures for the metrics. */
  get gauges(): Readonly<Record<string, number>> {
    return {
      client_bytes_held: this.#heldBytes,
      client_bytes_limit: this.#shares.bytes,
      client_connections: this.#connections.size,
      client_connections_limit: this.#shares.connections,
    };
  }

  /** Takes a new connection; closes it, or one that is of less use, if there are too many. */
  open(
    connection: ClientConnection,
    options: Readonly<{ end: EndConnection; onBehindLast: () => void }>,
  ): void {
    const { socket } = connection;
    const { end, onBehindLast } = options;
    const feed = ClientFeed.attach(socket, connection, {
      queue: this.#queue,
      maxBodyBytes: this.#maxBodyBytes,
      onChange: () => this.#onInput(connection),
      onBehindLast,
    });
    const now = this.#port.now();
    this.#makeRoom(socket, now);
    const held = new HeldConnection(connection, { now, feed, end });
    this.#connections.set(connection, held);
    this.#held.add(held);
    this.#set(held, held.measure());
    socket.once("close", () => {
      this.#connections.delete(connection);
      this.#set(held, 0);
      this.#held.delete(held);
    });
  }

  /** Takes an admitted request; the returned function records the bytes of its body. */
  hold(connection: ClientConnection, req: GuardedRequest): HoldBody {
    const owner = this.#connections.get(connection);
    if (owner === undefined) return () => {};
    const held = new HeldRequest(owner, { now: this.#port.now(), req });
    this.#held.add(held);
    return (bytes) => {
      owner.feed.bodyRead();
      this.#bodyBytes += bytes - held.bytes;
      if (this.#bodyBytes === 0) this.pool.clear();
      held.movedAt = this.#port.now();
      this.#set(held, bytes);
      if (bytes === 0) this.#held.delete(held);
    };
  }

  /** Reads on from a connection on which a response is complete. */
  answered(connection: ClientConnection): void {
    this.#connections.get(connection)?.feed.continue();
    this.#onInput(connection);
  }

  /** Records that a response is buffered, or was read by its client. */
  buffered(connection: ClientConnection): void {
    const held = this.#connections.get(connection);
    if (held === undefined) return;
    held.movedAt = this.#port.now();
    this.#set(held, held.measure());
  }

  /** Begins to run a request until its response is closed; a refusal if as many run as there are descriptors for. */
  run(
    connection: ClientConnection,
    res: ServerResponse,
  ): Problem | undefined {
    if (this.#running >= this.#shares.connections) {
      const err = overloaded("Too many requests run here");
      // Otherwise those that wait behind it would take each place before others ask for it.
      this.#connections.get(connection)?.close(err);
      return err;
    }
    this.#running += 1;
    res.once("close", () => this.#running -= 1);
    return undefined;
  }

  /** Reads nothing more from a connection that sends no requests. */
  discard(connection: ClientConnection): void {
    this.#connections.get(connection)?.feed.discard();
  }

  #onInput(connection: ClientConnection): void {
    const held = this.#connections.get(connection);
    if (held === undefined) return;
    // What a client sends says nothing of what it reads.
    if (connection.unreadBytes === 0) held.movedAt = this.#port.now();
    this.#set(held, held.measure());
  }

  #set(held: Held, bytes: number): void {
    this.#heldBytes += bytes - held.bytes;
    held.bytes = bytes;
    this.#relieve();
  }

  /** Gives up what is least useful until the rest fits. */
  #relieve(): void {
    if (this.#relieving) return;
    this.#relieving = true;
    for (let left = this.#held.size; left > 0; left -= 1) {
      const now = this.#port.now();
      const state = { heldBytes: this.#heldBytes, now };
      const held = chooseHolding(this.#held, this.#shares, state);
      if (held === undefined) break;
      this.#giveUp(held, overloaded("The daemon holds too much for clients"));
    }
    this.#relieving = false;
  }

  #giveUp(held: Held, err: Problem): void {
    this.#port.line("client_shed", {
      client: held.client,
      stage: held.stage,
      bytes: held.bytes,
      still_ms: Math.round(this.#port.now() - held.movedAt),
      held: this.#heldBytes,
      connections: this.#connections.size,
    });
    held.giveUp(err);
    const bytes = held.measure();
    this.#heldBytes += bytes - held.bytes;
    held.bytes = bytes;
  }

  #makeRoom(socket: Socket, now: Timestamp): void {
    const { connections } = this.#shares;
    const { size } = this.#connections;
    if (size < connections) return;
    const held = chooseConnection(this.#connections.values(), now);
    if (held !== undefined) {
      this.#giveUp(held, overloaded("The daemon has too many connections"));
      held.connection.socket.destroySoon();
    } else if (size >= connections * MAX_OVERSHOOT) {
      this.#port.line("client_shed", {
        client: `${socket.remoteAddress}:${socket.remotePort}`,
        stage: "new",
        connections: size,
      });
      socket.destroy();
    }
  }
}

function overloaded(detail: string): Problem {
  return problem("overloaded", detail, { retryAfterMs: RETRY_AFTER_MS });
}
