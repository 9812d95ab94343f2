import type { EngineError } from "../../src/engine/engine_client.ts";
import type { EngineEvent } from "../../src/wire/engine.ts";
import type { Timeline } from "./timeline.ts";

/** One event of a stream, or its break. */
export type StreamItem =
  | Readonly<{ ok: true; event: EngineEvent }>
  | Readonly<{ ok: false; err: EngineError }>;

/** The events of one stream in the order in which they came. */
export class EventPipe implements AsyncIterable<StreamItem> {
  readonly #timeline: Timeline;
  #items: StreamItem[] = [];
  #isClosed = false;
  #wake: (() => void) | undefined;

  private constructor(timeline: Timeline) {
    this.#timeline = timeline;
  }

  static create(timeline: Timeline): EventPipe {
    return new EventPipe(timeline);
  }

  get isOver(): boolean {
    return this.#isClosed;
  }

  push(item: StreamItem): void {
    if (this.#isClosed) return;
    this.#items.push(item);
    this.#isClosed = !item.ok;
    this.#notify();
  }

  /** Ends the stream; what has not been read is lost. */
  close(): void {
    this.#isClosed = true;
    this.#items = [];
    this.#notify();
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<StreamItem> {
    for (;;) {
      const item = this.#items.shift();
      if (item !== undefined) yield item;
      else if (this.#isClosed) return;
      else await new Promise<void>((resolve) => this.#wake = resolve);
    }
  }

  #notify(): void {
    this.#timeline.unsettle();
    this.#wake?.();
  }
}
