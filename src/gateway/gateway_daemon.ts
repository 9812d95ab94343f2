import type { Buffer } from "node:buffer";
import process from "node:process";
import { err, ok } from "neverthrow";
import type { Millis, Timestamp } from "../core/time.ts";
import type { UpstreamId } from "../core/id.ts";
import type { JobId } from "../scheduling/pool/pool_job.ts";
import { splitAddress } from "./address.ts";
import { closedUpstreams, closureOf } from "./upstreams/availability.ts";
import { CoreLoop } from "./core_loop.ts";
import { DatagramPort } from "./peers/datagram_port.ts";
import type { Dialect } from "./requests/dialect.ts";
import type { EngineOrders } from "./requests/engine_orders.ts";
import { type CallerPlace, chooseEntries } from "./members/entry_choice.ts";
import { EventLog, type LineFields } from "./event_log.ts";
import type { ExchangePort } from "./requests/exchange_port.ts";
import { FrontServer } from "./requests/front_server.ts";
import { GatewayCore } from "./gateway_core.ts";
import type { GatewayIntent } from "./gateway_event.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { hash } from "./members/member_table.ts";
import { isReady, liveMs } from "./members/membership.ts";
import { decodePeerMessage, encodePeerMessage } from "./peers/peer_message.ts";
import type { PoolReply } from "./placement/placement_port.ts";
import type { PlatformStore } from "./store/platform_store.ts";
import { RetryBudget } from "./requests/retry_budget.ts";
import { encodeServing } from "./serving/serving_json.ts";
import type { UpstreamAvailability } from "./requests/upstream_availability.ts";
import { serveSmall, type SmallAnswer } from "./small_http.ts";
import { SERVING_PATH, StoreCaller } from "./store/store_caller.ts";

const METRICS_PATH = "/metrics";
/** How often a daemon that leaves looks whether it is done. */
const LEAVE_CHECK_MS: Millis = 100;
/** Time in which clients with older answers of the directory may still come. */
const LEAVE_MS: Millis = 3_200;
/** Time before the kill at which the process ends by itself. */
const EXIT_MARGIN_MS: Millis = 500;
/** How often a fixed piece of work is timed, and its size: some tenths of a ms on the smallest VMs. */
const TIMING_MS: Millis = 500;
const TIMED_TEXT = "x".repeat(30_000);
/** How often log lines that were gathered are handed on. */
const FLUSH_MS: Millis = 1_000;

/** What the outside of a daemon is made of. */
export type GatewayParts = Readonly<{
  store: PlatformStore;
  dialect: Dialect;
  orders: EngineOrders;
}>;

/** The shell around the core: it performs intents, and turns whatever happens into events. */
export class GatewayDaemon {
  readonly #settings: GatewaySettings;
  readonly #core: GatewayCore;
  readonly #loop: CoreLoop;
  readonly #log: EventLog;
  readonly #metrics = GatewayMetrics.create();
  readonly #datagrams: DatagramPort;
  readonly #front: FrontServer;
  readonly #store: StoreCaller;
  readonly #budget: RetryBudget;
  readonly #orders: EngineOrders;
  readonly #replies = new Map<JobId, (reply: PoolReply) => void>();
  readonly #startedAt: Timestamp;
  #limitsOf = 0;
  #unreadable = 0;
  #draining = false;

