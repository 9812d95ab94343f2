import { Hono } from "hono";
import { SECOND_MS, type Timestamp } from "../../src/core/time.ts";
import {
  LogAppendSchema,
  type LogBatch,
  MAX_LOG_BODY_BYTES,
} from "../../src/wire/log.ts";
import { readJson } from "../common/body.ts";
import { pause, resetConnection, staySilent } from "../common/break.ts";
import {
  type HostContext,
  type HostEnv,
  HttpHost,
  type ListenOptions,
} from "../common/http_host.ts";
import { type LogControl, LogControlSchema, meets } from "./control.ts";
import {
  LogStore,
  type LogStoreConfig,
  type LogStoreError,
} from "./log_store.ts";

const DEFAULT_LIMIT = 1_000;
const MAX_WAIT_MS = 30_000;
const MAX_WAITERS = 2_000;
const OUTAGE_RETRY_S = 1;

/** Defaults of the log service. */
export const LOG_SERVICE_DEFAULTS: LogStoreConfig = {
  retentionMs: 3_600_000,
  maxRecords: 200_000,
  recordsPerSecond: 500,
  maxStreams: 200,
};

/** How a log service is set up; what is absent has its default. */
export type LogServiceConfig =
  & Partial<LogStoreConfig>
  & Readonly<{ now?: () => Timestamp }>;

type AppendFault =
  | "reset_before_append"
  | "reset_after_append"
  | "error_after_append";

/** A stand-in for the platform's log service. */
export class LogService {
  readonly #store: LogStore;
  readonly #now: () => Timestamp;
  readonly #host: HttpHost;
  readonly #waiters = new Set<() => void>();
  #faults: LogControl = {};

  private constructor(cfg: LogServiceConfig) {
    this.#store = LogStore.create({ ...LOG_SERVICE_DEFAULTS, ...cfg });
    this.#now = cfg.now ?? (() => Date.now() as Timestamp);
    this.#host = HttpHost.create(this.#routes());
  }

  static create(cfg: LogServiceConfig = {}): LogService {
    return new LogService(cfg);
  }

  /** Starts listening; resolves with `host:port`. */
  listen(options: ListenOptions = {}): Promise<string> {
    return this.#host.listen(options);
  }

  close(): Promise<void> {
    return this.#host.close();
  }

  /** Switches faults; what is absent stays as it is. */
  control(change: LogControl): void {
    const { expire, ...faults } = change;
    this.#faults = { ...this.#faults, ...faults };
    if (expire !== undefined) {
      this.#store.expireBelow(expire.stream, expire.below);
    }
  }

  /** Returns the first and the end offset of each stream. */
  extents(): ReturnType<LogStore["extents"]> {
    return this.#store.extents();
  }

  /** Returns how many reads wait for a record. */
  waiting(): number {
    return this.#waiters.size;
  }

  #routes(): Hono<HostEnv> {
    const app = new Hono<HostEnv>();
    app.post("/streams/:stream/records", (c) => this.#append(c));
    app.get("/streams/:stream/records", (c) => this.#read(c));
    app.get(
      "/control",
      (c) => c.json({ ...this.#faults, streams: this.extents() }),
    );
    app.post("/control", async (c) => {
      const body = await readJson(c, LogControlSchema);
      if (body.isErr()) return body.error;
      this.control(body.value);
      return c.json({ ...this.#faults, streams: this.extents() });
    });
    return app;
  }

  async #append(c: HostContext): Promise<Response> {
    const body = await readJson(c, LogAppendSchema, {
      maxBytes: MAX_LOG_BODY_BYTES,
    });
    if (body.isErr()) return body.error;
    await pause(this.#faults.delay_ms ?? 0);
    if (meets(this.#faults.hang, "appends")) return staySilent();
    if (meets(this.#faults.outage, "appends")) return refuseOutage(c);
    if (this.#takeFault("reset_before_append")) return resetConnection(c);
    const appended = this.#store.append(
      this.#now(),
      c.req.param("stream")!,
      body.value.records,
    );
    if (appended.isErr()) return refuse(c, appended.error);
    this.#wake();
    if (this.#takeFault("reset_after_append")) return resetConnection(c);
    if (this.#takeFault("error_after_append")) {
      return c.json({ detail: "Failed after the effect" }, 500);
    }
    if (meets(this.#faults.malformed, "appends")) return c.json({ offset: "" });
    return c.json({ first_offset: appended.value });
  }

  async #read(c: HostContext): Promise<Response> {
    await pause(this.#faults.delay_ms ?? 0);
    if (meets(this.#faults.hang, "reads")) return staySilent();
    if (meets(this.#faults.outage, "reads")) return refuseOutage(c);
    const from = wholeQuery(c, "from", 0);
    const limit = wholeQuery(c, "limit", DEFAULT_LIMIT);
    const waitMs = wholeQuery(c, "wait_ms", 0);
    if (from === undefined || limit === undefined || waitMs === undefined) {
      return c.json({ detail: "A query value is not a whole number" }, 400);
    }
    const read = () =>
      this.#store.read(this.#now(), c.req.param("stream")!, { from, limit });
    let result = read();
    const deadline = performance.now() + Math.min(waitMs, MAX_WAIT_MS);
    while (result.isOk() && isEmpty(result.value)) {
      const left = deadline - performance.now();
      if (left <= 0 || this.#waiters.size >= MAX_WAITERS) break;
      await this.#nextAppend(left);
      result = read();
    }
    if (result.isErr()) return refuse(c, result.error);
    if (meets(this.#faults.malformed, "reads")) {
      return c.json({ ...result.value, next_offset: -1 });
    }
    if (this.#faults.leave_out) {
      return c.json({
        ...result.value,
        records: result.value.records.slice(1),
      });
    }
    return c.json(result.value);
  }

  #takeFault(name: AppendFault): boolean {
    const left = this.#faults[name] ?? 0;
    if (left === 0) return false;
    this.#faults = { ...this.#faults, [name]: left - 1 };
    return true;
  }

  #nextAppend(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.#waiters.add(wake);
    });
  }

  #wake(): void {
    for (const wake of [...this.#waiters]) wake();
  }
}

function isEmpty(batch: LogBatch): boolean {
  return batch.records.length === 0;
}

function wholeQuery(
  c: HostContext,
  name: string,
  fallback: number,
): number | undefined {
  const value = Number(c.req.query(name) ?? fallback);
  return Number.isInteger(value) && value >= 0 ? value : undefined;
}

function refuseOutage(c: HostContext): Response {
  return c.json({ detail: "The log service is down" }, 503, {
    "retry-after": String(OUTAGE_RETRY_S),
  });
}

function refuse(c: HostContext, err: LogStoreError): Response {
  switch (err.code) {
    case "gone":
      return c.json({ first_offset: err.firstOffset }, 410);
    case "rate_limited": {
      const seconds = Math.ceil(err.retryAfterMs / SECOND_MS);
      return c.json({ detail: "The append rate is used up" }, 429, {
        "retry-after": String(seconds),
      });
    }
    case "too_many_streams":
      return c.json({ detail: "No more streams" }, 403);
  }
}
