import { connect, createServer, type Server, type Socket } from "node:net";
import { closeServer, listenOnLoopback } from "../lib/loopback.ts";

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
    return `127.0.0.1:${await listenOnLoopback(this.#server)}`;
  }

  close(): Promise<void> {
    return closeServer(this.#server, this.#sockets);
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
