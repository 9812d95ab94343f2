import { Buffer } from "node:buffer";
import type { Server } from "node:http";
import { setTimeout } from "node:timers/promises";
import { getRequestListener } from "@hono/node-server";
import type { ResultAsync } from "neverthrow";
import type { Self } from "../board/self.ts";
import type { DaemonSettings } from "../config/daemon_settings.ts";
import { createCore } from "../controllers/create_core.ts";
import { livePeers } from "../controllers/membership_controller.ts";
import type { Core } from "../core/core.ts";
import type { DaemonId } from "../core/id.ts";
import type { Intent } from "../core/intent.ts";
import type { Random } from "../core/random.ts";
import { SECOND_MS } from "../core/time.ts";
import { unexpectedFields } from "../core/unexpected_error.ts";
import { createApp } from "../http/app.ts";
import {
  createClientServer,
  type ServerCertificate,
} from "../http/https_server.ts";
import type { LogClient } from "../platform/log_client.ts";
import type { VmListClient } from "../platform/vm_list_client.ts";
import type { CountBytes } from "../peer/counted_service.ts";
import { PeerClients } from "../peer/peer_clients.ts";
import {
  insecureCredentials,
  mutualTlsCredentials,
  type PeerCredentials,
} from "../peer/peer_credentials.ts";
import { PeerServer } from "../peer/peer_server.ts";
import { AttemptRunner } from "./attempt_runner.ts";
import { CallForwarder } from "./call_forwarder.ts";
import type { Clock } from "./clock.ts";
import type { ExchangeTable } from "./exchange.ts";
import { listenHttp } from "./listen.ts";
import { LogAdapter } from "./log_adapter.ts";
import type { Logger } from "./logger.ts";
import { Loop } from "./loop.ts";
import { Metrics } from "./metrics.ts";
import { OrderRunner } from "./order_runner.ts";
import { type ClientFactory, UpstreamClients } from "./upstream_clients.ts";
import { UpstreamPoller } from "./upstream_poller.ts";
import { VmListPoller } from "./vm_list_poller.ts";

/** Time for open connections to close after the last request, before the daemon exits. */
const CLOSE_GRACE_MS = 2 * SECOND_MS;

/** Settings and adapters of a daemon; tests can replace each of them. */
export type DaemonDeps = Readonly<{
  settings: DaemonSettings;
  clock: Clock;
  random: Random;
  logger: Logger;
  log: LogClient;
  vmList: VmListClient;
  upstreams: ClientFactory;
  /** Returns an unpredictable string of at least 32 characters. */
  createSecret: () => string;
  /** Called once a shutdown is complete. */
  onExit: () => void;
}>;

/** One daemon: the core and the adapters around it. */
export class Daemon {
  readonly #deps: DaemonDeps;
  readonly #exchanges: ExchangeTable = new Map();
  readonly #core: Core;
  readonly #loop: Loop;
  readonly #clients: UpstreamClients;
  readonly #runner: AttemptRunner;
  readonly #orders: OrderRunner;
  readonly #peers: PeerClients;
  readonly #forwarder: CallForwarder;
  readonly #peerServer: PeerServer;
  readonly #http: Server;
  readonly #logAdapter: LogAdapter;
  readonly #upstreamPoller: UpstreamPoller;
  readonly #vmListPoller: VmListPoller;
  readonly #metrics: Metrics | undefined;

