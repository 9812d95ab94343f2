import { Hono } from "hono";
import type { z } from "zod";
import {
  IDEMPOTENCY_KEY_HEADER,
  NOT_STARTED_HEADER,
  REQUEST_ID_HEADER,
} from "../../src/wire/service.ts";
import { readJson } from "../common/body.ts";
import {
  answerGarbage,
  answerHalf,
  answerUnframed,
  closeConnection,
  pause,
  resetConnection,
  resetInBody,
  skipBody,
  staySilent,
} from "../common/break.ts";
import {
  type HostContext,
  type HostEnv,
  HttpHost,
  type ListenOptions,
} from "../common/http_host.ts";
import {
  type ServiceControl,
  ServiceControlSchema,
  type ServiceFault,
} from "./control.ts";
import {
  type Caller,
  CreditNoteBodySchema,
  OrderBodySchema,
  OrderBook,
  ReservationBodySchema,
  type RunCounts,
} from "./order_book.ts";

const REFUSAL_RETRY_S = 1;

type Answer = Readonly<{ status: 200 | 201 | 409 | 507; body: object }>;

/** A stand-in for an order-and-stock service; its calls may not be repeated. */
export class Service {
  readonly #book = OrderBook.create();
  readonly #host: HttpHost;
  #fault: ServiceFault | "none" = "none";
  #times = Infinity;
  #delayMs = 0;

  private constructor() {
    this.#host = HttpHost.create(this.#routes());
  }

  static create(): Service {
    return new Service();
  }

  /** Starts listening; resolves with `host:port`. */
  listen(options: ListenOptions = {}): Promise<string> {
    return this.#host.listen(options);
  }

  close(): Promise<void> {
    return this.#host.close();
  }

  /** Returns how often calls ran. */
  runs(): RunCounts {
    return this.#book.runs();
  }

  /** Switches faults; what is absent stays as it is. */
  control(change: ServiceControl): void {
    if (change.fault !== undefined) {
      this.#fault = change.fault;
      this.#times = change.times ?? Infinity;
    }
    this.#delayMs = change.delay_ms ?? this.#delayMs;
    if (change.crash) this.#host.crash();
  }

  #routes(): Hono<HostEnv> {
    const app = new Hono<HostEnv>();
    app.get("/control/runs", (c) => c.json(this.runs()));
    app.post("/control", async (c) => {
      const body = await readJson(c, ServiceControlSchema);
      if (body.isErr()) return body.error;
      this.control(body.value);
      return c.json({ fault: this.#fault, delay_ms: this.#delayMs });
    });
    app.get("/stock/:item", (c) => this.#lookUp(c));
    app.post("/reservations", (c) => {
      return this.#change(c, ReservationBodySchema, (body) => {
        if (!this.#book.take(body.item, body.quantity)) return soldOut();
        return this.#numbered("reservation");
      });
    });
    app.post("/orders", (c) => {
      return this.#change(c, OrderBodySchema, (body) => {
        if (!this.#book.take(body.item, body.quantity)) return soldOut();
        return this.#numbered("order");
      });
    });
    app.post("/credit-notes", (c) => {
      return this.#change(
        c,
        CreditNoteBodySchema,
        () => this.#numbered("credit_note"),
      );
    });
    return app;
  }

  #lookUp(c: HostContext): Promise<Response> | Response {
    const fault = this.#takeFault();
    const broken = breakEarly(c, fault);
    if (broken !== undefined) return broken;
    const item = c.req.param("item")!;
    return this.#run(c, {
      fault,
      effect: () => ({
        status: 200,
        body: { item, available: this.#book.stock(item) },
      }),
    });
  }

  async #change<Schema extends z.ZodType>(
    c: HostContext,
    schema: Schema,
    effect: (body: z.output<Schema>) => Answer,
  ): Promise<Response> {
    const fault = this.#takeFault();
    const broken = breakEarly(c, fault);
    if (broken !== undefined) return broken;
    const body = await readJson(c, schema);
    if (body.isErr()) return body.error;
    return this.#run(c, { fault, effect: () => effect(body.value) });
  }

  async #run(
    c: HostContext,
    options: { fault: ServiceFault | "none"; effect: () => Answer },
  ): Promise<Response> {
    const { fault, effect } = options;
    await pause(this.#delayMs);
    if (fault === "silence_before_effect") return staySilent();
    if (fault === "reset_before_effect") return resetConnection(c);
    const counted = this.#book.countRun(callerOf(c));
    const answer = counted ? effect() : full();
    switch (fault) {
      case "silence_after_effect":
        return staySilent();
      case "reset_after_effect":
        return resetConnection(c);
      case "close_after_effect":
        return closeConnection(c);
      case "error_after_effect":
        return c.json({ detail: "Failed after the effect" }, 503);
      case "half_answer":
        return answerHalf(c, answer.body);
      case "unframed_answer":
        return answerUnframed(c, answer.body);
      case "garbage":
        return answerGarbage(c);
      default:
        return c.json(answer.body, answer.status);
    }
  }

  #takeFault(): ServiceFault | "none" {
    if (this.#times === 0) return "none";
    this.#times -= 1;
    return this.#fault;
  }

  #numbered(name: string): Answer {
    return { status: 201, body: { [name]: String(this.#book.nextNumber()) } };
  }
}

function breakEarly(
  c: HostContext,
  fault: ServiceFault | "none",
): Promise<Response> | Response | undefined {
  switch (fault) {
    case "refuse":
      return refuse(c);
    case "reset_at_head":
      return resetConnection(c);
    case "reset_in_body":
      return resetInBody(c);
    default:
      return undefined;
  }
}

async function refuse(c: HostContext): Promise<Response> {
  await skipBody(c);
  return c.json({ detail: "The service does not start this call" }, 503, {
    [NOT_STARTED_HEADER]: "1",
    "retry-after": String(REFUSAL_RETRY_S),
  });
}

function callerOf(c: HostContext): Caller {
  return {
    request: c.req.header(REQUEST_ID_HEADER),
    key: c.req.header(IDEMPOTENCY_KEY_HEADER),
  };
}

function soldOut(): Answer {
  return { status: 409, body: { detail: "Not enough in stock" } };
}

function full(): Answer {
  return { status: 507, body: { detail: "No more calls can be counted" } };
}
