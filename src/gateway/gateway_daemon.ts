import type { Buffer } from "node:buffer";
import process from "node:process";
import { err, ok } from "neverthrow";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import { fnv1aHash } from "../core/fnv1a.ts";
import type { UpstreamId } from "../core/id.ts";
import { splitAddress } from "./address.ts";
import { CoreLoop } from "./core_loop.ts";
import { DatagramPort } from "./peers/datagram_port.ts";
import type { Dialect } from "./requests/dialect.ts";
import type { Drain } from "./requests/drain_gate.ts";
import type { EngineOrders } from "./requests/engine_orders.ts";
import { type CallerLocation, chooseEntries } from "./members/entry_choice.ts";
import { ExchangeAdapter } from "./exchange_adapter.ts";
import { EventLog, type LogFields } from "./event_log.ts";
import { FrontServer } from "./requests/front_server.ts";
import { GatewayCore } from "./gateway_core.ts";
import type { GatewayIntent } from "./gateway_event.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { isReady, livenessTimeoutMs } from "./members/membership.ts";
import { decodePeerMessage, encodePeerMessage } from "./peers/peer_message.ts";
import { PeerCalls } from "./peers/peer_calls.ts";
import { drainTimeMs, PlannedStop } from "./planned_stop.ts";
import type { PlatformStore } from "./store/platform_store.ts";
import { RetryBudget } from "./requests/retry_budget.ts";
import { GetServerGuard } from "./get_server_guard.ts";
import { clientSharesOf } from "./requests/client_budget.ts";
import { type GetResponse, serveGetRequests } from "./plain_http.ts";
import { UnreadableLog } from "./unreadable_log.ts";
import { StoreCaller } from "./store/store_caller.ts";

const METRICS_PATH = "/metrics";
/** How often a fixed piece of work is timed to detect a slow VM. */
const SELF_TIMING_INTERVAL_MS: Millis = 500;
/** Text hashed as the fixed piece of work; takes some tenths of a ms on the smallest VMs. */
const SELF_TIMING_TEXT = "x".repeat(30_000);
/** How often buffered log lines are flushed. */
const LOG_FLUSH_INTERVAL_MS: Millis = 1_000;

/** The platform-specific adapters of a daemon. */
export type GatewayAdapters = Readonly<{
  store: PlatformStore;
  dialect: Dialect;
  orders: EngineOrders;
}>;

/** Ends the process; `logged` is false if a write to the log may be blocked. */
export type ExitProcess = (logged: boolean) => void;