  private constructor(deps: DaemonDeps) {
    this.#deps = deps;
    const { settings, clock, random } = deps;
    this.#core = createCore(createSelf(deps), random, {
      createSecret: deps.createSecret,
    });
    const { board } = this.#core;
    this.#loop = Loop.create({
      core: this.#core,
      clock,
      perform: (intent) => this.#perform(intent),
    });
    const loop = () => this.#loop;
    this.#clients = UpstreamClients.create(deps.upstreams);
    this.#runner = AttemptRunner.create({
      loop,
      board,
      clients: this.#clients,
      exchanges: this.#exchanges,
    });
    this.#orders = OrderRunner.create({ loop, board, clients: this.#clients });
    this.#logAdapter = LogAdapter.create(deps.log, {
      liveDaemons: () => livePeers(board, clock.now()).length + 1,
      onEvent: (event) => this.#loop.post(event),
    });
    this.#upstreamPoller = UpstreamPoller.create(loop, this.#clients);
    this.#vmListPoller = VmListPoller.create(loop, deps.vmList);
    const credentials = peerCredentials(settings);
    const count: CountBytes = (direction, bytes) =>
      board.counters.add(`peer_bytes_${direction}`, bytes);
    this.#peers = PeerClients.create(credentials, count);
    this.#forwarder = CallForwarder.create({
      peers: this.#peers,
      exchanges: this.#exchanges,
      now: () => clock.now(),
      uuid: () => random.uuid(clock.now()),
      post: (event) => this.#loop.post(event),
    });
    this.#peerServer = PeerServer.create({
      count,
      runCall: (call) => this.#forwarder.run(call),
      deliver: (envelope) =>
        this.#loop.post({ type: "peer_message", envelope }),
    }, credentials);
    this.#http = this.#createHttp();
    const { statsdHost: host, statsdPort: port } = settings.metrics;
    const tags = { vm: settings.daemon.vm, domain: settings.daemon.domain };
    this.#metrics = host === undefined
      ? undefined
      : Metrics.create(board, { host, port, tags }, {
        now: () => clock.now(),
      });
  }

  static create(deps: DaemonDeps): Daemon {
    return new Daemon(deps);
  }

  get core(): Core {
    return this.#core;
  }

  /** Binds the peer and client listeners, then starts the loop, the pollers and the metrics. */
  listen(): ResultAsync<void, Error> {
    const { clientAddress, peerAddress, peerListen } =
      this.#deps.settings.daemon;
    return this.#peerServer.listen(peerListen ?? peerAddress)
      .andThen(() => listenHttp(this.#http, clientAddress))
      .map(() => this.#start());
  }

  /** Starts a graceful shutdown; further calls have no effect. */
  drain(): void {
    this.#loop.post({ type: "drain_requested" });
  }

  /** Shuts down immediately and aborts the requests in flight. */
  async kill(): Promise<void> {
    this.#stop();
    this.#http.closeAllConnections();
    this.#peerServer.kill();
    this.#http.close();
    await this.#clients.close();
  }

  #start(): void {
    this.#loop.start();
    this.#vmListPoller.start();
    this.#upstreamPoller.start();
    this.#metrics?.start();
    const { clientAddress, peerAddress } = this.#deps.settings.daemon;
    this.#deps.logger.info("listening", { clientAddress, peerAddress });
  }

  #stop(): void {
    this.#loop.stop();
    this.#vmListPoller.stop();
    this.#upstreamPoller.stop();
    this.#logAdapter.close();
    this.#peers.close();
  }

  #createHttp(): Server {
    const { clock, random, logger } = this.#deps;
    const app = createApp({
      board: this.#core.board,
      exchanges: this.#exchanges,
      now: () => clock.now(),
      post: (event) => this.#loop.post(event),
      uuid: () => random.uuid(clock.now()),
      adminTokenDigest: this.#deps.settings.admin.tokenDigest,
      cancelExchange: (exchange) => this.#runner.cancelExchange(exchange),
      logError: (cause) =>
        logger.error("unexpected error", unexpectedFields(cause)),
    });
    return createClientServer(
      getRequestListener(app.fetch),
      clientCertificate(this.#deps.settings),
      {
        onError: (err) =>
          logger.error("can't renew certificate", { cause: err.message }),
      },
    );
  }

  #perform(intent: Intent): void {
    switch (intent.type) {
      case "start_attempt":
        return this.#runner.start(intent);
      case "cancel_attempt":
        return this.#runner.cancel(intent);
      case "answer":
        return this.#sendProblem(intent);
      case "answer_recorded":
        return this.#sendRecordedResponse(intent);
      case "append":
        return this.#logAdapter.append(intent);
      case "read_log":
        return void this.#logAdapter.read(intent);
      case "send_peer":
        return void this.#sendPeer(intent);
      case "send_order":
        return void this.#orders.order(intent);
      case "reserve_memory":
        return void this.#orders.reserve(intent);
      case "release_memory":
        return void this.#orders.release(intent);
      case "log_line":
        return void this.#deps.logger.log(
          intent.level,
          intent.message,
          intent.fields,
        );
      case "forward_call":
        return void this.#forwarder.send(intent);
      case "measured":
        return this.#metrics?.sendTiming(intent.timing);
      case "exit":
        return void this.#exit();
    }
  }

  #sendProblem(intent: Extract<Intent, { type: "answer" }>): void {
    const exchange = this.#exchanges.get(intent.req);
    this.#exchanges.delete(intent.req);
    const { code, verdict, detail } = intent.problem;
    const { team } = exchange?.req ?? {};
    this.#deps.logger.warn("request failed", {
      req: intent.req,
      team,
      reason: code,
      verdict,
      detail,
    });
    if (exchange?.kind === "prompt") exchange.writer.fail(intent.problem);
    else exchange?.fail(intent.problem);
  }

  #sendRecordedResponse(
    intent: Extract<Intent, { type: "answer_recorded" }>,
  ): void {
    const exchange = this.#exchanges.get(intent.req);
    this.#exchanges.delete(intent.req);
    if (exchange?.kind !== "call") return;
    const body = Buffer.from(intent.body);
    exchange.finish({
      status: intent.status,
      contentType: intent.contentType ?? "application/json",
      body,
    });
  }

  async #sendPeer(
    intent: Extract<Intent, { type: "send_peer" }>,
  ): Promise<void> {
    const { address, envelope } = intent;
    const sent = await this.#peers.send(address, envelope);
    if (sent.isErr()) this.#loop.post({ type: "peer_unreachable", address });
  }

  async #exit(): Promise<void> {
    this.#deps.logger.info("drained", {});
    const closed = new Promise<void>((resolve) =>
      this.#http.close(() => resolve())
    );
    this.#http.closeIdleConnections();
    await Promise.race([closed, setTimeout(CLOSE_GRACE_MS)]);
    this.#stop();
    this.#peerServer.kill();
    await this.#metrics?.close();
    await this.#clients.close();
    this.#deps.onExit();
  }
}

function createSelf(deps: DaemonDeps): Self {
  const { daemon } = deps.settings;
  const startedAt = deps.clock.now();
  return {
    id: deps.random.uuid(startedAt) as DaemonId,
    vm: daemon.vm,
    domain: daemon.domain,
    clientAddress: daemon.clientAddress,
    peerAddress: daemon.peerAddress,
    startedAt,
  };
}

function peerCredentials(settings: DaemonSettings): PeerCredentials {
  const { certPath, keyPath, caPath } = settings.tls;
  return certPath && keyPath && caPath
    ? mutualTlsCredentials({ certPath, keyPath, caPath })
    : insecureCredentials();
}

function clientCertificate(
  settings: DaemonSettings,
): ServerCertificate | undefined {
  const { certPath, keyPath } = settings.tls;
  return certPath && keyPath ? { certPath, keyPath } : undefined;
}
