import type { ResponseEvent, ResumePoint } from "./prompt_client.ts";

/** An answer as far as it has come, over however many connections. */
export class ReceivedResponse {
  request: string;
  revision: string | undefined;
  /** Times that the stream was taken up again. */
  resumed = 0;
  /** The index of the token that comes next. */
  nextIndex: number;
  text = "";
  done: Extract<ResponseEvent, { type: "done" }> | undefined;
  #resumeToken: string | undefined;

  private constructor(resume: ResumePoint | undefined) {
    this.request = resume?.request ?? "";
    this.nextIndex = resume?.lastEventId ?? 0;
    this.#resumeToken = resume?.token;
  }

  static create(resume: ResumePoint | undefined): ReceivedResponse {
    return new ReceivedResponse(resume);
  }

  /** Whether the final event has come and all before it. */
  get isComplete(): boolean {
    return this.done?.count === this.nextIndex;
  }

  /** Where the stream is taken up; absent where the daemon gave no token. */
  get resumePoint(): ResumePoint | undefined {
    const token = this.#resumeToken;
    if (token === undefined) return undefined;
    return { request: this.request, lastEventId: this.nextIndex, token };
  }

  /** Takes an event and returns the text that is new; doubled tokens bring none. */
  addEvent(event: ResponseEvent): string {
    switch (event.type) {
      case "head":
        this.request = event.request || this.request;
        this.revision = event.revision ?? this.revision;
        this.#resumeToken = event.resumeToken ?? this.#resumeToken;
        return "";
      case "token":
        if (event.index !== this.nextIndex) return "";
        this.nextIndex += 1;
        this.text += event.text;
        return event.text;
      case "done":
        this.done = event;
        return "";
    }
  }
}

/** Returns a resume point as one word. */
export function formatResume(point: ResumePoint): string {
  return `${point.request}:${point.lastEventId}:${point.token}`;
}

/** Reads what `formatResume` wrote. */
export function parseResume(text: string): ResumePoint | undefined {
  const match = /^([^:]+):(\d+):([^:]+)$/.exec(text);
  if (match === null) return undefined;
  const [, request = "", after = "0", token = ""] = match;
  return { request, lastEventId: Number(after), token };
}
