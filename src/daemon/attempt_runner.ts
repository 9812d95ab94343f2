import type { Upstream } from "../board/upstreams_section.ts";
import type { Intent } from "../core/intent.ts";
import type { AttemptId, RequestId, UpstreamId } from "../core/id.ts";
import type { Blackboard } from "../board/blackboard.ts";
import { limitsOf } from "../board/limits_in_force.ts";
import type { PlanEngine } from "../engine/plan_run.ts";
import { MINUTE_MS } from "../core/time.ts";
import { runCall } from "./call_run.ts";
import type {
  CallExchange,
  ExchangeTable,
  PromptExchange,
} from "./exchange.ts";
import type { Loop } from "./loop.ts";
import { PromptRun, type StartAttempt } from "./prompt_run.ts";
import type { UpstreamClients } from "./upstream_clients.ts";

/** Adapters and state that the runner uses. */
export type AttemptRunnerDeps = Readonly<{
  loop: () => Pick<Loop, "now" | "post">;
  board: Blackboard;
  clients: UpstreamClients;
  exchanges: ExchangeTable;
}>;

/** Runs attempts of prompts and calls at upstreams, as the core's intents ask. */
export class AttemptRunner {
  readonly #deps: AttemptRunnerDeps;
  /** At most one running attempt per open exchange. */
  readonly #runs = new Map<RequestId, PromptRun>();

  private constructor(deps: AttemptRunnerDeps) {
    this.#deps = deps;
  }

  static create(deps: AttemptRunnerDeps): AttemptRunner {
    return new AttemptRunner(deps);
  }

  start(intent: StartAttempt): void {
    const exchange = this.#deps.exchanges.get(intent.req);
    const upstream = this.#deps.board.upstreams.byId.get(
      intent.placement.upstream,
    );
    if (exchange === undefined || upstream === undefined) {
      return this.#failUnplaced(intent);
    }
    if (exchange.kind === "prompt") {
      this.#startPrompt(intent, exchange, upstream);
    } else this.#startCall(intent, exchange, upstream.address);
  }

  cancel(intent: Extract<Intent, { type: "cancel_attempt" }>): void {
    this.#stopRun(intent.req);
    this.#cancelOnEngine(intent.upstream, intent.attempt);
  }

  /** Stops relaying to a client that disconnected; the engine continues if the client can resume the stream, else the attempt is cancelled. */
  cancelExchange(exchange: PromptExchange): void {
    const { id } = exchange.req;
    const attempt = this.#deps.board.requests.byId.get(id)?.attempt;
    this.#stopRun(id);
    if (attempt === undefined || exchange.writer.resumable) return;
    this.#cancelOnEngine(attempt.placement.upstream, attempt.id);
  }

  #stopRun(req: RequestId): void {
    this.#runs.get(req)?.stop();
    this.#runs.delete(req);
  }

  #cancelOnEngine(id: UpstreamId, attempt: AttemptId): void {
    const upstream = this.#deps.board.upstreams.byId.get(id);
    if (upstream?.kind !== "engine") return;
    // If the cancellation is lost, the engine ends the attempt at its deadline.
    void this.#deps.clients.engine(upstream.address).cancel(attempt);
  }

  #startPrompt(
    intent: StartAttempt,
    exchange: PromptExchange,
    upstream: Upstream,
  ): void {
    const { loop, board, clients } = this.#deps;
    const run = PromptRun.create({
      intent,
      exchange,
      engine: clients.engine(upstream.address),
      incarnation: upstream.incarnation,
      engineAt: (id) => this.#engineAt(id),
      counters: board.counters,
      now: () => loop().now(),
      silenceMs: limitsOf(board).upstreamSilenceMs,
      post: (event) => loop().post(event),
    });
    this.#stopRun(intent.req);
    this.#runs.set(intent.req, run);
    void run.run().finally(() => {
      if (this.#runs.get(intent.req) === run) this.#runs.delete(intent.req);
    });
  }

  #engineAt(id: UpstreamId): PlanEngine | undefined {
    const address = this.#deps.board.upstreams.byId.get(id)?.address;
    if (address === undefined) return undefined;
    return { client: this.#deps.clients.engine(address), address };
  }

  #startCall(
    intent: StartAttempt,
    exchange: CallExchange,
    address: string,
  ): void {
    const { loop, board, clients, exchanges } = this.#deps;
    const service = board.config.serving?.services.find((entry) =>
      entry.id === exchange.req.service
    );
    void runCall({
      intent,
      exchange,
      service: clients.service(address),
      now: () => loop().now(),
      timeoutMs: service?.timeoutMs ?? MINUTE_MS,
      maxBytes: limitsOf(board).maxCallBytes,
      post: (event) => {
        if (event.outcome.type === "ok") exchanges.delete(intent.req);
        loop().post(event);
      },
    });
  }

  #failUnplaced(intent: StartAttempt): void {
    this.#deps.loop().post({
      type: "attempt_ended",
      req: intent.req,
      attempt: intent.attempt,
      outcome: {
        type: "failed",
        cause: "connect_failed",
        verdict: "not_run",
        tokens: 0,
        crashed: false,
        detail: `Upstream ${intent.placement.upstream} is gone.`,
      },
    });
  }
}
