import type { AttemptId, UpstreamId } from "../../src/core/id.ts";
import type { Intent } from "../../src/core/intent.ts";
import type { Retry } from "../../src/core/reason.ts";
import type { Outcome, Segment } from "../../src/core/request.ts";
import type { Timestamp } from "../../src/core/time.ts";
import type { Verdict } from "../../src/core/verdict.ts";
import type { EngineJob } from "../../stand_ins/engine/job.ts";
import type { VirtualClock } from "./clock.ts";
import type { AttemptListener, EngineHost } from "./engine_host.ts";
import type { PromptRecord } from "./prompt_record.ts";

/** Time of one message between two machines. */
export const NETWORK_MS = 1;

/** Time between two checks by which a decoding engine renews its plan. */
const PEER_CHECK_MS = 1_000;

export type StartAttempt = Extract<Intent, { type: "start_attempt" }>;

/** What one attempt tells its daemon; already delayed by the network. */
export type AttemptEvents = Readonly<{
  token: (at: Timestamp) => void;
  ended: (outcome: Outcome) => void;
}>;

/** Runs one attempt against the engine models, over several engines where it has a plan. */
export class AttemptRun {
  readonly #intent: StartAttempt;
  readonly #record: PromptRecord;
  readonly #clock: VirtualClock;
  readonly #engines: ReadonlyMap<UpstreamId, EngineHost>;
  readonly #events: AttemptEvents;
  #over = false;
  #kept = false;
  #running: EngineHost | undefined;

  private constructor(
    intent: StartAttempt,
    record: PromptRecord,
    options: Readonly<{
      clock: VirtualClock;
      engines: ReadonlyMap<UpstreamId, EngineHost>;
      events: AttemptEvents;
    }>,
  ) {
    this.#intent = intent;
    this.#record = record;
    this.#clock = options.clock;
    this.#engines = options.engines;
    this.#events = options.events;
  }

  static create(
    intent: StartAttempt,
    record: PromptRecord,
    options: Readonly<{
      clock: VirtualClock;
      engines: ReadonlyMap<UpstreamId, EngineHost>;
      events: AttemptEvents;
    }>,
  ): AttemptRun {
    return new AttemptRun(intent, record, options);
  }

  get attempt(): AttemptId {
    return this.#intent.attempt;
  }

  start(): void {
    this.#clock.after(NETWORK_MS, () => {
      if (this.#over) return;
      if (this.#intent.mode === "resume") return this.#resume();
      const { plan } = this.#intent.placement;
      if (plan === undefined) return this.#submit(this.#whole());
      this.#submitPart(0);
    });
  }

  /** Ends the attempt at the engines. */
  cancel(): void {
    this.#over = true;
    this.#clock.after(NETWORK_MS, () => this.#release());
  }

  /** The daemon has died; its engines go on. */
  abandon(): void {
    this.#over = true;
  }

  /** An engine has died; a plan that held memory there can't go on. */
  engineLost(engine: UpstreamId): void {
    const planned = this.#segments().some((part) => part.upstream === engine);
    if (planned && this.#running?.id !== engine) {
      this.#fail("plan_broken", "may_have_run", false);
    }
  }

  #resume(): void {
    const host = this.#engines.get(this.#intent.placement.upstream);
    const attached = host?.reattach(this.attempt, this.#listener(host, 0));
    if (!attached) this.#fail("resume_failed", "may_have_run", false);
    this.#running = host;
  }

  #whole(): UpstreamId {
    return this.#intent.placement.upstream;
  }

  #submit(engine: UpstreamId): void {
    this.#send(engine, this.#job(), 0);
  }

  #submitPart(index: number): void {
    const { plan } = this.#intent.placement;
    const part = plan!.segments[index]!;
    const last = index === plan!.segments.length - 1;
    const total = this.#record.arrival.promptTokens;
    const { from, to } = part;
    const segment = { plan: plan!.id, from, to, last, total };
    this.#send(part.upstream, { ...this.#job(), segment }, index);
  }

  #send(engine: UpstreamId, job: EngineJob, index: number): void {
    const host = this.#engines.get(engine);
    if (host === undefined || !host.up) {
      return this.#fail("connect_failed", "not_run", false);
    }
    const taken = host.submit(job, this.#listener(host, index));
    if (taken.isErr()) return this.#refuse(taken.error.detail);
    this.#running = host;
  }

  #job(): EngineJob {
    const { arrival, tokens } = this.#record;
    const intent = this.#intent;
    return {
      request: intent.req,
      attempt: intent.attempt,
      promptTokens: arrival.promptTokens,
      blocks: arrival.blocks,
      maxTokens: arrival.maxTokens,
      answerTokens: arrival.answerTokens,
      priority: intent.placement.priority,
      weights: intent.weights!,
      deadlineAt: intent.deadlineAt,
      answeredTokens: tokens,
      poison: arrival.poison,
    };
  }

  #listener(host: EngineHost, index: number): AttemptListener {
    return {
      token: (at) => {
        this.#keepPlan(host);
        if (!this.#over) this.#events.token(at);
      },
      done: (_at, event) => {
        if (this.#over) return;
        if (index === 0) {
          this.#record.engine = host.id;
          this.#record.cachedTokens = event.cachedTokens;
        }
        if (event.finish === "segment") {
          this.#clock.after(2 * NETWORK_MS, () => {
            if (!this.#over) this.#submitPart(index + 1);
          });
          return;
        }
        this.#end({ type: "ok", tokens: event.count, status: 200 });
      },
      failed: (_at, code) => {
        if (code === "crashed") {
          return this.#fail("upstream_crashed", "may_have_run", true);
        }
        const cause = code === "plan_broken"
          ? "plan_broken"
          : "upstream_refused";
        this.#fail(cause, "may_have_run", !host.up);
      },
    };
  }

  /** The decoding engine renews its plan's memory, whether or not its daemon lives. */
  #keepPlan(host: EngineHost): void {
    const { plan } = this.#intent.placement;
    if (plan === undefined || this.#kept) return;
    this.#kept = true;
    const renew = () => {
      if (!host.has(this.attempt)) return;
      for (const { upstream } of plan.segments) {
        this.#engines.get(upstream)?.renew(plan.id);
      }
      this.#clock.after(PEER_CHECK_MS, renew);
    };
    renew();
  }

  #segments(): readonly Segment[] {
    return this.#intent.placement.plan?.segments ?? [];
  }

  #refuse(detail: string): void {
    this.#fail("upstream_refused", "not_run", false, detail);
  }

  #fail(
    cause: Retry,
    verdict: Verdict,
    crashed: boolean,
    detail: string = cause,
  ): void {
    const { tokens } = this.#record;
    this.#end({ type: "failed", cause, verdict, tokens, crashed, detail });
  }

  #end(outcome: Outcome): void {
    if (this.#over) return;
    this.#over = true;
    this.#release();
    this.#clock.after(NETWORK_MS, () => this.#events.ended(outcome));
  }

  #release(): void {
    this.#running?.cancel(this.attempt);
  }
}
