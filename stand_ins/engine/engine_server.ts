import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import type { ServerResponse } from "node:http";
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from "node:timers";
import { v4 as uuid } from "uuid";
import type {
  AttemptId,
  FencingNumber,
  Incarnation,
  PlanId,
} from "../../src/core/id.ts";
import { Random } from "../../src/core/random.ts";
import { addMs, earliest, type Millis } from "../../src/core/time.ts";
import {
  BYTES_PER_TOKEN,
  type EngineEvent,
  EngineOrderSchema,
  type EngineRefusal,
  type EngineState,
  type GenerateHead,
  KvImportSchema,
  ReservationSchema,
  STREAM_PING_MS,
} from "../../src/wire/engine.ts";
import { readJson } from "../common/body.ts";
import {
  answerGarbage,
  answerHalf,
  resetConnection,
  staySilent,
} from "../common/break.ts";
import {
  type HostContext,
  type HostEnv,
  HttpHost,
  type ListenOptions,
} from "../common/http_host.ts";
import { answerLength, MEAN_ANSWER_TOKENS } from "./answer.ts";
import { AnswerStream } from "./answer_stream.ts";
import { EngineModel } from "./engine_model.ts";
import {
  type CallName,
  type EngineControl,
  EngineControlSchema,
  Faults,
} from "./faults.ts";
import type { EngineJob, ModelEvent } from "./job.ts";
import { fetchKv, peersHold } from "./kv_exchange.ts";
import { LaggedReports } from "./lagged_reports.ts";
import { ModelClock } from "./model_clock.ts";
import type { EngineModelOptions } from "./model_config.ts";
import { type ReadPrompt, readPrompt } from "./prompt_reader.ts";
import { WeightLoader } from "./weight_loader.ts";

/** Time that an answer without a reader goes on, for a client that comes back. */
export const ORPHAN_MS: Millis = 30_000;
/** Time that a finished answer can be read again. */
export const KEEP_MS: Millis = 60_000;
/** Answers that are kept at a time, running ones included. */
export const MAX_STREAMS = 4_096;
/** Time between two checks that a plan's other engines are there. */
export const PEER_CHECK_MS: Millis = 1_000;

const REFUSAL_STATUS = {
  bad_request: 400,
  not_loaded: 409,
  too_long: 413,
  queue_full: 429,
  leaving: 503,
  stale_fencing: 409,
  no_memory: 409,
  unknown_stream: 404,
  unknown_plan: 404,
  import_failed: 502,
} as const satisfies Record<EngineRefusal["code"], number>;

/** How an engine stand-in is set up. */
export type EngineServerConfig =
  & Pick<EngineModelOptions, "loaded">
  & Readonly<{
    /** Other figures of the cost model. */
    model?: Partial<EngineModelOptions>;
    checksFencing?: boolean;
    /** `host:port` of the weight store. */
    weightStore?: string;
    timeScale?: number;
    meanAnswerTokens?: number;
    orphanMs?: Millis;
    keepMs?: Millis;
    pingMs?: Millis;
    peerCheckMs?: Millis;
    seed?: number;
    /** Incarnation of the first run; a random one where absent. */
    incarnation?: Incarnation;
    /** Called for a crash; without it the server closes, and `restart` brings it back. */
    onCrash?: () => void;
  }>;

type StreamEntry = {
  readonly stream: AnswerStream;
  timer: NodeJS.Timeout | undefined;
  watch: NodeJS.Timeout | undefined;
};

/** A model engine that speaks HTTP, run by the cost model. */
export class EngineServer {
  readonly #cfg: EngineServerConfig;
  readonly #clock: ModelClock;
  readonly #random: Random;
  readonly #model: EngineModel;
  readonly #faults = Faults.create();
  readonly #streams = new Map<AttemptId, StreamEntry>();
  readonly #transfers = new Map<string, () => void>();
  #host: HttpHost;
  #loader: WeightLoader;
  #reports: LaggedReports;
  #fencing: FencingNumber | undefined;
  #poison = "";
  #address = "";
  #timer: NodeJS.Timeout | undefined;
  #pings: NodeJS.Timeout | undefined;
  #thaw: Promise<void> | undefined;
  #closed = false;