  private constructor(settings: GatewaySettings, parts: GatewayParts) {
    this.#settings = settings;
    const { card } = settings;
    this.#orders = parts.orders;
    this.#orders.onAvailability((address, signs) => {
      const upstream = this.#upstreamAt(address);
      if (upstream !== undefined) this.#said(upstream, signs);
    });
    this.#core = GatewayCore.create(card, settings.seeds);
    this.#loop = CoreLoop.create(this.#core, (one) => this.#perform(one));
    this.#startedAt = this.#loop.now();
    this.#log = EventLog.create(
      { vm: card.vm },
      { now: () => Date.now() as Timestamp },
    );
    this.#budget = RetryBudget.create(settings.budget);
    this.#datagrams = DatagramPort.create((data) => this.#receive(data));
    this.#store = StoreCaller.create(parts.store, {
      push: (event) => this.#loop.push(event),
      count: (call, outcome) => this.#metrics.storeCall(call, outcome),
      line: (kind, fields) => this.#line(kind, fields),
    });
    this.#front = FrontServer.create(this.#createPort(parts), {
      routes: () => this.#core.board.serving.routes,
      drainingSince: () => this.#core.board.self.drainingSince,
    });
  }

  static create(settings: GatewaySettings, parts: GatewayParts): GatewayDaemon {
    return new GatewayDaemon(settings, parts);
  }

  /** Whether clients may be sent here. */
  get ready(): boolean {
    return isReady(this.#core.board);
  }

  /** Addresses that a caller should use. */
  entries(caller: CallerPlace): readonly string[] {
    const { board } = this.#core;
    const live = board.members.table.live(this.#loop.now(), liveMs(board));
    return chooseEntries([board.self.card, ...live], caller);
  }

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
    await serveSmall(peer, (url) => this.#serveServing(url));
    await serveSmall(splitAddress(metrics), (url) => this.#serveMetrics(url));
    const front = splitAddress(card.front);
    await this.#front.listen(front.host, front.port);
    setInterval(() => this.#log.flush(), FLUSH_MS).unref();
    setInterval(() => this.#timeSelf(), TIMING_MS).unref();
    this.#loop.step();
  }

  /** Leaves: takes no new clients, ends what runs, then calls `exit`; further calls change nothing. */
  drain(exit: () => void): void {
    if (this.#draining) return;
    this.#draining = true;
    const since = this.#loop.now();
    this.#line("stop", { open: this.#front.openRequests });
    this.#loop.push({ type: "drain" });
    const timer = setInterval(() => {
      const age = this.#loop.now() - since;
      const done = age >= LEAVE_MS && this.#front.openRequests === 0;
      if (!done && age < this.#settings.graceMs - EXIT_MARGIN_MS) return;
      clearInterval(timer);
      this.#line("stopped", {
        open: this.#front.openRequests,
        ms: Math.round(age),
      });
      this.#front.close();
      this.#log.close();
      exit();
    }, LEAVE_CHECK_MS);
  }

  /** Notes that the settings were read anew. */
  reloaded(fields: LineFields): void {
    this.#line("reload", fields);
  }

  /** Notes an error that nothing foresaw, before the process ends. */
  crashed(fields: LineFields): void {
    this.#line("unexpected_error", fields);
    this.#log.close();
  }

  #perform(intent: GatewayIntent): void {
    switch (intent.type) {
      case "send":
        this.#datagrams.send(intent.to, encodePeerMessage(intent.message));
        return;
      case "granted":
        this.#reply(intent.grant.job.id, ok(intent.grant));
        return;
      case "denied":
        this.#reply(intent.job, err(intent.problem));
        return;
      case "read":
        void this.#store.read(intent);
        return;
      case "inspect":
        void this.#inspect(intent.upstream, intent.address);
        return;
      case "fetch_serving":
        void this.#store.fetch(intent.peer.peer);
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
      case "upstream_lost":
        this.#front.upstreamLost(intent.upstream);
        return;
      case "line":
        if (intent.kind === "config") this.#applyLimits();
        this.#line(intent.kind, intent.fields);
        return;
    }
  }

  /** Times a fixed piece of work: it takes longer where the VM has become slow. */
  #timeSelf(): void {
    const from = this.#loop.now();
    hash(TIMED_TEXT);
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

  #upstreamAt(address: string): UpstreamId | undefined {
    const { table } = this.#core.board.register;
    return table.all().find((one) => one.address === address)?.id;
  }

  #said(upstream: UpstreamId, signs: UpstreamAvailability): void {
    this.#loop.push({ type: "upstream_said", upstream, signs });
  }

  #applyLimits(): void {
    const { routes, version } = this.#core.board.serving;
    if (routes === undefined || version === this.#limitsOf) return;
    this.#limitsOf = version;
    this.#front.applyLimits(routes.serving.limits);
  }

  #reply(job: JobId, reply: PoolReply): void {
    const waiting = this.#replies.get(job);
    this.#replies.delete(job);
    waiting?.(reply);
  }

  #receive(data: Buffer): void {
    decodePeerMessage(data).match(
      (message) => this.#loop.push({ type: "message", message }),
      (detail) => {
        this.#unreadable += 1;
        this.#line("datagram_unreadable", { detail });
      },
    );
  }

  #createPort(parts: GatewayParts): ExchangePort {
    const { card } = this.#settings;
    const { board } = this.#core;
    const metrics = this.#metrics;
    return {
      dialect: parts.dialect,
      orders: parts.orders,
      now: () => this.#loop.now(),
      random: () => Math.random(),
      self: { vm: card.vm, domain: card.domain },
      place: (ask, reply) => {
        this.#replies.set(ask.job, reply);
        this.#loop.push({ type: "place", ask });
      },
      withdraw: (job) => {
        this.#replies.delete(job);
        this.#loop.push({ type: "withdraw", job });
      },
      updateJob: (job, upstream, updates) =>
        this.#loop.push({ type: "job", job, upstream, ...updates }),
      upstreamAt: (address) => this.#upstreamAt(address),
      closure: (id) => closureOf(board, id, this.#loop.now()),
      closedUpstreams: (service) =>
        closedUpstreams(board, service, this.#loop.now()),
      reportAvailability: (upstream, signs) => this.#said(upstream, signs),
      recordFirstSend: (service) =>
        this.#budget.recordNew(service, this.#loop.now()),
      spendRetry: (service) =>
        this.#budget.trySpend(service, this.#loop.now(), {
          daemons: board.members.table.all().length + 1,
          ageMs: this.#loop.now() - this.#startedAt,
        }),
      line: (kind, fields) => this.#line(kind, fields),
      observe: {
        placed: (tokens, ms) => metrics.placed(tokens, ms),
        firstEvent: (tokens, ms) => metrics.firstEvent(tokens, ms),
        completed: (tokens, ms) => metrics.whole(tokens, ms),
        retried: (cause) => metrics.retried(cause),
        problem: (code, verdict) => metrics.problem(code, verdict),
        ended: (outcome) => metrics.ended(outcome),
      },
    };
  }

  #serveServing(url: URL): SmallAnswer | undefined {
    if (url.pathname !== SERVING_PATH) return undefined;
    const { routes } = this.#core.board.serving;
    if (routes === undefined) return undefined;
    const body = encodeServing(routes.serving);
    return { status: 200, body, contentType: "application/octet-stream" };
  }

  async #serveMetrics(url: URL): Promise<SmallAnswer | undefined> {
    if (url.pathname !== METRICS_PATH) return undefined;
    const { board } = this.#core;
    const now = this.#loop.now();
    const body = await this.#metrics.text({
      config_version: board.serving.version,
      config_taken_ms_ago: now - board.serving.takenAt,
      register_age_ms: now - board.register.asOf,
      upstreams: board.register.table.size,
      peers: board.members.table.live(now, liveMs(board)).length,
      jobs: board.pool.scheduler.accounts.jobs.size,
      requests_open: this.#front.openRequests,
      contents_suspected: board.contents.suspects.size,
      log_lines_dropped: this.#log.dropped,
      datagrams_failed: this.#datagrams.failed,
      datagrams_unreadable: this.#unreadable,
    });
    return { status: 200, body, contentType: this.#metrics.contentType };
  }

  #line(kind: string, fields: LineFields): void {
    this.#metrics.event(kind);
    this.#log.line(kind, fields);
  }
}
