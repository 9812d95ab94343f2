import type { Blackboard } from "../board/blackboard.ts";
import type { Intent } from "../core/intent.ts";
import type { EngineClient, EngineError } from "../engine/engine_client.ts";
import type { Loop } from "./loop.ts";
import type { UpstreamClients } from "./upstream_clients.ts";

type OrderIntent = Extract<Intent, { type: "send_order" }>;
type ReserveIntent = Extract<Intent, { type: "reserve_memory" }>;
type ReleaseIntent = Extract<Intent, { type: "release_memory" }>;

/** Adapters and state that the runner uses. */
export type OrderRunnerDeps = Readonly<{
  loop: () => Pick<Loop, "post">;
  board: Blackboard;
  clients: UpstreamClients;
}>;

/** Sends orders to engines, and reserves and releases their memory. */
export class OrderRunner {
  readonly #deps: OrderRunnerDeps;

  private constructor(deps: OrderRunnerDeps) {
    this.#deps = deps;
  }

  static create(deps: OrderRunnerDeps): OrderRunner {
    return new OrderRunner(deps);
  }

  async order(intent: OrderIntent): Promise<void> {
    const { upstream } = intent;
    const engine = this.#engine(upstream);
    const sent = await engine?.order(intent.order);
    const result = sent === undefined
      ? "unknown"
      : sent.match(() => "accepted" as const, orderResult);
    this.#deps.loop().post({ type: "order_ended", upstream, result });
  }

  async reserve(intent: ReserveIntent): Promise<void> {
    const { upstream, plan, tokens, ttlMs } = intent;
    const owner = this.#deps.board.self.id;
    const engine = this.#engine(upstream);
    const sent = await engine?.reserve(plan, { owner, tokens, ttl_ms: ttlMs });
    const result = sent === undefined
      ? "refused"
      : sent.match(() => "held" as const, reserveResult);
    this.#deps.loop().post({
      type: "reservation_ended",
      upstream,
      plan,
      result,
    });
  }

  async release(intent: ReleaseIntent): Promise<void> {
    const { upstream, plan } = intent;
    const sent = await this.#engine(upstream)?.release(plan);
    const result = sent?.isOk() ? "released" : "unknown";
    this.#deps.loop().post({
      type: "reservation_ended",
      upstream,
      plan,
      result,
    });
  }

  #engine(id: OrderIntent["upstream"]): EngineClient | undefined {
    const upstream = this.#deps.board.upstreams.byId.get(id);
    if (upstream?.kind !== "engine") return undefined;
    return this.#deps.clients.engine(upstream.address);
  }
}

function orderResult(err: EngineError): "stale" | "unknown" {
  const isStale = err.code === "refused" &&
    err.refusal.code === "stale_fencing";
  return isStale ? "stale" : "unknown";
}

function reserveResult(err: EngineError): "refused" | "unknown" {
  return err.verdict === "not_run" ? "refused" : "unknown";
}
