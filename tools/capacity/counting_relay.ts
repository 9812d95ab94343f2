import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";

/** Bytes of the TCP payload in both directions. */
export type Traffic = Readonly<{ toServer: number; toClient: number }>;

/** Passes connections on to one address and counts every byte of payload. */
export class CountingRelay {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #toServer = 0;
  #toClient = 0;

  private constructor(target: string) {
    this.#server = createServer((client) => this.#pass(client, target));
  }

  /** Builds a relay to `host:port`. */
  static create(target: string): CountingRelay {
    return new CountingRelay(target);
  }

  get traffic(): Traffic {
    return { toServer: this.#toServer, toClient: this.#toClient };
  }

  /** Both directions together. */
  get bytes(): number {
    return this.#toServer + this.#toClient;
  }

  /** Resolves with `host:port`. */
  async listen(): Promise<string> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const address = this.#server.address();
    const port = typeof address === "object" ? address?.port : 0;
    return `127.0.0.1:${port}`;
  }

  async close(): Promise<void> {
    const closed = once(this.#server, "close");
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
    await closed;
  }

  #pass(client: Socket, target: string): void {
    const [host, port] = target.split(":");
    const server = connect(Number(port), host);
    client.on("data", (chunk) => this.#toServer += chunk.length);
    server.on("data", (chunk) => this.#toClient += chunk.length);
    this.#join(client, server);
    this.#join(server, client);
  }

  #join(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    from.setNoDelay(true);
    from.pipe(to);
    from.on("error", () => to.destroy());
    from.on("close", () => {
      this.#sockets.delete(from);
      to.destroy();
    });
  }
}
