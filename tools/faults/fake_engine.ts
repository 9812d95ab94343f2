import type { Result } from "neverthrow";
import type {
  AttemptId,
  Digest,
  FencingNumber,
  Incarnation,
  PlanId,
  UpstreamId,
} from "../../src/core/id.ts";
import type { Millis, Timestamp } from "../../src/core/time.ts";
import { addMs } from "../../src/core/time.ts";
import type {
  EngineEvent,
  EngineOrder,
  EngineState,
  GenerateHead,
  Loaded,
  LoadReport,
} from "../../src/wire/engine.ts";
import {
  EngineModel,
  type ModelRefusal,
} from "../../stand_ins/engine/engine_model.ts";
import type { ModelEvent } from "../../stand_ins/engine/job.ts";
import type { Timeline } from "./timeline.ts";

/** Tokens that the memory of one engine holds. */
export const CAPACITY_TOKENS = 10_000;
const MAX_ANSWER_TOKENS = 12;
const UNREAD_MS: Millis = 10_000;

/** Takes the events of one answer. */
export type Reader = Readonly<{
  take: (event: EngineEvent) => void;
  /** The engine has died. */
  lost: () => void;
}>;

type Answer = {
  readonly head: GenerateHead;
  readonly content: Digest;
  readonly events: EngineEvent[];
  readonly readers: Set<Reader>;
};

/** What an engine is told at its start. */
export type FakeEngineOptions = Readonly<{
  loaded: readonly Loaded[];
  checksFencing: boolean;
  /** Told of each loss with what ran, and whether content was its cause. */
  onLost: (contents: readonly Digest[], poison: Digest | undefined) => void;
}>;

/** One model engine: the stand-in's model with the answers' streams around it. */
export class FakeEngine {
  readonly id: UpstreamId;
  readonly options: FakeEngineOptions;
  /** Fencing numbers of the orders that were carried out, oldest first. */
  readonly fencings: FencingNumber[] = [];
  readonly #timeline: Timeline;
  readonly #model: EngineModel;
  readonly #answers = new Map<AttemptId, Answer>();
  #runs = 1;
  #frozenUntil = 0 as Timestamp;
  /** What has reached a frozen engine. */
  #held: (() => void)[] = [];
  #dueAt = Infinity;

