import type {
  DaemonId,
  Digest,
  RequestId,
  Revision,
  UpstreamId,
} from "../../src/core/id.ts";
import type { Intent } from "../../src/core/intent.ts";
import type { Millis, Timestamp } from "../../src/core/time.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import { type FakeEngine, isPoison } from "./fake_engine.ts";
import type { Facts } from "./facts.ts";
import type { Network } from "./network.ts";
import type { Timeline } from "./timeline.ts";
import type { Trace } from "./trace.ts";

/** What is watched of a fleet. */
export type WatchedFleet = Readonly<{
  trace: Trace;
  facts: Facts;
  timeline: Timeline;
  network: Network;
  daemons: readonly DaemonProcess[];
  engines: readonly FakeEngine[];
  live: readonly DaemonProcess[];
  start: (vm: number) => void;
}>;

/** Notes what the daemons decide and know, without any say in it. */
export class Watch {
  readonly #fleet: WatchedFleet;
  readonly #revisions = new Map<DaemonId, Revision>();
  readonly #admitted = new Set<RequestId>();
  /** Since when each daemon has known of each run of an upstream that it is leaving. */
  readonly #leaving = new Map<string, Map<DaemonId, Timestamp>>();
  /** Since when each daemon has refused each content. */
  readonly #refused = new Map<Digest, Map<DaemonId, Timestamp>>();
  /** When each VM's links last failed. */
  readonly #cutAt = new Map<string, Timestamp>();

  private constructor(fleet: WatchedFleet) {
    this.#fleet = fleet;
  }

  static create(fleet: WatchedFleet): Watch {
    return new Watch(fleet);
  }

  /** Called after each step of a daemon. */
  step(daemon: DaemonProcess): void {
    this.#noteRevision(daemon);
    this.#noteLeaving(daemon);
    this.#noteQuarantine(daemon);
    this.#noteLinks();
    for (const id of daemon.board.requests.byId.keys()) this.#admitted.add(id);
  }

  /** Called before an intent is carried out. */
  intent(daemon: DaemonProcess, intent: Intent): void {
    const { trace, facts } = this.#fleet;
    switch (intent.type) {
      case "start_attempt": {
        const { req, attempt, mode, placement } = intent;
        trace.add(
          daemon.id,
          `sends ${req} to ${placement.upstream} as ${attempt} (${mode})`,
        );
        if (mode === "resume") return;
        this.#noteAttempt(daemon, placement.upstream);
        return this.#notePoison(daemon, req);
      }
      case "answer":
        if (!this.#admitted.has(intent.req)) return;
        facts.admittedProblems.push(intent);
        return;
      case "cancel_attempt":
        return trace.add(daemon.id, `cancels ${intent.attempt}`);
      case "send_order":
        return trace.add(
          daemon.id,
          `orders ${intent.upstream} with ${intent.order.fencing}`,
        );
    }
  }

  /** Called when a daemon has been killed. */
  died(daemon: DaemonProcess): void {
    this.#fleet.trace.add(daemon.id, "is killed");
    for (const client of this.#fleet.facts.clients) {
      if (client.daemon === daemon && client.isOpen) client.lose();
    }
  }

  /** Called when a daemon exits after its drain. */
  exited(daemon: DaemonProcess): void {
    const { trace, facts } = this.#fleet;
    trace.add(daemon.id, "exits");
    for (const req of daemon.exchanges.keys()) {
      facts.cutOff.push({ daemon: daemon.id, req });
    }
    this.#restartLater(daemon);
  }

  #restartLater(daemon: DaemonProcess): void {
    const { timeline, daemons } = this.#fleet;
    const vm = daemons.indexOf(daemon);
    timeline.after(RESTART_MS, () => this.#fleet.start(vm));
  }

  #noteRevision(daemon: DaemonProcess): void {
    const { revision } = daemon.board.config;
    const before = this.#revisions.get(daemon.id);
    this.#revisions.set(daemon.id, revision);
    if (before === undefined || revision === before) return;
    this.#fleet.trace.add(daemon.id, `takes revision ${revision}`);
    if (revision > before) return;
    const { stepsBack } = this.#fleet.facts;
    stepsBack.push({ daemon: daemon.id, from: before, to: revision });
  }

  #noteLeaving(daemon: DaemonProcess): void {
    const { now } = this.#fleet.timeline;
    for (const upstream of daemon.board.upstreams.byId.values()) {
      const run = `${upstream.id}/${upstream.incarnation}`;
      if (upstream.state !== "leaving") continue;
      const known = this.#leaving.get(run) ?? new Map<DaemonId, Timestamp>();
      this.#leaving.set(run, known);
      if (known.has(daemon.id)) continue;
      known.set(daemon.id, now);
      this.#fleet.trace.add(daemon.id, `knows that ${run} is leaving`);
    }
  }

  #noteQuarantine(daemon: DaemonProcess): void {
    const { now } = this.#fleet.timeline;
    for (const content of daemon.board.quarantine.quarantined.keys()) {
      const known = this.#refused.get(content) ??
        new Map<DaemonId, Timestamp>();
      this.#refused.set(content, known);
      if (!known.has(daemon.id)) known.set(daemon.id, now);
    }
  }

  #noteLinks(): void {
    const { network, facts, timeline } = this.#fleet;
    if (network.fault === "lost" || network.fault === "late") {
      facts.lastDisturbedAt = timeline.now;
    }
    for (const address of network.cut) this.#cutAt.set(address, timeline.now);
  }

  #noteAttempt(daemon: DaemonProcess, upstream: UpstreamId): void {
    const engine = this.#fleet.engines.find(({ id }) => id === upstream);
    const run = `${upstream}/${engine?.model.incarnation}`;
    const known = this.#leaving.get(run);
    const knownForMs = this.#knownFor(daemon, known);
    if (knownForMs < 0) return;
    const { leavingAttempts } = this.#fleet.facts;
    leavingAttempts.push({ daemon: daemon.id, upstream, knownForMs });
  }

  #notePoison(daemon: DaemonProcess, req: RequestId): void {
    const content = daemon.board.requests.byId.get(req)?.req.digest;
    if (content === undefined || !isPoison(content)) return;
    const knownForMs = this.#knownFor(daemon, this.#refused.get(content));
    const { poisonAttempts } = this.#fleet.facts;
    poisonAttempts.push({ daemon: daemon.id, content, knownForMs });
  }

  /** How long a daemon could have known, or -1. */
  #knownFor(
    daemon: DaemonProcess,
    known: ReadonlyMap<DaemonId, Timestamp> | undefined,
  ): Millis {
    let longest = -1;
    for (const other of this.#fleet.live) {
      const since = known?.get(other.id);
      if (since === undefined) continue;
      longest = Math.max(longest, this.#heardFor(daemon, other, since));
    }
    return longest;
  }

  /** How long a daemon could have heard what another one knows. */
  #heardFor(
    daemon: DaemonProcess,
    other: DaemonProcess,
    since: Timestamp,
  ): Millis {
    const { now } = this.#fleet.timeline;
    if (daemon === other) return now - since;
    const { lastDisturbedAt } = this.#fleet.facts;
    const from = Math.max(
      since,
      lastDisturbedAt,
      this.#linkedSince(daemon),
      this.#linkedSince(other),
    );
    return other.isPaused ? -1 : now - from;
  }

  #linkedSince(daemon: DaemonProcess): number {
    const cutAt = this.#cutAt.get(daemon.board.self.peerAddress) ?? 0;
    return Math.max(daemon.thawedAt, cutAt);
  }
}

const RESTART_MS: Millis = 1_000;
