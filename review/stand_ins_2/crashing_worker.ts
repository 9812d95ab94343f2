import { createServer, type Server, type Socket } from "node:net";
import {
  answerReport,
  type Platform,
  readRequests,
  sleep,
  type WorkerRequest,
} from "./harness.ts";

/** Time until a crashed worker listens again. */
const DOWN_MS = 2_500;
/** Three heartbeats of a worker, after which the entry of a silent one is removed. */
const LAPSE_MS = 3_600;

type CrashingWorkerOptions = Readonly<{
  service: string;
  name: string;
  slots: number;
  /** The body of a successful answer, or that the request crashes the worker. */
  serve: (req: WorkerRequest, worker: CrashingWorker) => string;
}>;

/** A worker whose process ends when a request crashes it, and starts again as a new one at the same address. */
export class CrashingWorker {
  id: string;
  readonly #platform: Platform;
  readonly #options: CrashingWorkerOptions;
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;
  #port = 0;
  #starts = 0;
  #born = 0;
  #runs = 0;

  private constructor(platform: Platform, options: CrashingWorkerOptions) {
    this.#platform = platform;
    this.#options = options;
    this.id = options.name;
  }

  static async start(
    platform: Platform,
    options: CrashingWorkerOptions,
  ): Promise<CrashingWorker> {
    const worker = new CrashingWorker(platform, options);
    await worker.#listen();
    return worker;
  }

  async #listen(): Promise<void> {
    const { name, service, slots } = this.#options;
    this.#starts += 1;
    this.id = `${name}-${this.#starts}`;
    this.#born = Date.now();
    const server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      readRequests(socket, (req) => this.#serve(req));
    });
    this.#server = server;
    await new Promise<void>((resolve) =>
      server.listen(this.#port, "127.0.0.1", resolve)
    );
    this.#port = (server.address() as { port: number }).port;
    const address = `127.0.0.1:${this.#port}`;
    const born = this.#born;
    this.#platform.register(this.id, { service, address, slots, born });
  }

  #serve(req: WorkerRequest): void {
    if (answerReport(req, this.#born)) return;
    const { headers, socket } = req;
    const answer = (status: string, body: string, ...fields: string[]) =>
      socket.write(
        [
          `HTTP/1.1 ${status}`,
          ...fields,
          `Content-Length: ${body.length}`,
          "",
          body,
        ].join("\r\n"),
      );
    const idField = `X-Request-Id: ${headers.get("x-request-id")}`;
    if (headers.get("x-expect-instance") !== this.id) {
      answer("421 Misdirected Request", "", idField, "X-Not-Executed: 1");
      return;
    }
    const result = this.#options.serve(req, this);
    if (result === "crash") return void this.#crash();
    this.#runs += 1;
    answer(
      "200 OK",
      result,
      idField,
      `X-Response-Seal: ${this.id}.${this.#runs}`,
    );
  }

  async #crash(): Promise<void> {
    const crashed = this.id;
    this.#server?.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    void sleep(LAPSE_MS).then(() => this.#platform.unregister(crashed));
    await sleep(DOWN_MS);
    await this.#listen();
  }
}
