import { err, type Result, ResultAsync } from "neverthrow";
import type { Intent } from "../../src/core/intent.ts";
import type { Random } from "../../src/core/random.ts";
import type { Millis } from "../../src/core/time.ts";
import type { CallForward, CallReply, Envelope } from "../../src/gen/peer.ts";
import type { PeerError } from "../../src/peer/peer_clients.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import type { PeerFault } from "./schedule.ts";
import type { Timeline } from "./timeline.ts";

const NETWORK_MS: Millis = 1;
const TIMEOUT_MS: Millis = 1_000;
const LATE_MS: Millis = 3_000;
const CROSSED_MS: Millis = 40;

/** Messages between the daemons, with their faults. */
export class Network {
  fault: PeerFault | undefined;
  /** Peer addresses that nothing reaches and from which nothing comes. */
  readonly cut = new Set<string>();
  readonly #timeline: Timeline;
  readonly #random: Random;
  readonly #at: (address: string) => DaemonProcess | undefined;

  private constructor(
    timeline: Timeline,
    random: Random,
    at: (address: string) => DaemonProcess | undefined,
  ) {
    this.#timeline = timeline;
    this.#random = random;
    this.#at = at;
  }

  static create(
    timeline: Timeline,
    random: Random,
    at: (address: string) => DaemonProcess | undefined,
  ): Network {
    return new Network(timeline, random, at);
  }

  /** Sends one message; its sender may hear that nobody took it. */
  send(
    from: DaemonProcess,
    intent: Extract<Intent, { type: "send_peer" }>,
  ): void {
    const { address, envelope } = intent;
    if (this.#isCut(from, address)) {
      return this.#fail(from, address, TIMEOUT_MS);
    }
    if (this.fault === "lost" && this.#random.below(2) === 0) {
      return this.#fail(from, address, TIMEOUT_MS);
    }
    this.#deliver(from, address, envelope);
    if (this.fault === "doubled") this.#deliver(from, address, envelope);
  }

  /** Runs a call on another daemon; its answer may be lost on the way back. */
  runCall(
    from: DaemonProcess,
    address: string,
    call: CallForward,
  ): ResultAsync<CallReply, PeerError> {
    const answer = new Promise<Result<CallReply, PeerError>>((resolve) => {
      const end = (result: Result<CallReply, PeerError>) =>
        from.receive(() => {
          this.#timeline.unsettle();
          resolve(result);
        });
      this.#timeline.after(call.leftMs, () => end(err(UNREACHABLE)));
      const home = this.#at(address);
      const isLost = this.#isCut(from, address) ||
        (this.fault === "lost" && this.#random.below(2) === 0);
      if (home === undefined || isLost) return;
      home.receive(() => {
        void home.forwarder.run(call).then((reply) => {
          if (this.#isCut(from, address)) return;
          const ok = ResultAsync.fromSafePromise<CallReply, PeerError>(
            Promise.resolve(reply),
          );
          void ok.then(end);
        });
      });
    });
    return new ResultAsync(answer);
  }

  #isCut(from: DaemonProcess, address: string): boolean {
    return this.cut.has(address) ||
      this.cut.has(from.board.self.peerAddress);
  }

  #deliver(from: DaemonProcess, address: string, envelope: Envelope): void {
    this.#timeline.after(this.#delay(), () => {
      const to = this.#at(address);
      if (to === undefined) return this.#fail(from, address, NETWORK_MS);
      if (to.isPaused) this.#fail(from, address, TIMEOUT_MS);
      to.receive(() => to.post({ type: "peer_message", envelope }));
    });
  }

  #fail(from: DaemonProcess, address: string, ms: Millis): void {
    this.#timeline.after(
      ms,
      () =>
        from.receive(() => from.post({ type: "peer_unreachable", address })),
    );
  }

  #delay(): Millis {
    if (this.fault === "late") return this.#random.below(LATE_MS);
    if (this.fault === "crossed") return this.#random.below(CROSSED_MS);
    return NETWORK_MS;
  }
}

const UNREACHABLE: PeerError = {
  code: "unreachable",
  verdict: "may_have_run",
  detail: "Nobody answered.",
};