  private constructor(
    id: UpstreamId,
    timeline: Timeline,
    options: FakeEngineOptions,
  ) {
    this.id = id;
    this.options = options;
    this.#timeline = timeline;
    this.#model = EngineModel.create({
      incarnation: `${id}-1` as Incarnation,
      loaded: options.loaded,
      kvCapacityTokens: CAPACITY_TOKENS,
    });
  }

  static create(
    id: UpstreamId,
    timeline: Timeline,
    options: FakeEngineOptions,
  ): FakeEngine {
    return new FakeEngine(id, timeline, options);
  }

  get model(): EngineModel {
    return this.#model;
  }

  get up(): boolean {
    return this.#model.up;
  }

  get isFrozen(): boolean {
    return this.#timeline.now < this.#frozenUntil;
  }

  /** Answers that are being made, and their requests. */
  get running(): readonly AttemptId[] {
    return [...this.#answers.keys()].filter((id) => this.#model.has(id));
  }

  freeze(ms: Millis): void {
    const until = addMs(this.#timeline.now, ms);
    if (until > this.#frozenUntil) this.#frozenUntil = until;
    this.#timeline.after(ms, () => this.#thawed());
  }

  /** Ends a freeze early. */
  thaw(): void {
    this.#frozenUntil = this.#timeline.now;
    this.#thawed();
  }

  /** Runs `action` once the engine is not frozen. */
  whenThawed(action: () => void): void {
    if (this.isFrozen) this.#held.push(action);
    else action();
  }

  generate(
    head: GenerateHead,
    content: Digest,
    tokens: number,
  ): Result<void, ModelRefusal> {
    this.#run();
    const { attempt, answered } = head;
    const answerTokens = Math.min(head.max_tokens, answerLength(content));
    const taken = this.#model.submit(this.#timeline.now, {
      request: head.request,
      attempt,
      promptTokens: tokens,
      blocks: [],
      maxTokens: head.max_tokens,
      answerTokens,
      priority: head.priority,
      weights: head,
      deadlineAt: addMs(this.#timeline.now, head.deadline_ms),
      segment: head.segment,
      answeredTokens: answered?.count,
      poison: isPoison(content),
    });
    if (taken.isOk()) {
      const answer = { head, content, events: [], readers: new Set<Reader>() };
      this.#answers.set(attempt, answer);
      this.#watchReaders(attempt);
    }
    this.#arm();
    return taken;
  }

  /** Sends an answer to a reader from its token `after` on; false if it is not known. */
  read(attempt: AttemptId, after: number, reader: Reader): boolean {
    this.#run();
    const answer = this.#answers.get(attempt);
    const from = answer?.head.answered?.count ?? 0;
    if (answer === undefined || after < from) return false;
    for (const event of answer.events) {
      if (event.type !== "token" || event.index >= after) reader.take(event);
    }
    answer.readers.add(reader);
    return true;
  }

  /** Forgets a reader; an answer without any is cancelled after a while. */
  unread(attempt: AttemptId, reader: Reader): void {
    this.#answers.get(attempt)?.readers.delete(reader);
    this.#watchReaders(attempt);
  }

  cancel(attempt: AttemptId): void {
    this.#run();
    this.#model.cancel(this.#timeline.now, attempt);
    this.#arm();
  }

  reserve(plan: PlanId, tokens: number, ttlMs: Millis): boolean {
    this.#run();
    const reservation = { owner: plan, tokens, ttlMs };
    const held = this.#model.reserve(this.#timeline.now, plan, reservation);
    this.#arm();
    return held.isOk();
  }

  release(plan: PlanId): void {
    this.#run();
    this.#model.release(this.#timeline.now, plan);
    this.#arm();
  }

  /** Carries out an order unless its number is old and the engine checks. */
  order(order: EngineOrder): "accepted" | "stale" {
    const newest = this.fencings.at(-1) ?? -1;
    if (this.options.checksFencing && order.fencing < newest) return "stale";
    this.fencings.push(order.fencing);
    this.#model.setLoaded(order.loaded, order.role);
    return "accepted";
  }

  crash(): void {
    if (!this.up) return;
    this.#frozenUntil = this.#timeline.now;
    this.#held = [];
    this.#run();
    this.#model.crash(this.#timeline.now);
    this.#run();
  }

  /** Comes back as another run, with the same weights. */
  restart(): void {
    this.#runs += 1;
    this.#frozenUntil = this.#timeline.now;
    this.#answers.clear();
    this.#model.restart(`${this.id}-${this.#runs}` as Incarnation);
  }

  state(): EngineState {
    const { incarnation, loaded, role, leaving } = this.#model;
    const fencing = this.options.checksFencing
      ? this.fencings.at(-1)
      : undefined;
    return {
      incarnation,
      loaded: [...loaded],
      loading: [],
      role,
      leaving,
      fencing,
    };
  }

  load(): LoadReport {
    this.#run();
    return this.#model.loadReport(this.#timeline.now);
  }

  #watchReaders(attempt: AttemptId): void {
    this.#timeline.after(UNREAD_MS, () => {
      const answer = this.#answers.get(attempt);
      if (answer !== undefined && answer.readers.size === 0) {
        this.cancel(attempt);
      }
    });
  }

  #thawed(): void {
    if (this.isFrozen) return;
    const held = this.#held;
    this.#held = [];
    for (const action of held) action();
    this.#run();
  }

  /** Brings the model up to now and hands on what has happened. */
  #run(): void {
    if (this.isFrozen) return;
    for (const event of this.#model.advance(this.#timeline.now)) {
      this.#tell(event);
    }
    this.#arm();
  }

  #arm(): void {
    const at = this.#model.nextEventAt();
    if (at === undefined || at >= this.#dueAt) return;
    this.#dueAt = at;
    this.#timeline.after(at - this.#timeline.now, () => {
      this.#dueAt = Infinity;
      this.#run();
    });
  }

  #tell(event: ModelEvent): void {
    switch (event.type) {
      case "tokens":
        for (const { attempt, index } of event.tokens) {
          const { head, content } = this.#answers.get(attempt)!;
          const { request } = head;
          const text = tokenText(content, index);
          this.#publish(attempt, {
            type: "token",
            request,
            attempt,
            index,
            text,
          });
        }
        return;
      case "done":
        return this.#finish(event);
      case "error": {
        const { attempt, code } = event;
        const request = this.#answers.get(attempt)!.head.request;
        return this.#publish(attempt, {
          type: "error",
          request,
          attempt,
          code,
        });
      }
      case "crashed":
        return this.#lose(event.attempts);
    }
  }

  #finish(event: Extract<ModelEvent, { type: "done" }>): void {
    const { attempt, count, finish } = event;
    const { head } = this.#answers.get(attempt)!;
    const { request, model, version, adapter } = head;
    this.#publish(attempt, {
      type: "done",
      request,
      attempt,
      count,
      finish,
      model,
      version,
      adapter,
      prompt_tokens: event.promptTokens,
      cached_tokens: event.cachedTokens,
    });
  }

  #publish(attempt: AttemptId, event: EngineEvent): void {
    const answer = this.#answers.get(attempt)!;
    answer.events.push(event);
    for (const reader of answer.readers) reader.take(event);
  }

  #lose(attempts: readonly AttemptId[]): void {
    const answers = [...this.#answers.values()];
    const contents = attempts.map((id) => this.#answers.get(id)!.content);
    this.#answers.clear();
    this.options.onLost(contents, contents.find(isPoison));
    for (const answer of answers) {
      for (const reader of answer.readers) reader.lost();
    }
  }
}

/** The text of one token of the answer to a prompt. */
export function tokenText(content: Digest, index: number): string {
  return `${content}#${index} `;
}

/** Tokens of the whole answer to a prompt. */
export function answerLength(content: Digest): number {
  let sum = 0;
  for (const char of content) sum = (sum * 31 + char.charCodeAt(0)) % 997;
  return 1 + sum % MAX_ANSWER_TOKENS;
}

/** Start of the contents that share a block that crashes engines. */
export const POISON_BLOCK = "poison-block";

/** Whether a prompt has the shared block that crashes engines. */
export function hasPoisonBlock(content: Digest): boolean {
  return content.startsWith(POISON_BLOCK);
}

/** Whether a prompt crashes each engine that runs it. */
export function isPoison(content: Digest): boolean {
  return content.startsWith("poison");
}
