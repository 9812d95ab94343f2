import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { UpstreamId } from "../../core/id.ts";
import { type Problem, problem } from "../../core/problem.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import { ClientAnswer } from "./client_answer.ts";
import type { ClientHead } from "./dialect.ts";
import { Exchange } from "./exchange.ts";
import { endOf } from "./exchange_parts.ts";
import type { ExchangePort } from "./exchange_port.ts";
import type { AdmittedRequest, RouteTable } from "../serving/route_table.ts";

/** Bytes of a head that the parser takes; what the configuration allows is checked afterwards. */
const PARSER_HEAD_BYTES = 64 * 1024;
/** Limits before any configuration is known. */
const FIRST_HEAD_MS: Millis = 5_000;
const FIRST_IDLE_MS: Millis = 15_000;
/** Time in which a whole request must come. */
const REQUEST_MS: Millis = 30_000;
/** How often slow clients are looked for. */
const CHECK_MS: Millis = 1_000;
/** Added to the idle time that clients count on. */
const IDLE_MARGIN_MS: Millis = 1_000;
/** How long a daemon that is leaving still takes new requests: clients may use older answers of the directory. */
const LEAVING_SERVE_MS: Millis = 3_000;
/** Retry-After of a refusal that another daemon would not give. */
const ELSEWHERE_MS: Millis = 50;
const NO_CONFIG_MS: Millis = 500;

/** What the front needs to know of the daemon. */
export type FrontState = Readonly<{
  routes: () => RouteTable | undefined;
  drainingSince: () => Timestamp | undefined;
}>;

/** Takes the requests of clients, and refuses at once what can't be served. */
export class FrontServer {
  readonly #port: ExchangePort;
  readonly #state: FrontState;
  readonly #server: Server;
  readonly #exchanges = new Set<Exchange>();
  #open = 0;

