import { createAdaptorServer, type HttpBindings } from "@hono/node-server";
import type { Context, Hono } from "hono";
import type { Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** The environment of a stand-in's handlers: the raw messages, so that a fault can break them. */
export type HostEnv = { Bindings: HttpBindings };
/** The context of a stand-in's handlers. */
export type HostContext = Context<HostEnv>;

/** Where a stand-in listens; port 0 takes any free one. */
export type ListenOptions = Readonly<{ address?: string; port?: number }>;

const LOOPBACK = "127.0.0.1";

/** One HTTP listener whose open connections can be broken. */
export class HttpHost {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  private constructor(app: Hono<HostEnv>) {
    this.#server = createAdaptorServer({
      fetch: app.fetch,
      autoCleanupIncoming: false,
    }) as Server;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  static create(app: Hono<HostEnv>): HttpHost {
    return new HttpHost(app);
  }

  /** Starts listening; resolves with `host:port`. */
  listen(options: ListenOptions = {}): Promise<string> {
    const host = options.address ?? LOOPBACK;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(options.port ?? 0, host, () => {
        const { address, port } = this.#server.address() as AddressInfo;
        resolve(`${address}:${port}`);
      });
    });
  }

  /** Stops listening and resets every open connection, as a crashed process would. */
  crash(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}
