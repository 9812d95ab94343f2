import { Buffer } from "node:buffer";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { AttemptId, Digest, PlanId } from "../../src/core/id.ts";
import type { Millis } from "../../src/core/time.ts";
import {
  EngineClient,
  type EngineError,
  type EngineStream,
  type PromptBody,
} from "../../src/engine/engine_client.ts";
import type {
  CacheEvents,
  EngineEvent,
  EngineOrder,
  EngineState,
  GenerateHead,
  LoadReport,
  Reservation,
} from "../../src/wire/engine.ts";
import { EventPipe, type StreamItem } from "./event_pipe.ts";
import type { FakeEngine } from "./fake_engine.ts";
import { FaultyReader } from "./faulty_reader.ts";
import type { ArmedFault } from "./schedule.ts";
import type { Timeline } from "./timeline.ts";

const NETWORK_MS: Millis = 2;
const CONTROL_TIMEOUT_MS: Millis = 2_000;

/** How a client reaches its engine and how answers reach its daemon. */
export type FakeEngineLink = Readonly<{
  timeline: Timeline;
  engine: FakeEngine;
  /** Runs something in the daemon, later if it is paused and never if it is dead. */
  receive: (run: () => void) => void;
  /** Whether the daemon is there; the connections of a dead one break. */
  isAlive: () => boolean;
  /** Takes the fault of the next answer. */
  takeFault: () => ArmedFault | undefined;
  /** Changes what comes from the engine. */
  change?: (event: EngineEvent) => EngineEvent;
  /** Told when work has reached the engine. */
  onStarted: (head: GenerateHead) => void;
}>;

type Opened = Result<EngineStream, EngineError>;

/** One daemon's connections to one fake engine. */
export class FakeEngineClient extends EngineClient {
  readonly #link: FakeEngineLink;

  private constructor(link: FakeEngineLink) {
    super();
    this.#link = link;
  }

  static create(link: FakeEngineLink): FakeEngineClient {
    return new FakeEngineClient(link);
  }