/** The I/O shell around the core: performs its intents and turns external input into events. */
export class GatewayDaemon {
  /** Guards the connections of the servers that answer GET requests. */
  readonly guard: GetServerGuard;
  readonly #settings: GatewaySettings;
  readonly #core: GatewayCore;
  readonly #loop: CoreLoop;
  readonly #log: EventLog;
  readonly #metrics = GatewayMetrics.create();
  readonly #datagrams: DatagramPort;
  readonly #front: FrontServer;
  readonly #store: StoreCaller;
  readonly #orders: EngineOrders;
  readonly #exchanges: ExchangeAdapter;
  readonly #unreadable = UnreadableLog.create((kind, fields) =>
    this.#line(kind, fields)
  );
  readonly #peerCalls: PeerCalls;
  #limitsVersion = 0;
  #unreadableDatagrams = 0;
  #draining = false;
  #crashed = false;

  private constructor(settings: GatewaySettings, adapters: GatewayAdapters) {
    this.#settings = settings;
    const { getConnections } = clientSharesOf(settings.resources);
    this.guard = GetServerGuard.create({ maxConnections: getConnections });
    const { card } = settings;
    this.#orders = adapters.orders;
    this.#core = GatewayCore.create(card, settings.seeds);
    this.#peerCalls = PeerCalls.create(this.#core.board);
    this.#loop = CoreLoop.create(this.#core, (intent) => this.#perform(intent));
    this.#log = EventLog.create(
      { vm: card.vm },
      { now: () => Date.now() as Timestamp },
    );
    this.#datagrams = DatagramPort.create((data) => this.#receive(data));
    adapters.store.onUnreadable((record) => this.#unreadable.report(record));
    this.#store = StoreCaller.create(adapters.store, {
      push: (event) => this.#loop.push(event),
      count: (call, outcome) => this.#metrics.storeCall(call, outcome),
      line: (kind, fields) => this.#line(kind, fields),
    });
    this.#exchanges = ExchangeAdapter.create({
      board: this.#core.board,
      dialect: adapters.dialect,
      orders: adapters.orders,
      budget: RetryBudget.create(settings.budget),
      metrics: this.#metrics,
      now: () => this.#loop.now(),
      push: (event) => this.#loop.push(event),
      line: (kind, fields) => this.#line(kind, fields),
    });
    this.#front = FrontServer.create(this.#exchanges.port, {
      routes: () => this.#core.board.serving.routes,
      drain: () => this.#currentDrain(),
    }, { resources: settings.resources });
  }

  static create(
    settings: GatewaySettings,
    adapters: GatewayAdapters,
  ): GatewayDaemon {
    return new GatewayDaemon(settings, adapters);
  }

  /** Whether clients may be directed to this daemon. */
  get ready(): boolean {
    return isReady(this.#core.board);
  }

  /** Addresses (`host:port`) of the daemons that a caller should use. */
  entries(caller: CallerLocation): readonly string[] {
    const { board } = this.#core;
    const live = board.members.table.live(
      this.#loop.now(),
      livenessTimeoutMs(board),
    );
    return chooseEntries([board.self.card, ...live], caller);
  }

  /** Binds the peer, metrics and client ports, then starts the core. */
  async start(): Promise<void> {
    const { card, metrics, seeds } = this.#settings;
    this.#line("start", {
      node: process.version,
      started_at: card.startedAt,
      peer: card.peer,
      seeds: seeds.length,
    });
    const peer = splitAddress(card.peer);
    await this.#datagrams.bind(peer.host, peer.port);
    const { guard } = this;
    await serveGetRequests(
      peer,
      (url) => this.#peerCalls.answer(url, this.#loop.now()),
      { guard },
    );
    await serveGetRequests(
      splitAddress(metrics),
      (url) => this.#serveMetrics(url),
      { guard },
    );
    const front = splitAddress(card.front);
    await this.#front.listen(front.host, front.port);
    setInterval(() => this.#log.flush(), LOG_FLUSH_INTERVAL_MS).unref();
    setInterval(() => this.#timeFixedWork(), SELF_TIMING_INTERVAL_MS).unref();
    this.#loop.step();
  }

  /** Begins a planned stop, which ends with a call of `exit`; idempotent. */
  drain(exit: ExitProcess): void {
    if (this.#draining) return;
    this.#draining = true;
    PlannedStop.begin({
      now: () => this.#loop.now(),
      openRequests: () => this.#front.openRequests,
      drain: () => {
        this.#loop.push({ type: "drain" });
        this.#loop.step();
        this.#front.limitWaits();
      },
      cut: () => this.#front.cut(),
      line: (kind, fields) => this.#line(kind, fields),
      flush: () => this.#log.flush(),
      exit: () => {
        this.#front.close();
        void this.#log.close().then(exit);
      },
    }, this.#settings.graceMs);
  }

  #currentDrain(): Drain | undefined {
    const since = this.#core.board.self.drainingSince;
    if (since === undefined) return undefined;
    const drainMs = drainTimeMs(this.#settings.graceMs);
    return { since, endsAt: addMs(since, drainMs) };
  }

  /** Logs the result of reloading the settings. */
  logReload(fields: LogFields): void {
    this.#line("reload", fields);
  }

  /** Logs an unexpected error and gives each open request its final response, then calls `exit`; idempotent. */
  crash(fields: LogFields, exit: ExitProcess): void {
    this.#line("unexpected_error", fields);
    if (this.#crashed) return;
    this.#crashed = true;
    this.#front.close();
    this.#front.cut();
    // Lets the responses be written.
    setImmediate(() => void this.#log.close().then(exit));
  }

  #perform(intent: GatewayIntent): void {
    switch (intent.type) {
      case "send":
        this.#send(intent);
        return;
      case "granted":
        this.#exchanges.reply(intent.grant.job.id, ok(intent.grant));
        return;
      case "denied":
        this.#exchanges.reply(intent.job, err(intent.problem));
        return;
      case "read":
        void this.#store.read(intent);
        return;
      case "inspect":
        void this.#inspect(intent.upstream, intent.address);
        return;
      case "fetch_serving":
        void this.#store.fetchServing(intent.peer.peer);
        return;
      case "fetch_table":
        void this.#store.fetchTable(intent.peer.peer);
        return;
      case "announce":
        void this.#store.announce(intent);
        return;
      case "read_announced":
        void this.#store.readAnnounced();
        return;
      case "keep_contents":
        void this.#store.keepContents(intent);
        return;
      case "read_contents":
        void this.#store.readContents();
        return;
      case "keep_rates":
        void this.#store.keepRates(intent);
        return;
      case "read_rates":
        void this.#store.readRates();
        return;
      case "upstream_lost":
        this.#front.upstreamLost(intent.upstream);
        return;
      case "line":
        if (intent.kind === "config") this.#applyLimits();
        this.#line(intent.kind, intent.fields);
        return;
    }
  }

  #send({ to, message }: Extract<GatewayIntent, { type: "send" }>): void {
    const packed = this.#core.board.members.table.readsPacked(to);
    const data = encodePeerMessage(message, { packed });
    this.#metrics.sent(message.type, data.length);
    this.#datagrams.send(to, data);
  }

  /** Times a fixed piece of work, which takes longer when the VM has become slow. */
  #timeFixedWork(): void {
    const from = this.#loop.now();
    fnv1aHash(SELF_TIMING_TEXT);
    this.#loop.push({ type: "timed", ms: this.#loop.now() - from });
  }

  async #inspect(upstream: UpstreamId, address: string): Promise<void> {
    const report = await this.#orders.fetchReport(address);
    const found = report.match(
      ({ pace, startedAt }) => ({ pace, startedAt }),
      ({ code }) => ({ unreachable: code === "unreachable" }),
    );
    this.#loop.push({ type: "inspected", upstream, ...found });
  }

  #applyLimits(): void {
    const { routes, version } = this.#core.board.serving;
    if (routes === undefined || version === this.#limitsVersion) return;
    this.#limitsVersion = version;
    this.#front.applyLimits(routes.serving.limits);
  }

  #receive(data: Buffer): void {
    decodePeerMessage(data, {
      onLeftOut: (detail) =>
        this.#unreadable.report({ source: "peer", detail }),
    }).match(
      (message) => this.#loop.push({ type: "message", message }),
      (detail) => {
        this.#unreadableDatagrams += 1;
        this.#line("datagram_unreadable", { detail });
      },
    );
  }

  async #serveMetrics(url: URL): Promise<GetResponse | undefined> {
    if (url.pathname !== METRICS_PATH) return undefined;
    const { board } = this.#core;
    const now = this.#loop.now();
    const body = await this.#metrics.render({
      config_version: board.serving.version,
      domains_evacuated: board.serving.evacuated.size,
      config_taken_ms_ago: now - board.serving.appliedAt,
      store_era: board.store.era,
      register_age_ms: now - board.register.asOf,
      upstreams: board.register.table.size,
      peers: board.members.table.live(now, livenessTimeoutMs(board)).length,
      jobs: board.pool.scheduler.tracker.jobs.size,
      prompts_queued: board.pool.scheduler.queueLength,
      prediction_margin_ms: board.pool.scheduler.predictions.marginMs,
      prediction_error_ms: board.pool.scheduler.predictions.meanMs,
      upstreams_rate_limited: board.pool.scheduler.rates.size,
      requests_open: this.#front.openRequests,
      contents_suspected: board.contents.suspects.size,
      log_lines_dropped: this.#log.dropped,
      datagrams_failed: this.#datagrams.failed,
      datagrams_unreadable: this.#unreadableDatagrams,
      get_connections: this.guard.connections,
      ...this.#front.gauges,
    }, { rooms: board.pool.scheduler.rooms, now });
    return { status: 200, body, contentType: this.#metrics.contentType };
  }

  #line(kind: string, fields: LogFields): void {
    this.#metrics.event(kind);
    this.#log.line(kind, fields);
  }
}
