import { Hono } from "hono";
import { z } from "zod";
import { type Millis, SECOND_MS } from "../../src/core/time.ts";
import { readJson } from "../common/body.ts";
import { pause, staySilent } from "../common/break.ts";
import {
  type HostContext,
  type HostEnv,
  HttpHost,
  type ListenOptions,
} from "../common/http_host.ts";

const DEFAULT_LOAD_MS: Millis = 30 * SECOND_MS;
const DEFAULT_CONCURRENCY = 2;

const whole = z.number().int().nonnegative();

/** Body of `POST /control` of the weight store; what is absent stays as it is. */
export const WeightStoreControlSchema = z.object({
  /** How long one load takes. */
  load_ms: whole.max(600_000).optional(),
  /** Loads at a time. */
  concurrency: whole.max(1_000).optional(),
  /** Answers 503. */
  outage: z.boolean().optional(),
  /** Takes the call and never answers. */
  hang: z.boolean().optional(),
}).strict().readonly();
/** Settings and faults of the weight store. */
export type WeightStoreControl = z.infer<typeof WeightStoreControlSchema>;

/** How a weight store is set up. */
export type WeightStoreConfig = Readonly<
  { loadMs?: Millis; concurrency?: number }
>;

/** What a weight store has done. */
export type WeightStoreCounts = Readonly<
  { running: number; loaded: number; refused: number }
>;

/** A stand-in for the rate-limited weight store. */
export class WeightStore {
  readonly #host: HttpHost;
  #faults: WeightStoreControl;
  #running = 0;
  #loaded = 0;
  #refused = 0;

  private constructor(cfg: WeightStoreConfig) {
    this.#faults = {
      load_ms: cfg.loadMs ?? DEFAULT_LOAD_MS,
      concurrency: cfg.concurrency ?? DEFAULT_CONCURRENCY,
    };
    this.#host = HttpHost.create(this.#routes());
  }

  static create(cfg: WeightStoreConfig = {}): WeightStore {
    return new WeightStore(cfg);
  }

  /** Starts listening; resolves with `host:port`. */
  listen(options: ListenOptions = {}): Promise<string> {
    return this.#host.listen(options);
  }

  close(): Promise<void> {
    return this.#host.close();
  }

  /** Switches settings and faults; what is absent stays as it is. */
  control(change: WeightStoreControl): void {
    this.#faults = { ...this.#faults, ...change };
  }

  /** Returns what the store has done. */
  counts(): WeightStoreCounts {
    return {
      running: this.#running,
      loaded: this.#loaded,
      refused: this.#refused,
    };
  }

  #routes(): Hono<HostEnv> {
    const app = new Hono<HostEnv>();
    app.get("/weights/:model/:version", (c) => this.#load(c));
    app.get("/control", (c) => c.json({ ...this.#faults, ...this.counts() }));
    app.post("/control", async (c) => {
      const body = await readJson(c, WeightStoreControlSchema);
      if (body.isErr()) return body.error;
      this.control(body.value);
      return c.json({ ...this.#faults, ...this.counts() });
    });
    return app;
  }

  async #load(c: HostContext): Promise<Response> {
    const { hang, outage } = this.#faults;
    const loadMs = this.#faults.load_ms ?? DEFAULT_LOAD_MS;
    const concurrency = this.#faults.concurrency ?? DEFAULT_CONCURRENCY;
    if (hang) return staySilent();
    if (outage) return c.json({ detail: "The weight store is down" }, 503);
    if (this.#running >= concurrency) {
      this.#refused += 1;
      return c.json({ detail: "Too many loads at a time" }, 429, {
        "retry-after": String(Math.ceil(loadMs / SECOND_MS)),
      });
    }
    this.#running += 1;
    const finished = await Promise.race([
      pause(loadMs).then(() => true),
      connectionClosed(c),
    ]);
    this.#running -= 1;
    if (finished) this.#loaded += 1;
    const { model, version } = c.req.param() as Record<string, string>;
    return c.json({ model, version });
  }
}

function connectionClosed(c: HostContext): Promise<false> {
  return new Promise((resolve) => {
    c.env.outgoing.once("close", () => resolve(false));
  });
}