  override generate(
    head: GenerateHead,
    prompt: PromptBody,
    options: { silenceMs: Millis },
  ): ResultAsync<EngineStream, EngineError> {
    const { content, tokens } = readPrompt(prompt);
    return this.#open(head.attempt, {
      silenceMs: options.silenceMs,
      after: head.answered?.count ?? 0,
      submit: () => {
        const { engine, onStarted } = this.#link;
        const taken = engine.generate(head, content, tokens);
        if (taken.isOk()) onStarted(head);
        return taken.mapErr((refusal) => ({
          code: "refused" as const,
          verdict: "not_run" as const,
          refusal,
        }));
      },
    });
  }

  override resume(
    attempt: AttemptId,
    after: number,
    options: { silenceMs: Millis },
  ): ResultAsync<EngineStream, EngineError> {
    const { silenceMs } = options;
    return this.#open(attempt, { silenceMs, after, submit: () => ok() });
  }

  override cancel(attempt: AttemptId): ResultAsync<void, EngineError> {
    return this.#control(() => this.#link.engine.cancel(attempt));
  }

  override load(): ResultAsync<LoadReport, EngineError> {
    return this.#control(() => this.#link.engine.load());
  }

  override state(): ResultAsync<EngineState, EngineError> {
    return this.#control(() => this.#link.engine.state());
  }

  override cacheEvents(): ResultAsync<CacheEvents, EngineError> {
    return this.#control(() => {
      const { incarnation } = this.#link.engine.state();
      return { incarnation, events: [] };
    });
  }

  override order(order: EngineOrder): ResultAsync<void, EngineError> {
    return this.#control(() => this.#link.engine.order(order))
      .andThen((result) =>
        result === "accepted" ? ok() : err(refused("stale_fencing"))
      );
  }

  override reserve(
    plan: PlanId,
    reservation: Reservation,
  ): ResultAsync<void, EngineError> {
    const { tokens, ttl_ms: ttlMs } = reservation;
    return this.#control(() => this.#link.engine.reserve(plan, tokens, ttlMs))
      .andThen((isHeld) => isHeld ? ok() : err(refused("no_memory")));
  }

  override release(plan: PlanId): ResultAsync<void, EngineError> {
    return this.#control(() => this.#link.engine.release(plan));
  }

  override importKv(plan: PlanId): ResultAsync<void, EngineError> {
    return this.#control(() => void plan);
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  /** A call that is answered at once, or not at all. */
  #control<Value>(run: () => Value): ResultAsync<Value, EngineError> {
    const { timeline, engine } = this.#link;
    return this.#answer((resolve) => {
      if (!engine.up) return this.#later(() => resolve(err(CONNECT_FAILED)));
      let isOver = false;
      timeline.after(CONTROL_TIMEOUT_MS, () => {
        if (!isOver) this.#link.receive(() => resolve(err(SILENT)));
        isOver = true;
      });
      timeline.after(NETWORK_MS, () =>
        engine.whenThawed(() => {
          if (!engine.up) return;
          const value = run();
          if (isOver) return;
          isOver = true;
          this.#later(() => resolve(ok(value)));
        }));
    });
  }

  #open(
    attempt: AttemptId,
    options: Readonly<{
      silenceMs: Millis;
      after: number;
      submit: () => Result<void, EngineError>;
    }>,
  ): ResultAsync<EngineStream, EngineError> {
    const armed = this.#link.takeFault();
    return this.#answer((resolve) => {
      const end = (cause: EngineError, ms: Millis = NETWORK_MS) =>
        this.#later(() => resolve(err(cause)), ms);
      const { engine, timeline } = this.#link;
      const { silenceMs, submit } = options;
      const fault = armed?.fault;
      if (!engine.up || fault === "connect_failed") return end(CONNECT_FAILED);
      if (fault === "refused") return end(refused("queue_full"));
      if (fault === "reset_before") return end(BROKEN);
      if (fault === "silent_before") return end(SILENT, silenceMs);
      let isSilent = false;
      timeline.after(silenceMs, () => {
        isSilent = engine.isFrozen;
        if (isSilent) end(SILENT, 0);
      });
      timeline.after(NETWORK_MS, () =>
        engine.whenThawed(() => {
          if (!engine.up) return end(BROKEN);
          const taken = submit();
          if (isSilent) return;
          if (taken.isErr()) return end(taken.error);
          if (fault === "reset_after") return end(BROKEN);
          if (fault === "silent_after") return end(SILENT, silenceMs);
          this.#read(attempt, { ...options, armed, resolve });
        }));
    });
  }

  #read(
    attempt: AttemptId,
    options: Readonly<{
      silenceMs: Millis;
      after: number;
      armed: ArmedFault | undefined;
      resolve: (opened: Opened) => void;
    }>,
  ): void {
    const { engine, timeline } = this.#link;
    const { after, armed, silenceMs, resolve } = options;
    const pipe = EventPipe.create(timeline);
    const reader = FaultyReader.create({
      armed,
      after,
      push: (item) => this.#later(() => pipe.push(this.#change(item))),
      pushSilent: () =>
        this.#later(() => pipe.push({ ok: false, err: SILENT }), silenceMs),
      leave: () => engine.unread(attempt, reader),
    });
    if (!engine.read(attempt, after, reader)) {
      return this.#later(() => resolve(err(refused("unknown_stream"))));
    }
    const close = () => {
      pipe.close();
      engine.unread(attempt, reader);
    };
    this.#watch(pipe, {
      silenceMs,
      leave: () => engine.unread(attempt, reader),
    });
    this.#later(() => resolve(ok({ events: pipe, close })));
  }

  /** An engine that stays frozen for too long looks silent; a dead daemon reads no more. */
  #watch(
    pipe: EventPipe,
    options: Readonly<{ silenceMs: Millis; leave: () => void }>,
  ): void {
    const { timeline, engine, isAlive } = this.#link;
    const { silenceMs, leave } = options;
    let frozenMs = 0;
    const look = () => {
      if (pipe.isOver) return;
      if (!isAlive()) return leave();
      frozenMs = engine.isFrozen ? frozenMs + CHECK_MS : 0;
      if (frozenMs < silenceMs) return timeline.after(CHECK_MS, look);
      this.#later(() => pipe.push({ ok: false, err: SILENT }), 0);
    };
    timeline.after(CHECK_MS, look);
  }

  #change(item: StreamItem): StreamItem {
    const { change } = this.#link;
    if (!item.ok || change === undefined) return item;
    return { ok: true, event: change(item.event) };
  }

  #answer<Value>(
    run: (resolve: (result: Result<Value, EngineError>) => void) => void,
  ): ResultAsync<Value, EngineError> {
    const promise = new Promise<Result<Value, EngineError>>((resolve) =>
      run((result) => {
        this.#link.timeline.unsettle();
        resolve(result);
      })
    );
    return new ResultAsync(promise);
  }

  #later(run: () => void, ms: Millis = NETWORK_MS): void {
    this.#link.timeline.after(ms, () => this.#link.receive(run));
  }
}

const CHECK_MS: Millis = 250;

const CONNECT_FAILED: EngineError = {
  code: "connect_failed",
  verdict: "not_run",
  detail: "Nobody listens.",
};
const BROKEN: EngineError = {
  code: "broken",
  verdict: "may_have_run",
  detail: "The connection broke.",
};
const SILENT: EngineError = {
  code: "silent",
  verdict: "may_have_run",
  detail: "Nothing came.",
};

function refused(
  code: "queue_full" | "stale_fencing" | "no_memory" | "unknown_stream",
): EngineError {
  const refusal = { code, detail: "Refused." };
  return { code: "refused", verdict: "not_run", refusal };
}

/** The body of a prompt: its content and its length in tokens. */
export function promptBody(content: Digest, tokens: number): PromptBody {
  return [Buffer.from(JSON.stringify({ content, tokens }))];
}

function readPrompt(
  prompt: PromptBody,
): Readonly<{ content: Digest; tokens: number }> {
  return JSON.parse(Buffer.concat([...prompt]).toString());
}
