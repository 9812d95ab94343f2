import type { Buffer } from "node:buffer";
import { createSocket, type Socket } from "node:dgram";
import { isPort, splitAddress } from "../address.ts";

/** UDP socket for messages between daemons; a sender that needs an answer repeats a lost datagram. */
export class DatagramPort {
  readonly #socket: Socket;
  #failed = 0;

  private constructor(receive: (data: Buffer) => void) {
    this.#socket = createSocket("udp4");
    this.#socket.on("message", (data: Buffer) => receive(data));
    // A socket error affects one datagram, which counts as lost.
    this.#socket.on("error", () => this.#failed += 1);
  }

  static create(receive: (data: Buffer) => void): DatagramPort {
    return new DatagramPort(receive);
  }

  /** Count of send failures and socket errors. */
  get failed(): number {
    return this.#failed;
  }

  bind(host: string, port: number): Promise<void> {
    return new Promise((resolve) => {
      this.#socket.bind(port, host, () => resolve());
    });
  }

  /** Sends a datagram to `host:port`; one to an invalid address counts as failed. */
  send(to: string, data: Buffer): void {
    const { host, port } = splitAddress(to);
    if (!isPort(port)) {
      this.#failed += 1;
      return;
    }
    this.#socket.send(data, port, host, (err) => {
      if (err !== null) this.#failed += 1;
    });
  }

  close(): void {
    this.#socket.close();
  }
}
