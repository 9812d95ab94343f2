import { connect, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import type { Millis } from "../core/time.ts";

/** A client on a plain socket, which may send anything at any time. */
export class PlainClient {
  readonly socket: Socket;
  #received = "";
  #ended: "closed" | "reset" | undefined;

  private constructor(port: number, allowHalfOpen: boolean) {
    this.socket = connect({ port, host: "127.0.0.1", allowHalfOpen });
    this.socket.on("data", (chunk) => this.#received += chunk);
    this.socket.on("error", () => this.#ended = "reset");
    this.socket.on("end", () => this.#ended ??= "closed");
    this.socket.on("close", () => this.#ended ??= "closed");
  }

  /** Connects; a half-open client goes on sending after the other side's end. */
  static connect(
    port: number,
    options: Readonly<{ halfOpen?: boolean }> = {},
  ): Promise<PlainClient> {
    const client = new PlainClient(port, options.halfOpen ?? false);
    return new Promise((resolve) =>
      client.socket.once("connect", () => resolve(client))
    );
  }

  get received(): string {
    return this.#received;
  }

  /** How the other side ended the connection; undefined while it is open. */
  get ended(): "closed" | "reset" | undefined {
    return this.#ended;
  }

  /** Statuses of the responses so far. */
  get statuses(): readonly number[] {
    return [...this.#received.matchAll(/HTTP\/1\.1 (\d{3}) /g)]
      .map(([, status]) => Number(status));
  }

  /** Hands bytes to the kernel at once. */
  write(text: string): void {
    this.socket.write(text);
  }

  close(): void {
    this.socket.destroy();
  }
}

/** Head, and body if any, of a request of the fixture's team. */
export function requestText(
  path: string,
  options: Readonly<
    { id?: string; headers?: Record<string, string>; body?: string }
  > = {},
): string {
  const { body } = options;
  const headers = {
    Host: "h.example",
    "X-Request-Id": options.id ?? "r1",
    Authorization: "Bearer key-1",
    ...(body === undefined ? {} : { "Content-Length": String(body.length) }),
    ...options.headers,
  };
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}`
  );
  return [`POST ${path} HTTP/1.1`, ...lines, "", body ?? ""].join("\r\n");
}

/**
 * Keeps the event loop from running after `arrive` has handed bytes to the kernel, as a long computation or a frozen VM
 * does. The timers that become due run before the bytes are read.
 */
export function stallLoop(ms: Millis, arrive: () => void): Promise<void> {
  return new Promise((resolve) =>
    setImmediate(() => {
      arrive();
      const until = performance.now() + ms;
      while (performance.now() < until);
      resolve();
    })
  );
}
