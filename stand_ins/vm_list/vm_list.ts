import { Hono } from "hono";
import { z } from "zod";
import type { Millis, Timestamp } from "../../src/core/time.ts";
import { type Vm, VmSchema } from "../../src/wire/vm_list.ts";
import { readJson } from "../common/body.ts";
import { pause, staySilent } from "../common/break.ts";
import {
  type HostContext,
  type HostEnv,
  HttpHost,
  type ListenOptions,
} from "../common/http_host.ts";
import { VmTable } from "./vm_table.ts";

const whole = z.number().int().nonnegative();

/** Body of `POST /control` of the VM list; what is absent stays as it is. */
export const VmListControlSchema = z.object({
  /** Lag of the changes made from now on. */
  lag_ms: whole.optional(),
  /** Answers 503. */
  outage: z.boolean().optional(),
  /** Takes the call and never answers. */
  hang: z.boolean().optional(),
  /** Answers 200 with a body that is not what the contract says. */
  malformed: z.boolean().optional(),
  /** Delay of each answer. */
  delay_ms: whole.max(600_000).optional(),
}).strict().readonly();
/** Faults of the VM list. */
export type VmListControl = z.infer<typeof VmListControlSchema>;

/** How a VM list is set up. */
export type VmListConfig = Readonly<
  { vms?: readonly Vm[]; lagMs?: Millis; now?: () => Timestamp }
>;

/** A stand-in for the platform's lagging list of VMs. */
export class VmList {
  readonly #table = VmTable.create();
  readonly #now: () => Timestamp;
  readonly #host: HttpHost;
  #faults: VmListControl;

  private constructor(cfg: VmListConfig) {
    this.#now = cfg.now ?? (() => Date.now() as Timestamp);
    this.#faults = { lag_ms: cfg.lagMs ?? 0 };
    for (const vm of cfg.vms ?? []) {
      this.#table.put(this.#now(), vm, { lagMs: 0 });
    }
    this.#host = HttpHost.create(this.#routes());
  }

  static create(cfg: VmListConfig = {}): VmList {
    return new VmList(cfg);
  }

  /** Starts listening; resolves with `host:port`. */
  listen(options: ListenOptions = {}): Promise<string> {
    return this.#host.listen(options);
  }

  close(): Promise<void> {
    return this.#host.close();
  }

  /** Switches faults; what is absent stays as it is. */
  control(change: VmListControl): void {
    this.#faults = { ...this.#faults, ...change };
  }

  /** Adds or replaces a VM; visible after the lag. */
  put(vm: Vm): boolean {
    return this.#table.put(this.#now(), vm, this.#lag());
  }

  /** Removes a VM; visible after the lag. */
  remove(id: string): boolean {
    return this.#table.remove(this.#now(), id, this.#lag());
  }

  #lag(): { lagMs: Millis } {
    return { lagMs: this.#faults.lag_ms ?? 0 };
  }

  #routes(): Hono<HostEnv> {
    const app = new Hono<HostEnv>();
    app.get("/vms", (c) => this.#list(c));
    app.get("/control", (c) => c.json(this.#faults));
    app.post("/control", async (c) => {
      const body = await readJson(c, VmListControlSchema);
      if (body.isErr()) return body.error;
      this.control(body.value);
      return c.json(this.#faults);
    });
    app.put("/control/vms/:id", async (c) => {
      const body = await readJson(c, VmSchema);
      if (body.isErr()) return body.error;
      if (body.value.id !== c.req.param("id")) {
        return c.json({ detail: "The path names another VM" }, 400);
      }
      return answerChange(c, this.put(body.value));
    });
    app.delete(
      "/control/vms/:id",
      (c) => answerChange(c, this.remove(c.req.param("id"))),
    );
    return app;
  }

  async #list(c: HostContext): Promise<Response> {
    await pause(this.#faults.delay_ms ?? 0);
    if (this.#faults.hang) return staySilent();
    if (this.#faults.outage) {
      return c.json({ detail: "The VM list is down" }, 503);
    }
    if (this.#faults.malformed) return c.json({ vms: [{ id: "" }] });
    return c.json({ vms: this.#table.list(this.#now()) });
  }
}

function answerChange(c: HostContext, taken: boolean): Response {
  if (taken) return c.json({}, 202);
  return c.json({ detail: "Too many changes are pending" }, 429);
}
