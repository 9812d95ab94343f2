import { createServer, type Server, type Socket } from "node:net";
import { closeServer, listenOnLoopback } from "../lib/loopback.ts";

/** Answers every packet with the same bytes, so that only its client's cost shows. */
export class CannedServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  private constructor(answer: string) {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      socket.on("error", () => socket.destroy());
      socket.on("data", () => socket.write(answer));
    });
  }

  /** Builds a server that answers with a JSON body. */
  static create(body: unknown): CannedServer {
    const text = JSON.stringify(body);
    return new CannedServer(
      "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n" +
        `content-length: ${text.length}\r\n\r\n${text}`,
    );
  }

  /** Resolves with `host:port`. */
  async listen(): Promise<string> {
    return `127.0.0.1:${await listenOnLoopback(this.#server)}`;
  }

  close(): Promise<void> {
    return closeServer(this.#server, this.#sockets);
  }
}
