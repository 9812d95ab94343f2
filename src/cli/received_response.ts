import type { ResponseEvent, ResumePoint } from "./prompt_client.ts";

/** The part of a response received so far, over one or more connections. */
export class ReceivedResponse {
  request: string;
  revision: string | undefined;
  /** Number of times that the stream was resumed. */
  resumed = 0;
  /** The index of the next token. */
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

  /** Whether the final event and every token before it have been received. */
  get isComplete(): boolean {
    return this.done?.count === this.nextIndex;
  }

  /** Where the stream can be resumed; absent if the daemon sent no resume token. */
  get resumePoint(): ResumePoint | undefined {
    const token = this.#resumeToken;
    if (token === undefined) return undefined;
    return { request: this.request, lastEventId: this.nextIndex, token };
  }

  /** Adds an event and returns its new text; a duplicate token adds none. */
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

/** Formats a resume point as `REQUEST:EVENT:TOKEN`. */
export function formatResume(point: ResumePoint): string {
  return `${point.request}:${point.lastEventId}:${point.token}`;
}

/** Parses the format of `formatResume`. */
export function parseResume(text: string): ResumePoint | undefined {
  const match = /^([^:]+):(\d+):([^:]+)$/.exec(text);
  if (match === null) return undefined;
  const [, request = "", after = "0", token = ""] = match;
  return { request, lastEventId: Number(after), token };
}
