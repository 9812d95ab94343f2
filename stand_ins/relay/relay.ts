import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { connect } from "node:net";
import { z } from "zod";
import type { Millis } from "../../src/core/time.ts";

const MAX_CONNECTIONS = 2_000;
const LOOPBACK = "127.0.0.1";

/** What happens to connections that are opened from now on. */
export const NewConnectionsSchema = z.enum([
  "pass",
  /** Refused by the operating system; nothing listens. */
  "refuse",
  /** Accepted and reset at once. */
  "reset",
  /** Accepted, then silent for good. */
  "freeze",
]);
/** What happens to connections that are opened from now on. */
export type NewConnections = z.infer<typeof NewConnectionsSchema>;

/** Where a relay listens and what it leads to, as `host:port`. */
export type RelayConfig = Readonly<{ target: string }>;

type Link = { client: Socket; server: Socket | undefined; frozen: boolean };

/** A TCP relay whose connections can be frozen, cut, delayed or refused. */
export class Relay {
  readonly #target: string;
  readonly #links = new Set<Link>();
  #listener: Server | undefined;
  #listening = { address: LOOPBACK, port: 0 };
  #mode: NewConnections = "pass";
  #delayMs: Millis = 0;
  #accepted = 0;

  private constructor(cfg: RelayConfig) {
    this.#target = cfg.target;
  }

  static create(cfg: RelayConfig): Relay {
    return new Relay(cfg);
  }

  /** Starts listening; resolves with `host:port`. */
  async listen(
    options: { address?: string; port?: number } = {},
  ): Promise<string> {
    this.#listening = await this.#bind({
      address: options.address ?? LOOPBACK,
      port: options.port ?? 0,
    });
    return `${this.#listening.address}:${this.#listening.port}`;
  }

  /** Makes the connections that are open now silent for good; new ones work. Returns their number. */
  freezeOpen(): number {
    for (const link of this.#links) link.frozen = true;
    return this.#links.size;
  }

  /** Resets the connections that are open now, at both ends. Returns their number. */
  cutOpen(): number {
    const count = this.#links.size;
    for (const link of [...this.#links]) this.#reset(link);
    return count;
  }

  /** Says what happens to connections that are opened from now on. */
  async setNew(mode: NewConnections): Promise<void> {
    this.#mode = mode;
    if (mode === "refuse") {
      this.#listener?.close();
      this.#listener = undefined;
    } else if (this.#listener === undefined) {
      await this.#bind(this.#listening);
    }
  }

  /** Delays whatever passes in either direction. */
  setDelay(ms: Millis): void {
    this.#delayMs = ms;
  }

  /** Returns how many connections were accepted, are open, and are frozen. */
  counts(): Readonly<{ accepted: number; open: number; frozen: number }> {
    const frozen = [...this.#links].filter((link) => link.frozen).length;
    return { accepted: this.#accepted, open: this.#links.size, frozen };
  }

  close(): Promise<void> {
    for (const link of [...this.#links]) this.#reset(link);
    const listener = this.#listener;
    if (listener === undefined) return Promise.resolve();
    return new Promise((resolve) => listener.close(() => resolve()));
  }

  #bind(
    where: { address: string; port: number },
  ): Promise<{ address: string; port: number }> {
    const listener = createServer(
      { allowHalfOpen: true },
      (client) => this.#accept(client),
    );
    this.#listener = listener;
    return new Promise((resolve, reject) => {
      listener.once("error", reject);
      listener.listen(where.port, where.address, () => {
        const { address, port } = listener.address() as AddressInfo;
        resolve({ address, port });
      });
    });
  }

  #accept(client: Socket): void {
    this.#accepted += 1;
    client.on("error", ignore);
    if (this.#mode === "reset" || this.#links.size >= MAX_CONNECTIONS) {
      client.resetAndDestroy();
      return;
    }
    const link: Link = { client, server: undefined, frozen: false };
    this.#links.add(link);
    if (this.#mode === "freeze") {
      link.frozen = true;
      client.resume();
      client.on("close", () => this.#links.delete(link));
      return;
    }
    this.#join(link);
  }

  #join(link: Link): void {
    const [host, port] = this.#target.split(":");
    const server = connect({ host, port: Number(port), allowHalfOpen: true });
    link.server = server;
    server.on("error", ignore);
    this.#pump(link, link.client, server);
    this.#pump(link, server, link.client);
  }

  #pump(link: Link, from: Socket, to: Socket): void {
    from.on("data", (chunk) => {
      if (link.frozen) return;
      if (this.#delayMs === 0) {
        if (!to.write(chunk)) holdUntilDrained(from, to);
        return;
      }
      from.pause();
      setTimeout(() => {
        if (!link.frozen) to.write(chunk);
        from.resume();
      }, this.#delayMs);
    });
    from.on("end", () => {
      if (!link.frozen) to.end();
    });
    from.on("close", (hadError) => {
      if (hadError && !link.frozen) this.#reset(link);
      else if (bothClosed(link)) this.#links.delete(link);
    });
  }

  #reset(link: Link): void {
    this.#links.delete(link);
    link.client.resetAndDestroy();
    link.server?.resetAndDestroy();
  }
}

function holdUntilDrained(from: Socket, to: Socket): void {
  from.pause();
  to.once("drain", () => from.resume());
}

function bothClosed(link: Link): boolean {
  return link.client.destroyed && (link.server?.destroyed ?? true);
}

function ignore(): void {}