  private constructor(cfg: EngineServerConfig) {
    this.#cfg = cfg;
    this.#clock = ModelClock.create(cfg.timeScale);
    this.#random = Random.create(cfg.seed ?? 1);
    this.#model = EngineModel.create({
      ...cfg.model,
      loaded: cfg.loaded,
      incarnation: cfg.incarnation ?? newIncarnation(),
    });
    this.#loader = this.#createLoader();
    this.#reports = LaggedReports.create(this.#random, this.#clock.now());
    this.#host = HttpHost.create(this.#routes());
  }

  static create(cfg: EngineServerConfig): EngineServer {
    return new EngineServer(cfg);
  }

  /** `host:port`, once it listens. */
  get address(): string {
    return this.#address;
  }

  get model(): EngineModel {
    return this.#model;
  }

  /** Answers that are running or kept. */
  get streams(): number {
    return this.#streams.size;
  }

  /** Starts listening; resolves with `host:port`. */
  async listen(options: ListenOptions = {}): Promise<string> {
    this.#address = await this.#host.listen(options);
    const pingMs = this.#cfg.pingMs ?? STREAM_PING_MS;
    this.#pings = setInterval(() => this.#ping(), pingMs);
    this.#pump();
    return this.#address;
  }

  async close(): Promise<void> {
    this.#closed = true;
    this.#stop();
    await this.#host.close();
  }

  /** Loses everything and stops listening. */
  crash(): void {
    this.#model.crash(this.#clock.now());
    this.#pump();
  }

  /** Comes back at the same address, empty, as a new incarnation. */
  async restart(): Promise<void> {
    this.#model.restart(newIncarnation());
    this.#model.setLoaded(this.#cfg.loaded, this.#model.role);
    this.#loader = this.#createLoader();
    this.#reports = LaggedReports.create(this.#random, this.#clock.now());
    this.#fencing = undefined;
    this.#host = HttpHost.create(this.#routes());
    const [address, port] = this.#address.split(":");
    await this.listen({ address, port: Number(port) });
  }

  /** Switches faults; what is absent stays as it is. */
  control(change: EngineControl): void {
    const control = EngineControlSchema.parse(change);
    if (control.poison !== undefined) this.#poison = control.poison;
    if (control.leaving) this.#model.leave();
    if (control.time_scale) this.#clock.setScale(control.time_scale);
    if (control.answer_fault) this.#faults.addAnswer(control.answer_fault);
    if (control.call_fault) this.#faults.addCall(control.call_fault);
    if (control.freeze_ms) this.#freeze(control.freeze_ms);
    if (control.crash) this.crash();
    this.#pump();
  }

  #routes(): Hono<HostEnv> {
    const app = new Hono<HostEnv>();
    app.post("/control", (c) => this.#control(c));
    app.use(async (_c, next) => {
      await this.#thaw;
      await next();
    });
    this.#on(app, "post", "/v1/generate", "generate", (c) => this.#generate(c));
    this.#on(
      app,
      "get",
      "/v1/streams/:attempt",
      "resume",
      (c) => this.#resume(c),
    );
    this.#on(
      app,
      "delete",
      "/v1/streams/:attempt",
      "cancel",
      (c) => this.#cancel(c),
    );
    this.#on(app, "get", "/v1/load", "load", (c) => this.#load(c));
    this.#on(
      app,
      "get",
      "/v1/state",
      "state",
      (c) => c.json(this.#state()),
    );
    this.#on(
      app,
      "get",
      "/v1/cache_events",
      "cache_events",
      (c) => this.#cacheEvents(c),
    );
    this.#on(app, "post", "/v1/orders", "orders", (c) => this.#order(c));
    this.#on(
      app,
      "put",
      "/v1/reservations/:plan",
      "reserve",
      (c) => this.#reserve(c),
    );
    this.#on(
      app,
      "delete",
      "/v1/reservations/:plan",
      "release",
      (c) => this.#release(c),
    );
    app.get("/v1/kv/:plan", (c) => this.#kvInfo(c));
    this.#on(
      app,
      "get",
      "/v1/kv/:plan/export",
      "export",
      (c) => this.#export(c),
    );
    this.#on(
      app,
      "post",
      "/v1/kv/:plan/import",
      "import",
      (c) => this.#import(c),
    );
    return app;
  }

  /** Adds a route that call faults can strike. */
  #on(
    app: Hono<HostEnv>,
    method: "get" | "post" | "put" | "delete",
    path: string,
    call: CallName,
    handle: (c: HostContext) => Response | Promise<Response>,
  ): void {
    app[method](path, async (c) => {
      switch (this.#faults.takeCall(call)) {
        case "silent":
          return staySilent();
        case "reset":
          return resetConnection(c);
        case "garbage":
          return answerGarbage(c);
        case "bare_503":
          return c.text("Out of order", 503);
        case "refused":
          return refuse(c, { code: "queue_full", detail: "Told to refuse" });
        case "half": {
          const answer = await handle(c);
          return answerHalf(c, await answer.json());
        }
        case "lost_answer":
          await handle(c);
          return resetConnection(c);
        default:
          return handle(c);
      }
    });
  }

  async #control(c: HostContext): Promise<Response> {
    const body = await readJson(c, EngineControlSchema);
    if (body.isErr()) return body.error;
    this.control(body.value);
    return c.json({ ok: true });
  }

  async #generate(c: HostContext): Promise<Response> {
    const read = await readPrompt(c.env.incoming, this.#poison)
      .catch((cause: Error) => ({ aborted: cause }));
    if ("aborted" in read) return resetConnection(c);
    if (read.isErr()) {
      return refuse(c, { code: "bad_request", detail: read.error });
    }
    const { head } = read.value;
    const running = this.#streams.get(head.attempt);
    if (running) return this.#attach(c, running, head.answered?.count ?? 0);
    const { segment } = head;
    if (segment && !await peersHold(segment)) {
      const detail = "Another engine of the plan has lost its part";
      return refuse(c, { code: "unknown_plan", detail });
    }
    return this.#start(c, read.value);
  }

  #start(c: HostContext, read: ReadPrompt): Response {
    const { head, prompt } = read;
    const { model, version, adapter } = head;
    const weights = { model, version, adapter };
    const submitted = this.#makeRoom()
      ? this.#model.submit(this.#clock.now(), this.#job(read))
      : undefined;
    if (submitted === undefined) {
      return refuse(c, { code: "queue_full", detail: "Too many answers" });
    }
    if (submitted.isErr()) return refuse(c, submitted.error);
    const key = { prompt: prompt.digest, weights };
    const stream = AnswerStream.create(head, key);
    const entry = { stream, timer: undefined, watch: undefined };
    this.#streams.set(head.attempt, entry);
    this.#watchPeers(entry);
    return this.#attach(c, entry, head.answered?.count ?? 0);
  }

  #job(read: ReadPrompt): EngineJob {
    const { head, prompt, poison } = read;
    const { request, attempt, model, version, adapter, segment } = head;
    const { meanAnswerTokens = MEAN_ANSWER_TOKENS } = this.#cfg;
    const left = this.#clock.scaled(head.deadline_ms);
    return {
      request,
      attempt,
      promptTokens: Math.max(1, Math.ceil(prompt.bytes / BYTES_PER_TOKEN)),
      blocks: prompt.blocks,
      maxTokens: head.max_tokens,
      answerTokens: answerLength(
        prompt.digest,
        head.max_tokens,
        meanAnswerTokens,
      ),
      priority: head.priority,
      weights: { model, version, adapter },
      deadlineAt: addMs(this.#clock.now(), left),
      segment,
      answeredTokens: head.answered?.count,
      poison,
    };
  }

  #attach(c: HostContext, entry: StreamEntry, after: number): Response {
    clearTimeout(entry.timer);
    entry.stream.attach(c.env.outgoing as ServerResponse, {
      after,
      fault: this.#faults.takeAnswer(),
      onGone: () => this.#readerGone(entry),
    });
    this.#pump();
    return RESPONSE_ALREADY_SENT;
  }

  #resume(c: HostContext): Response {
    const entry = this.#streams.get(c.req.param("attempt") as AttemptId);
    if (!entry) {
      return refuse(c, { code: "unknown_stream", detail: "No such answer" });
    }
    const after = c.req.query("after") ?? c.req.header("last-event-id") ?? "0";
    if (!/^\d{1,9}$/.test(after)) {
      return refuse(c, { code: "bad_request", detail: "Wrong `after`" });
    }
    return this.#attach(c, entry, Number(after));
  }

  #cancel(c: HostContext): Response {
    this.#cancelAttempt(c.req.param("attempt") as AttemptId);
    return c.json({ ok: true });
  }

  #cancelAttempt(attempt: AttemptId): void {
    this.#model.cancel(this.#clock.now(), attempt);
    this.#pump();
  }

  /** An answer that nobody reads ends after a while, which frees its memory. */
  #readerGone(entry: StreamEntry): void {
    if (this.#closed || entry.stream.readers > 0 || entry.stream.ended) return;
    const { orphanMs = ORPHAN_MS } = this.#cfg;
    const { attempt } = entry.stream.head;
    entry.timer = setTimeout(() => this.#cancelAttempt(attempt), orphanMs);
  }

  #load(c: HostContext): Response {
    const now = this.#clock.now();
    this.#pump();
    return c.json(this.#reports.load(now) ?? this.#emptyReport());
  }

  /** Before the first report has arrived, an engine says that it has just started. */
  #emptyReport() {
    const report = this.#model.loadReport(this.#clock.now());
    return {
      ...report,
      running: 0,
      waiting: 0,
      decoding: 0,
      prefill_tokens: 0,
      kv_free_tokens: report.kv_capacity_tokens,
    };
  }

  #state(): EngineState {
    return {
      incarnation: this.#model.incarnation,
      loaded: [...this.#model.loaded],
      loading: this.#loader.loading,
      role: this.#model.role,
      fencing: this.#cfg.checksFencing ? this.#fencing : undefined,
      leaving: this.#model.leaving,
    };
  }

  #cacheEvents(c: HostContext): Response {
    this.#pump();
    const after = Number(c.req.query("after") ?? 0);
    const events = this.#reports.cacheEvents(this.#clock.now(), after);
    return c.json({ incarnation: this.#model.incarnation, events });
  }

  async #order(c: HostContext): Promise<Response> {
    const body = await readJson(c, EngineOrderSchema);
    if (body.isErr()) return badRequest(c);
    const { fencing, role } = body.value;
    const isOld = this.#fencing !== undefined && fencing < this.#fencing;
    if (this.#cfg.checksFencing && isOld) {
      const detail = `Order ${fencing} comes after ${this.#fencing}`;
      return refuse(c, { code: "stale_fencing", detail });
    }
    this.#fencing = fencing;
    this.#model.setLoaded(this.#model.loaded, role);
    this.#loader.order(body.value);
    return c.json({ ok: true });
  }

  async #reserve(c: HostContext): Promise<Response> {
    const body = await readJson(c, ReservationSchema);
    if (body.isErr()) return badRequest(c);
    const { owner, tokens, ttl_ms } = body.value;
    const ttlMs = this.#clock.scaled(ttl_ms);
    const plan = c.req.param("plan") as PlanId;
    const reserved = this.#model.reserve(this.#clock.now(), plan, {
      owner,
      tokens,
      ttlMs,
    });
    this.#pump();
    return reserved.isErr() ? refuse(c, reserved.error) : c.json({ ok: true });
  }

  #release(c: HostContext): Response {
    this.#releasePlan(c.req.param("plan") as PlanId);
    return c.json({ ok: true });
  }

  #releasePlan(plan: PlanId): void {
    this.#model.release(this.#clock.now(), plan);
    this.#pump();
  }

  #kvInfo(c: HostContext): Response {
    const plan = c.req.param("plan") as PlanId;
    if (c.req.query("renew") === "true") {
      this.#model.renew(this.#clock.now(), plan);
    }
    this.#pump();
    const held = this.#model.held(plan);
    if (!held) return unknownPlan(c);
    const { owner, tokens, used, imported, segments } = held;
    const { incarnation } = this.#model;
    return c.json({ incarnation, owner, tokens, used, imported, segments });
  }

  async #export(c: HostContext): Promise<Response> {
    const plan = c.req.param("plan") as PlanId;
    const held = this.#model.held(plan);
    if (!held) return unknownPlan(c);
    const tokens = held.segments.reduce(
      (sum, { from, to }) => sum + to - from,
      0,
    );
    const res = c.env.outgoing as ServerResponse;
    const direction = "export";
    if (this.#transfers.has(transferKey(plan, direction))) return busy(c);
    const started = this.#model.transfer(this.#clock.now(), plan, {
      direction,
      tokens,
    });
    if (started.isErr()) return refuse(c, started.error);
    res.writeHead(200, { "content-type": "application/x-ndjson" });
    res.write(line({ type: "head", plan, tokens }));
    const transferred = await this.#transferEnd(plan, direction);
    if (transferred) res.end(line({ type: "end", tokens }));
    else res.destroy();
    return RESPONSE_ALREADY_SENT;
  }

  async #import(c: HostContext): Promise<Response> {
    const body = await readJson(c, KvImportSchema);
    if (body.isErr()) return badRequest(c);
    const plan = c.req.param("plan") as PlanId;
    if (!this.#model.held(plan)) return unknownPlan(c);
    const direction = "import";
    if (this.#transfers.has(transferKey(plan, direction))) return busy(c);
    const fetched = await fetchKv(body.value.from, plan);
    if (fetched.isErr()) return importFailed(c, fetched.error);
    const { tokens, finished, abort } = fetched.value;
    const started = this.#model.transfer(this.#clock.now(), plan, {
      direction,
      tokens,
    });
    if (started.isErr()) {
      abort();
      return refuse(c, started.error);
    }
    const transferred = this.#transferEnd(plan, direction);
    const end = await finished;
    if (end.isErr()) {
      this.#model.abortImport(this.#clock.now(), plan);
      this.#endTransfer(plan, direction);
      this.#pump();
      return importFailed(c, end.error);
    }
    return await transferred
      ? c.json({ ok: true })
      : importFailed(c, "The plan was released");
  }

  /** Resolves when a transfer has ended; false if its plan has gone. */
  #transferEnd(plan: PlanId, direction: string): Promise<boolean> {
    const ended = new Promise<boolean>((resolve) => {
      this.#transfers.set(transferKey(plan, direction), () => {
        resolve(this.#model.held(plan) !== undefined);
      });
    });
    this.#pump();
    return ended;
  }

  #endTransfer(plan: PlanId, direction: string): void {
    const key = transferKey(plan, direction);
    const end = this.#transfers.get(key);
    this.#transfers.delete(key);
    end?.();
  }

  /** Renews the memory of a plan that decodes here; ends it when another engine has lost its part. */
  #watchPeers(entry: StreamEntry): void {
    const { segment } = entry.stream.head;
    if (!segment?.last && !segment?.peers?.length) return;
    if (segment.last) this.#model.renew(this.#clock.now(), segment.plan);
    const { peerCheckMs = PEER_CHECK_MS } = this.#cfg;
    entry.watch = setTimeout(async () => {
      const isWhole = await peersHold(segment);
      if (this.#closed || entry.stream.ended) return;
      if (isWhole) this.#watchPeers(entry);
      else this.#releasePlan(segment.plan);
    }, peerCheckMs);
  }

  /** Runs the model up to now, passes on what happened, and sets the next timer. */
  #pump(): void {
    if (this.#closed || this.#thaw) return;
    clearTimeout(this.#timer);
    const now = this.#clock.now();
    const events = this.#model.advance(now);
    this.#reports.publish(events);
    if (this.#model.up) this.#reports.sample(now, this.#model);
    for (const event of events) this.#dispatch(event);
    this.#dropLapsedTransfers();
    if (!this.#model.up) return;
    const next = earliest(
      this.#model.nextEventAt(),
      this.#reports.nextSampleAt(),
    );
    if (next === undefined) return;
    this.#timer = setTimeout(() => this.#pump(), this.#clock.wallUntil(next));
  }

  #dispatch(event: ModelEvent): void {
    switch (event.type) {
      case "tokens":
        for (const { attempt, index } of event.tokens) {
          this.#streams.get(attempt)?.stream.token(index);
        }
        return;
      case "done":
      case "error":
        return this.#end(event);
      case "transferred":
        return this.#endTransfer(event.plan, event.direction);
      case "crashed":
        return this.#stopAfterCrash();
    }
  }

  #end(event: Extract<ModelEvent, { type: "done" | "error" }>): void {
    const entry = this.#streams.get(event.attempt);
    if (!entry) return;
    entry.stream.end(finalEvent(entry.stream.head, event));
    clearTimeout(entry.timer);
    clearTimeout(entry.watch);
    const { keepMs = KEEP_MS } = this.#cfg;
    const drop = () => this.#streams.delete(event.attempt);
    entry.timer = setTimeout(drop, keepMs);
  }

  #dropLapsedTransfers(): void {
    for (const key of this.#transfers.keys()) {
      const [direction, plan] = key.split(" ") as [string, PlanId];
      if (!this.#model.held(plan)) this.#endTransfer(plan, direction);
    }
  }

  /** Makes room for one more answer by dropping the oldest finished one. */
  #makeRoom(): boolean {
    if (this.#streams.size < MAX_STREAMS) return true;
    for (const [attempt, { stream, timer }] of this.#streams) {
      if (!stream.ended) continue;
      clearTimeout(timer);
      return this.#streams.delete(attempt);
    }
    return false;
  }

  #freeze(ms: Millis): void {
    if (this.#thaw) return;
    this.#pump();
    clearTimeout(this.#timer);
    this.#clock.setFrozen(true);
    this.#thaw = new Promise((resolve) => {
      setTimeout(() => {
        this.#thaw = undefined;
        this.#clock.setFrozen(false);
        this.#pump();
        resolve();
      }, ms);
    });
  }

  #ping(): void {
    if (this.#thaw) return;
    for (const { stream } of this.#streams.values()) stream.ping();
  }

  #stopAfterCrash(): void {
    this.#cfg.onCrash?.();
    this.#stop();
    this.#host.crash();
  }

  #stop(): void {
    clearTimeout(this.#timer);
    clearInterval(this.#pings);
    this.#loader.stop();
    for (const { timer, watch } of this.#streams.values()) {
      clearTimeout(timer);
      clearTimeout(watch);
    }
    this.#streams.clear();
    for (const end of this.#transfers.values()) end();
    this.#transfers.clear();
  }

  #createLoader(): WeightLoader {
    return WeightLoader.create({
      loaded: this.#cfg.loaded,
      store: this.#cfg.weightStore,
      pause: (ms) => this.#pause(ms),
      onChange: (loaded) => {
        this.#model.setLoaded(loaded, this.#model.role);
        this.#pump();
      },
    });
  }

  #pause(ms: Millis): Promise<void> {
    const wallMs = this.#clock.wallUntil(addMs(this.#clock.now(), ms));
    return new Promise((resolve) => setTimeout(resolve, wallMs).unref());
  }
}

