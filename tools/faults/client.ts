import { Buffer } from "node:buffer";
import type {
  AttemptId,
  Digest,
  IdempotencyKey,
  RequestId,
  UpstreamId,
} from "../../src/core/id.ts";
import type { Problem } from "../../src/core/problem.ts";
import type { RanUnder } from "../../src/core/request.ts";
import type { Timestamp } from "../../src/core/time.ts";
import type { Verdict } from "../../src/core/verdict.ts";
import {
  type ResponseEnd,
  ResponseWriter,
} from "../../src/http/response_writer.ts";
import type { ServiceResponse } from "../../src/service/service_client.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import { answerLength, tokenText } from "./fake_engine.ts";
import { answerBody } from "./fake_service.ts";

/** How a request ended for its client. */
export type Final = Readonly<{
  type: "answer" | "problem";
  verdict: Verdict;
  code?: Problem["code"];
}>;

/** What a client needs to fetch the rest of its answer elsewhere. */
export type ResumeToken = Readonly<{
  attempt: AttemptId;
  upstream: UpstreamId;
  ranUnder: RanUnder;
}>;

/** One request as its client sees it. */
export abstract class ClientRequest {
  readonly id: RequestId;
  /** The daemon that holds it, once it has arrived there. */
  daemon: DaemonProcess;
  deadlineAt: Timestamp | undefined;
  readonly finals: Final[] = [];
  /** What was wrong with what came. */
  readonly complaints: string[] = [];
  /** Whether the client has gone away or its daemon has died. */
  isAbandoned = false;
  /** What the client does when its daemon has died. */
  onLost: (() => void) | undefined;
  readonly #tell: (what: string) => void;

  protected constructor(
    id: RequestId,
    daemon: DaemonProcess,
    tell: (what: string) => void,
  ) {
    this.id = id;
    this.daemon = daemon;
    this.#tell = tell;
  }

  get isOpen(): boolean {
    return this.finals.length === 0 && !this.isAbandoned;
  }

  /** Its daemon has died. */
  lose(): void {
    this.isAbandoned = true;
    this.#tell("loses its daemon");
    this.onLost?.();
  }

  protected close(final: Final): void {
    this.finals.push(final);
    this.#tell(`gets ${final.code ?? "its answer"} (${final.verdict})`);
  }

  protected complain(what: string): void {
    this.complaints.push(what);
  }
}

/** A prompt's client: takes its streamed answer. */
export class PromptClient extends ClientRequest {
  readonly content: Digest;
  readonly promptTokens: number;
  readonly writer: ResponseWriter;
  resume: ResumeToken | undefined;
  tokens = 0;

  private constructor(
    options: Readonly<{
      id: RequestId;
      daemon: DaemonProcess;
      tell: (what: string) => void;
      content: Digest;
      promptTokens: number;
    }>,
  ) {
    super(options.id, options.daemon, options.tell);
    this.content = options.content;
    this.promptTokens = options.promptTokens;
    this.writer = new ClientWriter(this);
  }

  static create(
    options: Readonly<{
      id: RequestId;
      daemon: DaemonProcess;
      tell: (what: string) => void;
      content: Digest;
      promptTokens: number;
    }>,
  ): PromptClient {
    return new PromptClient(options);
  }

  takeToken(index: number, text: string): void {
    if (this.finals.length > 0) this.complain(`token ${index} after the end`);
    if (index !== this.tokens) {
      this.complain(`token ${index} came where ${this.tokens} was due`);
    }
    if (text !== tokenText(this.content, index)) {
      this.complain(`token ${index} is ${JSON.stringify(text)}`);
    }
    this.tokens += 1;
    if (this.resume !== undefined) return;
    const entry = this.daemon.board.requests.byId.get(this.id);
    if (entry?.attempt === undefined) return;
    const { id: attempt, placement } = entry.attempt;
    const { upstream } = placement;
    this.resume = { attempt, upstream, ranUnder: entry.ranUnder };
  }

  takeEnd(end: ResponseEnd): void {
    const due = answerLength(this.content);
    if (this.tokens !== due || end.count !== due) {
      this.complain(`${this.tokens} of ${due} tokens came, ${end.count} told`);
    }
    this.daemon.exchanges.delete(this.id);
    this.close({ type: "answer", verdict: "ran" });
  }

  takeProblem(err: Problem): void {
    const { code, verdict } = err;
    this.close({ type: "problem", verdict, code });
  }
}

/** Writes to a prompt's client whatever the daemon says, also too much of it. */
class ClientWriter extends ResponseWriter {
  readonly #client: PromptClient;

  constructor(client: PromptClient) {
    super();
    this.#client = client;
  }

  override get resumable(): boolean {
    return this.#client.resume !== undefined;
  }

  override writeToken(index: number, text: string): void {
    this.#client.takeToken(index, text);
  }

  override end(end: ResponseEnd): void {
    this.#client.takeEnd(end);
  }

  override fail(err: Problem): void {
    this.#client.takeProblem(err);
  }
}

/** A call's client. */
export class CallClient extends ClientRequest {
  readonly key: IdempotencyKey | undefined;
  readonly body: string;

  private constructor(
    options: Readonly<{
      id: RequestId;
      daemon: DaemonProcess;
      tell: (what: string) => void;
      key: IdempotencyKey | undefined;
      body: string;
    }>,
  ) {
    super(options.id, options.daemon, options.tell);
    this.key = options.key;
    this.body = options.body;
  }

  static create(
    options: Readonly<{
      id: RequestId;
      daemon: DaemonProcess;
      tell: (what: string) => void;
      key: IdempotencyKey | undefined;
      body: string;
    }>,
  ): CallClient {
    return new CallClient(options);
  }

  /** The first answer counts, as on a connection that is written once. */
  takeAnswer(answer: ServiceResponse, verdict: Verdict = "ran"): void {
    if (!this.isOpen) return;
    const text = Buffer.from(answer.body).toString();
    if (answer.status !== 200) {
      return this.close({ type: "problem", verdict, code: codeOf(text) });
    }
    if (text !== answerBody(this.body)) {
      this.complain(`the answer is ${JSON.stringify(text)}`);
    }
    this.close({ type: "answer", verdict });
  }

  takeProblem(err: Problem): void {
    if (!this.isOpen) return;
    const { code, verdict } = err;
    this.close({ type: "problem", verdict, code });
  }
}

function codeOf(body: string): Problem["code"] {
  return JSON.parse(body).code ?? "internal";
}
