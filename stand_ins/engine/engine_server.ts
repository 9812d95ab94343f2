import type { Hono } from "hono";
import { readJson } from "../common/body.ts";
import {
  type HostEnv,
  HttpHost,
  type ListenOptions,
} from "../common/http_host.ts";
import { addAnswerRoutes } from "./answer_routes.ts";
import type { EngineServerConfig } from "./engine_config.ts";
import type { EngineModel } from "./engine_model.ts";
import { EngineRoutes } from "./engine_routes.ts";
import { EngineRuntime } from "./engine_runtime.ts";
import { type EngineControl, EngineControlSchema } from "./faults.ts";
import { addPlanRoutes } from "./plan_routes.ts";
import { addReportRoutes } from "./report_routes.ts";

export type { EngineServerConfig } from "./engine_config.ts";

/** A model engine that speaks HTTP, run by the cost model. */
export class EngineServer {
  readonly #cfg: EngineServerConfig;
  #engine: EngineRuntime;
  #host: HttpHost;
  #address = "";

  private constructor(cfg: EngineServerConfig) {
    this.#cfg = cfg;
    this.#engine = EngineRuntime.create(cfg, {
      incarnation: cfg.incarnation,
      onCrash: () => this.#fall(),
    });
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
    return this.#engine.model;
  }

  /** Answers that are running or kept. */
  get streams(): number {
    return this.#engine.answers.size;
  }

  /** Connections that read an answer. */
  get readers(): number {
    return this.#engine.answers.readers;
  }

  /** Starts listening; resolves with `host:port`. */
  async listen(options: ListenOptions = {}): Promise<string> {
    this.#address = await this.#host.listen(options);
    this.#engine.start();
    return this.#address;
  }

  async close(): Promise<void> {
    this.#engine.stop();
    await this.#host.close();
  }

  /** Loses everything and stops listening. */
  crash(): void {
    this.#engine.crash();
  }

  /** Comes back at the same address, empty, as a new incarnation. */
  async restart(): Promise<void> {
    this.#engine = EngineRuntime.create(this.#cfg, {
      onCrash: () => this.#fall(),
    });
    this.#host = HttpHost.create(this.#routes());
    const [address, port] = this.#address.split(":");
    await this.listen({ address, port: Number(port) });
  }

  /** Switches faults; what is absent stays as it is. */
  control(change: EngineControl): void {
    const control = EngineControlSchema.parse(change);
    const engine = this.#engine;
    if (control.poison !== undefined) engine.poison = control.poison;
    if (control.leaving) engine.model.leave();
    if (control.time_scale) engine.clock.setScale(control.time_scale);
    if (control.answer_fault) engine.faults.addAnswer(control.answer_fault);
    if (control.call_fault) engine.faults.addCall(control.call_fault);
    if (control.freeze_ms) engine.freeze(control.freeze_ms);
    if (control.crash) engine.crash();
    engine.pump();
  }

  #routes(): Hono<HostEnv> {
    const routes = EngineRoutes.create(this.#engine);
    addAnswerRoutes(routes, this.#engine);
    addReportRoutes(routes, this.#engine);
    addPlanRoutes(routes, this.#engine);
    routes.app.post("/control", async (c) => {
      const body = await readJson(c, EngineControlSchema);
      if (body.isErr()) return body.error;
      this.control(body.value);
      return c.json({ ok: true });
    });
    return routes.app;
  }

  #fall(): void {
    this.#cfg.onCrash?.();
    this.#host.crash();
  }
}