function finalEvent(
  head: GenerateHead,
  event: Extract<ModelEvent, { type: "done" | "error" }>,
): Extract<EngineEvent, { type: "done" | "error" }> {
  const { request, attempt, model, version, adapter } = head;
  if (event.type === "error") {
    return { type: "error", request, attempt, code: event.code };
  }
  return {
    type: "done",
    request,
    attempt,
    count: event.count,
    finish: event.finish,
    model,
    version,
    adapter,
    prompt_tokens: event.promptTokens,
    cached_tokens: event.cachedTokens,
  };
}

function newIncarnation(): Incarnation {
  return uuid() as Incarnation;
}

function refuse(c: HostContext, refusal: EngineRefusal): Response {
  const headers: Record<string, string> = refusal.code === "queue_full"
    ? { "retry-after": "1" }
    : {};
  return c.json(refusal, REFUSAL_STATUS[refusal.code], headers);
}

function badRequest(c: HostContext): Response {
  const detail = "The body is not what the contract says";
  return refuse(c, { code: "bad_request", detail });
}

function unknownPlan(c: HostContext): Response {
  return refuse(c, { code: "unknown_plan", detail: "No memory is reserved" });
}

function busy(c: HostContext): Response {
  return refuse(c, { code: "queue_full", detail: "A copy is under way" });
}

function transferKey(plan: PlanId, direction: string): string {
  return `${direction} ${plan}`;
}

function importFailed(c: HostContext, detail: string): Response {
  return refuse(c, { code: "import_failed", detail });
}

function line(value: unknown): string {
  return `${JSON.stringify(value)}\n`;
}
