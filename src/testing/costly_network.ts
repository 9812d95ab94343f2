import type { Millis } from "../core/time.ts";
import type { PeerMessage } from "../gateway/peers/peer_message.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Datagrams that one reading of a socket returns at most. */
const READING_DATAGRAMS = 32;
/** Bytes of datagrams that a socket holds; further ones are lost. */
const SOCKET_BYTES = 212_992;
/** Backlog of a link from which on further datagrams are lost. */
const MAX_LINK_BACKLOG_MS: Millis = 200;

/** What messages cost a daemon, for tests of many daemons; sizes are those of the plain JSON. */
export type MessageCosts = Readonly<{
  receiveMs: Millis;
  receiveMsPerKb: Millis;
  sendMs: Millis;
  sendMsPerKb: Millis;
  linkKbPerMs: number;
}>;

type Datagram = Readonly<
  { message: PeerMessage; bytes: number; plainKb: number }
>;

type CostlyNetworkOptions<Daemon> = Readonly<{
  costs: MessageCosts;
  delayMs: Millis;
  deliver: (to: Daemon, messages: readonly PeerMessage[]) => void;
}>;

/** A daemon's processor, link and socket. */
type Node = {
  busyUntil: number;
  linkFreeAt: number;
  readonly inbox: Datagram[];
};

/** Carries messages between daemons whose processors take time for each, over links and sockets that hold only so much. */
export class CostlyNetwork<Daemon extends object> {
  readonly #time: VirtualTime;
  readonly #costs: MessageCosts;
  readonly #deliver: (to: Daemon, messages: readonly PeerMessage[]) => void;
  readonly #delayMs: Millis;
  readonly #nodes = new WeakMap<Daemon, Node>();

  private constructor(
    time: VirtualTime,
    options: CostlyNetworkOptions<Daemon>,
  ) {
    this.#time = time;
    this.#costs = options.costs;
    this.#delayMs = options.delayMs;
    this.#deliver = options.deliver;
  }

  static create<Daemon extends object>(
    time: VirtualTime,
    options: CostlyNetworkOptions<Daemon>,
  ): CostlyNetwork<Daemon> {
    return new CostlyNetwork(time, options);
  }

  /** Sends a message of so many encoded bytes, and charges the sender's processor. */
  send(
    from: Daemon,
    to: Daemon,
    sent: Readonly<{ message: PeerMessage; bytes: number }>,
  ): void {
    const { sendMs, sendMsPerKb, linkKbPerMs } = this.#costs;
    const { now } = this.#time;
    const sender = this.#nodeOf(from);
    const plainKb = JSON.stringify(sent.message).length / 1_024;
    const workMs = sendMs + sendMsPerKb * plainKb;
    sender.busyUntil = Math.max(now, sender.busyUntil) + workMs;
    const startAt = Math.max(sender.busyUntil, sender.linkFreeAt);
    if (startAt - sender.busyUntil > MAX_LINK_BACKLOG_MS) return;
    sender.linkFreeAt = startAt + sent.bytes / 1_024 / linkKbPerMs;
    this.#time.schedule(sender.linkFreeAt - now + this.#delayMs, () => {
      const { inbox } = this.#nodeOf(to);
      const held = inbox.reduce((sum, { bytes }) => sum + bytes, 0);
      if (held + sent.bytes > SOCKET_BYTES) return;
      inbox.push({ ...sent, plainKb });
      if (inbox.length === 1) this.#read(to);
    });
  }

  #read(daemon: Daemon): void {
    const node = this.#nodeOf(daemon);
    const waitMs = Math.max(0, node.busyUntil - this.#time.now);
    this.#time.schedule(waitMs, () => {
      if (node.busyUntil > this.#time.now) return this.#read(daemon);
      const { receiveMs, receiveMsPerKb } = this.#costs;
      const read = node.inbox.splice(0, READING_DATAGRAMS);
      let workMs = 0;
      for (const { plainKb } of read) {
        workMs += receiveMs + receiveMsPerKb * plainKb;
      }
      node.busyUntil = this.#time.now + workMs;
      this.#deliver(daemon, read.map(({ message }) => message));
      if (node.inbox.length > 0) this.#read(daemon);
    });
  }

  #nodeOf(daemon: Daemon): Node {
    let node = this.#nodes.get(daemon);
    if (node === undefined) {
      node = { busyUntil: 0, linkFreeAt: 0, inbox: [] };
      this.#nodes.set(daemon, node);
    }
    return node;
  }
}
