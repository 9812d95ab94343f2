import type { ServerResponse } from "node:http";
import type { AttemptId, PlanId } from "../../src/core/id.ts";
import type { EngineEvent, GenerateHead } from "../../src/wire/engine.ts";
import type { AnswerKey } from "./answer.ts";
import { AnswerStream } from "./answer_stream.ts";
import {
  type EngineServerConfig,
  KEEP_MS,
  MAX_STREAMS,
  ORPHAN_MS,
  PEER_CHECK_MS,
} from "./engine_config.ts";
import type { AnswerFault } from "./faults.ts";
import type { ModelEvent } from "./job.ts";
import type { Timer, Timers } from "../common/timers.ts";
import { peersHold } from "./kv_exchange.ts";

type EndEvent = Extract<ModelEvent, { type: "done" | "error" }>;

/** One answer, and what is to happen to it later. */
export type AnswerEntry = {
  readonly stream: AnswerStream;
  /** Cancels it without a reader, or forgets it after its end. */
  timer: Timer | undefined;
  /** Next check of the plan's other engines. */
  watch: Timer | undefined;
};

/** What answers ask of their engine. */
export type AnswersListener = Readonly<{
  cancel: (attempt: AttemptId) => void;
  renewPlan: (plan: PlanId) => void;
  breakPlan: (plan: PlanId) => void;
}>;

/** The answers of one engine: running ones, and finished ones for a while. */
export class Answers {
  readonly #cfg: EngineServerConfig;
  readonly #timers: Timers;
  readonly #listener: AnswersListener;
  readonly #entries = new Map<AttemptId, AnswerEntry>();

  private constructor(
    cfg: EngineServerConfig,
    timers: Timers,
    listener: AnswersListener,
  ) {
    this.#cfg = cfg;
    this.#timers = timers;
    this.#listener = listener;
  }

  static create(
    cfg: EngineServerConfig,
    timers: Timers,
    listener: AnswersListener,
  ): Answers {
    return new Answers(cfg, timers, listener);
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Connections that read an answer. */
  get readers(): number {
    let sum = 0;
    for (const { stream } of this.#entries.values()) sum += stream.readers;
    return sum;
  }

  get(attempt: AttemptId): AnswerEntry | undefined {
    return this.#entries.get(attempt);
  }

  /** Makes room for one more answer by dropping the oldest finished one. */
  makeRoom(): boolean {
    if (this.#entries.size < MAX_STREAMS) return true;
    for (const [attempt, { stream, timer }] of this.#entries) {
      if (!stream.ended) continue;
      timer?.clear();
      return this.#entries.delete(attempt);
    }
    return false;
  }

  add(head: GenerateHead, key: AnswerKey): AnswerEntry {
    const stream = AnswerStream.create(head, key);
    const entry = { stream, timer: undefined, watch: undefined };
    this.#entries.set(head.attempt, entry);
    this.#watchPeers(entry);
    return entry;
  }

  /** Sends an answer to one more reader. */
  attach(
    entry: AnswerEntry,
    res: ServerResponse,
    options: { after: number; fault: AnswerFault | undefined },
  ): void {
    entry.timer?.clear();
    entry.stream.attach(res, {
      ...options,
      onGone: () => this.#readerGone(entry),
    });
  }

  token(attempt: AttemptId, index: number): void {
    this.#entries.get(attempt)?.stream.token(index);
  }

  end(event: EndEvent): void {
    const entry = this.#entries.get(event.attempt);
    if (!entry) return;
    entry.stream.end(finalEvent(entry.stream.head, event));
    entry.watch?.clear();
    this.#keep(entry);
  }

  ping(): void {
    for (const { stream } of this.#entries.values()) stream.ping();
  }

  clear(): void {
    for (const { timer, watch } of this.#entries.values()) {
      timer?.clear();
      watch?.clear();
    }
    this.#entries.clear();
  }

  /** An answer that nobody reads ends after a while, which frees its memory. */
  #readerGone(entry: AnswerEntry): void {
    const { stream } = entry;
    if (!this.#has(entry) || stream.readers > 0) return;
    if (stream.ended) return this.#keep(entry);
    const { orphanMs = ORPHAN_MS } = this.#cfg;
    const cancel = () => this.#listener.cancel(stream.head.attempt);
    entry.timer = this.#timers.set(cancel, orphanMs);
  }

  #keep(entry: AnswerEntry): void {
    entry.timer?.clear();
    const { keepMs = KEEP_MS } = this.#cfg;
    const { attempt } = entry.stream.head;
    const drop = () => this.#entries.delete(attempt);
    entry.timer = this.#timers.set(drop, keepMs);
  }

  /** Renews the memory of a plan that decodes here; ends it when another engine has lost its part. */
  #watchPeers(entry: AnswerEntry): void {
    const { segment } = entry.stream.head;
    if (!segment?.last && !segment?.peers?.length) return;
    if (segment.last) this.#listener.renewPlan(segment.plan);
    const { peerCheckMs = PEER_CHECK_MS } = this.#cfg;
    entry.watch = this.#timers.set(async () => {
      const isWhole = await peersHold(segment);
      if (!this.#has(entry) || entry.stream.ended) return;
      if (isWhole) this.#watchPeers(entry);
      else this.#listener.breakPlan(segment.plan);
    }, peerCheckMs);
  }

  #has(entry: AnswerEntry): boolean {
    return this.#entries.get(entry.stream.head.attempt) === entry;
  }
}

function finalEvent(
  head: GenerateHead,
  event: EndEvent,
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