  private constructor(port: ExchangePort, state: FrontState) {
    this.#port = port;
    this.#state = state;
    this.#server = createServer(
      {
        maxHeaderSize: PARSER_HEAD_BYTES,
        keepAliveTimeout: FIRST_IDLE_MS + IDLE_MARGIN_MS,
        headersTimeout: FIRST_HEAD_MS,
        requestTimeout: REQUEST_MS,
        connectionsCheckingInterval: CHECK_MS,
        noDelay: true,
      },
      (req, res) => this.#serve(req, res),
    );
  }

  static create(port: ExchangePort, state: FrontState): FrontServer {
    return new FrontServer(port, state);
  }

  /** Requests that have no final answer yet. */
  get open(): number {
    return this.#open;
  }

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port }, () => resolve());
    });
  }

  /** Takes over the limits of a new configuration. */
  applyLimits(limits: Readonly<{ headMs: Millis; idleMs: Millis }>): void {
    this.#server.headersTimeout = limits.headMs + CHECK_MS;
    this.#server.keepAliveTimeout = limits.idleMs + IDLE_MARGIN_MS;
  }

  upstreamLost(id: UpstreamId): void {
    for (const exchange of this.#exchanges) exchange.upstreamLost(id);
  }

  /** Takes no new connections, and ends the idle ones. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  #serve(req: IncomingMessage, res: ServerResponse): void {
    this.#open += 1;
    res.once("close", () => this.#open -= 1);
    const arrivedAt = this.#port.now();
    const leaving = () => this.#state.drainingSince() !== undefined;
    const answer = ClientAnswer.create(res, leaving);
    const admitted = this.#admit(req, arrivedAt);
    if ("problem" in admitted) {
      // The rest of the body is not read: the connection can't be used again.
      const unread = req.headers["content-length"] !== undefined ||
        req.headers["transfer-encoding"] !== undefined;
      this.#refuse(answer, admitted, unread);
      return;
    }
    this.#read(req, res, { ...admitted, arrivedAt, answer });
  }

  #admit(req: IncomingMessage, now: Timestamp): Entry | Refused {
    const since = this.#state.drainingSince();
    const decoded = this.#port.dialect.decodeRequest(
      req.method ?? "",
      req.url ?? "",
      req.rawHeaders,
    );
    if (decoded.isErr()) return { problem: decoded.error };
    const head = decoded.value;
    if (since !== undefined && now - since > LEAVING_SERVE_MS) {
      const left = problem("draining", "This daemon is leaving", {
        retryAfterMs: ELSEWHERE_MS,
      });
      return { head, problem: left };
    }
    const routes = this.#state.routes();
    if (routes === undefined) {
      const unknown = problem(
        "not_configured",
        "No configuration is known yet",
        {
          retryAfterMs: NO_CONFIG_MS,
        },
      );
      return { head, problem: unknown };
    }
    const { limits } = routes.serving;
    if (headBytes(req) > limits.headBytes) {
      return {
        head,
        problem: problem("head_too_large", "The head is too large"),
      };
    }
    if (Number(req.headers["content-length"] ?? 0) > limits.bodyBytes) {
      return {
        head,
        problem: problem("body_too_large", "The body is too large"),
      };
    }
    const admitted = routes.admit(head);
    if (admitted.isErr()) return { head, problem: admitted.error };
    return { head, admitted: admitted.value, bodyBytes: limits.bodyBytes };
  }

  #read(req: IncomingMessage, res: ServerResponse, entry: Reading): void {
    const chunks: Buffer[] = [];
    let size = 0;
    let exchange: Exchange | undefined;
    res.once("close", () => {
      if (exchange === undefined) return;
      this.#exchanges.delete(exchange);
      if (!res.writableFinished) exchange.abandon();
    });
    req.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size <= entry.bodyBytes) chunks.push(chunk);
      else if (!entry.answer.begun) {
        req.pause();
        const err = problem("body_too_large", "The body is too large");
        this.#refuse(entry.answer, { head: entry.head, problem: err }, true);
      }
    });
    req.on("end", () => {
      if (entry.answer.begun || res.destroyed) return;
      exchange = this.#start(entry, Buffer.concat(chunks));
    });
  }

  #start(entry: Reading, body: Buffer): Exchange {
    const { head, admitted, arrivedAt, answer } = entry;
    const exchange = Exchange.create(this.#port, {
      head,
      body,
      admitted,
      arrivedAt,
      endsAt: endOf(arrivedAt, {
        timeoutMs: admitted.route.timeoutMs,
        leftMs: head.leftMs,
      }),
      digest: digestOf(entry, body),
    }, { answer });
    this.#exchanges.add(exchange);
    exchange.start();
    return exchange;
  }

  #refuse(answer: ClientAnswer, refused: Refused, unread: boolean): void {
    const { head } = refused;
    const err = refused.problem;
    this.#port.observe.problem(err.code, err.verdict);
    this.#port.line("turned_away", {
      req: head?.id,
      host: head?.host,
      path: head?.path,
      code: err.code,
      version: this.#state.routes()?.serving.version,
    });
    answer.refuse(err, unread ? { connection: "close" } : {});
  }
}

type Entry = Readonly<
  { head: ClientHead; admitted: AdmittedRequest; bodyBytes: number }
>;
type Refused = Readonly<{ head?: ClientHead; problem: Problem }>;
type Reading =
  & Entry
  & Readonly<{ arrivedAt: Timestamp; answer: ClientAnswer }>;

function headBytes(req: IncomingMessage): number {
  let size = (req.url ?? "").length;
  for (const part of req.rawHeaders) size += part.length + 2;
  return size;
}

/** Tells content that crashes upstreams again by its caller, its path and its bytes. */
function digestOf(entry: Entry, body: Buffer): string {
  return createHash("sha1")
    .update(entry.admitted.team?.id ?? "")
    .update("\n")
    .update(entry.head.path)
    .update("\n")
    .update(body)
    .digest("base64url");
}
