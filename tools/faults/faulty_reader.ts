import type { AttemptId, RequestId } from "../../src/core/id.ts";
import type { EngineEvent } from "../../src/wire/engine.ts";
import type { StreamItem } from "./event_pipe.ts";
import type { Reader } from "./fake_engine.ts";
import type { ArmedFault } from "./schedule.ts";

/** Where a reader puts what it reads. */
export type FaultyReaderParts = Readonly<{
  armed: ArmedFault | undefined;
  /** Tokens that were delivered before. */
  after: number;
  push: (item: StreamItem) => void;
  /** Says, after the time of silence, that nothing more came. */
  pushSilent: () => void;
  leave: () => void;
}>;

/** Passes an answer on with at most one fault in it. */
export class FaultyReader implements Reader {
  readonly #parts: FaultyReaderParts;
  #isOver = false;

  private constructor(parts: FaultyReaderParts) {
    this.#parts = parts;
  }

  static create(parts: FaultyReaderParts): FaultyReader {
    return new FaultyReader(parts);
  }

  take(event: EngineEvent): void {
    if (this.#isOver) return;
    if (this.#isDue(event) && !this.#strike(event)) return;
    this.#parts.push({ ok: true, event });
  }

  lost(): void {
    if (!this.#isOver) this.#break("broken");
  }

  #isDue(event: EngineEvent): boolean {
    const { armed, after } = this.#parts;
    if (armed === undefined) return false;
    return event.type !== "token" || event.index === after + armed.at;
  }

  /** Returns whether the event itself still passes. */
  #strike(event: EngineEvent): boolean {
    switch (this.#parts.armed?.fault) {
      case "silent_midway":
        this.#end();
        this.#parts.pushSilent();
        return false;
      case "reset_midway":
        this.#break("broken");
        return false;
      case "truncated":
        this.#break("truncated");
        return false;
      case "doubled":
        this.#parts.push({ ok: true, event });
        return true;
      case "crossed":
        this.#parts.push({ ok: true, event: ofAnother(event) });
        return true;
      case "skipped":
        return event.type !== "token";
      default:
        return true;
    }
  }

  #break(code: "broken" | "truncated"): void {
    this.#end();
    const detail = "The stream broke.";
    const err = { code, verdict: "may_have_run" as const, detail };
    this.#parts.push({ ok: false, err });
  }

  #end(): void {
    this.#isOver = true;
    this.#parts.leave();
  }
}

function ofAnother(event: EngineEvent): EngineEvent {
  const request = "another" as RequestId;
  const attempt = "another" as AttemptId;
  return event.type === "token"
    ? { ...event, request, attempt, text: "not this answer" }
    : { ...event, request, attempt };
}
