import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { HEADER, PATH } from "../../platform/wire/words.ts";
import { listenOn } from "../../platform/soak/listen.ts";

/** Answers a request that the worker runs; `run` numbers the runs of the worker. */
export type RunRequest = (
  req: IncomingMessage,
  res: ServerResponse,
  run: Readonly<{ id: string; seal: string; body: string }>,
) => void;

/** A worker: its identity in the register, and how it runs requests. */
export type WorkerOptions = Readonly<{
  service: string;
  id: string;
  zone: string;
  slots: number;
  run: RunRequest;
}>;

/** Stand-in for a worker of the platform: runs what names it, and turns away all else as not run. */
export class Worker {
  readonly options: WorkerOptions;
  readonly #server: Server;
  #runs = 0;
  #sequence = 0;
  born = Date.now();
  address = "";

  private constructor(options: WorkerOptions) {
    this.options = options;
    this.#server = createServer((req, res) => this.#serve(req, res));
    this.#server.keepAliveTimeout = 0;
  }

  static async start(options: WorkerOptions): Promise<Worker> {
    const worker = new Worker(options);
    worker.address = await listenOn(worker.#server);
    return worker;
  }

  /** The worker's entry in the register. */
  entry() {
    const { service, zone, slots } = this.options;
    this.#sequence += 1;
    return {
      service,
      address: this.address,
      zone,
      version: "1",
      slots,
      state: "ready",
      coldRemainingMs: 0,
      sequence: this.#sequence,
      born: this.born,
    };
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #serve(req: IncomingMessage, res: ServerResponse): void {
    let body = "";
    req.on("data", (chunk) => body += chunk);
    req.on("end", () => {
      if (req.url === PATH.report) {
        return void res.end(JSON.stringify({ pace: 1, born: this.born }));
      }
      if (req.url === PATH.order) return void res.end('{"free":100000}');
      const id = String(req.headers[HEADER.requestId]);
      res.setHeader(HEADER.requestId, id);
      if (req.headers[HEADER.onlyUpstream] !== this.options.id) {
        res.writeHead(421, { [HEADER.notRun]: "1", "content-length": 0 });
        return void res.end();
      }
      this.#runs += 1;
      const seal = `${this.options.id}.${this.#runs}`;
      res.setHeader(HEADER.digest, seal);
      this.options.run(req, res, { id, seal, body });
    });
  }
}
