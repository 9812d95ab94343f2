import { Buffer } from "node:buffer";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { Millis } from "../../src/core/time.ts";
import {
  type ServiceCall,
  ServiceClient,
  type ServiceError,
  type ServiceResponse,
} from "../../src/service/service_client.ts";
import type { CallFault } from "./schedule.ts";
import type { Timeline } from "./timeline.ts";

const NETWORK_MS: Millis = 2;
const WORK_MS: Millis = 40;
const SLOW_MS: Millis = 12_000;

/** What all instances of the service have run. */
export class ServiceBook {
  /** Runs of each call, by the call that its client made. */
  readonly runs = new Map<string, number>();
  /** Runs of each key that may run once. */
  readonly runsByKey = new Map<string, number>();

  static create(): ServiceBook {
    return new ServiceBook();
  }

  /** Runs a call and returns its answer. */
  run(call: ServiceCall): string {
    const body = Buffer.from(call.body).toString();
    add(this.runs, callOf(body));
    if (call.key !== undefined) add(this.runsByKey, call.key);
    return answerBody(body);
  }
}

/** How a client reaches its instance and how answers reach its daemon. */
export type FakeServiceLink = Readonly<{
  timeline: Timeline;
  book: ServiceBook;
  receive: (run: () => void) => void;
  takeFault: () => CallFault | undefined;
  /** Told when a call has run. */
  onRun: (call: ServiceCall) => void;
}>;

type Answered = Result<ServiceResponse, ServiceError>;

/** One daemon's calls of one instance of the service. */
export class FakeServiceClient extends ServiceClient {
  readonly #link: FakeServiceLink;

  private constructor(link: FakeServiceLink) {
    super();
    this.#link = link;
  }

  static create(link: FakeServiceLink): FakeServiceClient {
    return new FakeServiceClient(link);
  }

  override call(
    call: ServiceCall,
    options: { timeoutMs: Millis },
  ): ResultAsync<ServiceResponse, ServiceError> {
    const fault = this.#link.takeFault();
    const answer = new Promise<Answered>((resolve) => {
      let isOver = false;
      const end = (result: Answered, ms: Millis) =>
        this.#link.timeline.after(ms, () =>
          this.#link.receive(() => {
            if (isOver) return;
            isOver = true;
            this.#link.timeline.unsettle();
            resolve(result);
          }));
      end(failed("silent", "may_have_run"), options.timeoutMs);
      this.#serve(call, fault, end);
    });
    return new ResultAsync(answer);
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  #serve(
    call: ServiceCall,
    fault: CallFault | undefined,
    end: (result: Answered, ms: Millis) => void,
  ): void {
    const { timeline, book, onRun } = this.#link;
    if (fault === "refused") {
      return end(failed("refused", "not_run"), NETWORK_MS);
    }
    if (fault === "connect_failed") {
      return end(failed("connect_failed", "not_run"), NETWORK_MS);
    }
    if (fault === "reset_before") {
      return end(failed("broken", "may_have_run"), NETWORK_MS);
    }
    if (fault === "silent_before") return;
    timeline.after(fault === "slow" ? SLOW_MS : WORK_MS, () => {
      const text = book.run(call);
      onRun(call);
      if (fault === "silent_after") return;
      if (fault === "reset_after") {
        return end(failed("broken", "may_have_run"), NETWORK_MS);
      }
      const body = Buffer.from(text);
      end(ok({ status: 200, contentType: "text/plain", body }), NETWORK_MS);
    });
  }
}

/** The body of a call: which call it is, and what it asks for. */
export function callBody(call: string, content: string): string {
  return `${call}\n${content}`;
}

/** What the service answers to a body. */
export function answerBody(body: string): string {
  return `done ${body.split("\n")[1] ?? ""}`;
}

function callOf(body: string): string {
  return body.split("\n")[0] ?? "";
}

function failed(
  code: ServiceError["code"],
  verdict: "not_run" | "may_have_run",
): Answered {
  return err({ code, verdict, detail: "The call failed." });
}

function add(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
