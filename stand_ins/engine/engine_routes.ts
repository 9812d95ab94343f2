import { Hono } from "hono";
import {
  answerGarbage,
  answerHalf,
  resetConnection,
  staySilent,
} from "../common/break.ts";
import type { HostContext, HostEnv } from "../common/http_host.ts";
import type { EngineRuntime } from "./engine_runtime.ts";
import type { CallName } from "./faults.ts";
import { refuse } from "./refusals.ts";

type Method = "GET" | "POST" | "PUT" | "DELETE";
type Handler = (c: HostContext) => Response | Promise<Response>;

/** The calls of an engine; each can be struck by a fault. */
export class EngineRoutes {
  readonly app = new Hono<HostEnv>();
  readonly #engine: EngineRuntime;

  private constructor(engine: EngineRuntime) {
    this.#engine = engine;
  }

  static create(engine: EngineRuntime): EngineRoutes {
    return new EngineRoutes(engine);
  }

  /** Adds a call, given as `METHOD /path`. */
  on(route: `${Method} ${string}`, call: CallName, handle: Handler): void {
    const [method, path] = route.split(" ") as [Method, string];
    this.app.on(method, path, async (c) => {
      await this.#engine.thawed;
      return this.#answer(c, call, handle);
    });
  }

  async #answer(
    c: HostContext,
    call: CallName,
    handle: Handler,
  ): Promise<Response> {
    switch (this.#engine.faults.takeCall(call)) {
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
        // Holds back what the handler writes, which a reset would not take back.
        c.env.outgoing.detachSocket(c.env.incoming.socket);
        await handle(c);
        return resetConnection(c);
      default:
        return handle(c);
    }
  }
}
