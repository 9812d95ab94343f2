import {
  createServer as createHttpServer,
  type IncomingHttpHeaders,
  request,
} from "node:http";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { PlatformDialect } from "../../platform/wire/dialect.ts";
import { addMs, type Millis } from "../core/time.ts";
import type { Drain } from "../gateway/requests/drain_gate.ts";
import type { ProcessResources } from "../gateway/requests/client_budget.ts";
import { FrontServer } from "../gateway/requests/front_server.ts";
import { RouteTable } from "../gateway/serving/route_table.ts";
import type {
  Route,
  ServingConfig,
} from "../gateway/serving/serving_config.ts";
import {
  createFakePort,
  type FakePort,
  servingWithRoutes,
} from "./fake_gateway_port.ts";

/** Handles one connection of an upstream, called when the first bytes of a request arrive. */
export type UpstreamScript = (socket: Socket) => void;

/** Final response of one request; status 0 if there was none. */
export type FrontResponse = Readonly<{
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
  /** Whether the response was complete by the rules of HTTP. */
  complete: boolean;
}>;

/** What the front server reads of its daemon, and tests may change. */
type FixtureState = { drain: Drain | undefined; routes: RouteTable };

/** A front server whose upstreams send the bytes that their scripts write. */
export class FrontServerFixture {
  readonly exchangePort: FakePort;
  /** Host and port of each upstream. */
  readonly addresses: readonly string[];
  readonly #servers: readonly Server[];
  readonly frontServer: FrontServer;
  /** Port of the front server. */
  readonly port: number;
  readonly #state: FixtureState;

  private constructor(
    exchangePort: FakePort,
    servers: readonly Server[],
    front: Readonly<
      { server: FrontServer; port: number; state: FixtureState }
    >,
  ) {
    this.exchangePort = exchangePort;
    this.addresses = servers.map(addressOf);
    this.#servers = servers;
    this.frontServer = front.server;
    this.port = front.port;
    this.#state = front.state;
  }

  /** Starts an upstream for each script; requests are placed on them in turn. */
  static async start(
    scripts: readonly UpstreamScript[],
    fields: Partial<Route> = {},
    options: Readonly<{ resources?: ProcessResources }> = {},
  ): Promise<FrontServerFixture> {
    const servers = scripts.map((script) =>
      createServer((socket) => {
        socket.on("error", () => {});
        socket.once("data", () => script(socket));
      })
    );
    await Promise.all(servers.map(listen));
    const addresses = servers.map(addressOf);
    const exchangePort = createFakePort(PlatformDialect.create(), addresses);
    const state: FixtureState = {
      drain: undefined,
      routes: RouteTable.create(servingWithRoutes(fields)),
    };
    const server = FrontServer.create(exchangePort, {
      routes: () => state.routes,
      drain: () => state.drain,
    }, options);
    const portProbe = createHttpServer();
    const port = await listen(portProbe);
    await new Promise<void>((resolve) => portProbe.close(() => resolve()));
    await server.listen("127.0.0.1", port);
    return new FrontServerFixture(exchangePort, servers, {
      server,
      port,
      state,
    });
  }

  /** Begins a planned stop `agoMs` ago, which cuts open requests `leftMs` from now. */
  drain(agoMs: Millis, leftMs: Millis): void {
    const now = this.exchangePort.now();
    this.#state.drain = {
      since: addMs(now, -agoMs),
      endsAt: addMs(now, leftMs),
    };
    this.frontServer.limitWaits();
  }

  /** Puts the next version of the configuration in force. */
  configure(change: (serving: ServingConfig) => Partial<ServingConfig>): void {
    const { serving } = this.#state.routes;
    this.#state.routes = RouteTable.create({
      ...serving,
      version: (serving.version + 1) as ServingConfig["version"],
      ...change(serving),
    });
  }

  /** Sends one request with a team's key; resolves with its final response. The client leaves at the `signal`. */
  send(
    path: string,
    headers: Record<string, string> = {},
    options: Readonly<{ signal?: AbortSignal }> = {},
  ) {
    return new Promise<FrontResponse>((resolve) => {
      const req = request({
        host: "127.0.0.1",
        port: this.port,
        path,
        method: "POST",
        agent: false,
        ...options,
        headers: {
          host: "h.example",
          "x-request-id": "r1",
          "x-deadline-ms": "5000",
          authorization: "Bearer key-1",
          ...headers,
        },
      }, (res) => {
        let body = "";
        res.on("data", (chunk) => body += chunk);
        res.on("error", () => {});
        const { headers } = res;
        const status = res.statusCode ?? 0;
        res.on(
          "close",
          () => resolve({ status, headers, body, complete: res.complete }),
        );
      });
      req.on(
        "error",
        () => resolve({ status: 0, headers: {}, body: "", complete: false }),
      );
      req.end("{}");
    });
  }

  close(): void {
    this.frontServer.close();
    for (const server of this.#servers) server.close();
  }
}

/** Status line and headers of an upstream's response. */
export function responseHeadText(
  status: number,
  headers: Readonly<Record<string, string | number>> = {},
): string {
  const all = { "X-Request-Id": "r1", Connection: "close", ...headers };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
  return [`HTTP/1.1 ${status} -`, ...lines, "", ""].join("\r\n");
}

function addressOf(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function listen(server: Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return (server.address() as AddressInfo).port;
}
