import { Buffer } from "node:buffer";
import type { Event } from "../core/event.ts";
import type { Retry } from "../core/reason.ts";
import type { Outcome } from "../core/request.ts";
import { sha256 } from "./sha256.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import type {
  ServiceClient,
  ServiceError,
  ServiceResponse,
} from "../service/service_client.ts";
import type { CallExchange } from "./exchange.ts";
import type { StartAttempt } from "./prompt_run.ts";

/** What one attempt of a call needs. */
export type CallRunParts = Readonly<{
  intent: StartAttempt;
  exchange: CallExchange;
  service: ServiceClient;
  now: () => Timestamp;
  timeoutMs: Millis;
  maxBytes: number;
  post: (event: Extract<Event, { type: "attempt_ended" }>) => void;
}>;

/** Runs one attempt of a call; the client gets the service's whole answer or none. */
export async function runCall(parts: CallRunParts): Promise<void> {
  const { intent, exchange, service, post } = parts;
  const { req, attempt } = intent;
  const left = intent.deadlineAt - parts.now();
  if (left <= 0) {
    return post({ type: "attempt_ended", req, attempt, outcome: tooLate() });
  }
  const { id, method, path, key } = exchange.req;
  const { contentType, body } = exchange;
  const answer = await service.call(
    { request: id, method, path, key, contentType, body },
    { timeoutMs: Math.min(parts.timeoutMs, left), maxBytes: parts.maxBytes },
  );
  if (answer.isErr()) {
    return post({
      type: "attempt_ended",
      req,
      attempt,
      outcome: failure(answer.error),
    });
  }
  exchange.finish(answer.value);
  post({
    type: "attempt_ended",
    req,
    attempt,
    outcome: success(answer.value),
  });
}

function success(answer: ServiceResponse): Outcome {
  const { status, contentType } = answer;
  const body = Buffer.from(answer.body).toString("utf8");
  const answerDigest = sha256(answer.body);
  const recorded = { contentType, body };
  return { type: "ok", tokens: 0, status, answer: recorded, answerDigest };
}

const CAUSES: Readonly<Record<ServiceError["code"], Retry>> = {
  refused: "upstream_refused",
  connect_failed: "connect_failed",
  broken: "upstream_crashed",
  silent: "upstream_silent",
  too_large: "answer_broken",
};

function failure(err: ServiceError): Outcome {
  const cause = CAUSES[err.code];
  return {
    type: "failed",
    cause,
    verdict: err.verdict,
    tokens: 0,
    crashed: false,
    detail: err.detail,
  };
}

/** The clock is read once more right before the first byte, after any pause of this process. */
function tooLate(): Outcome {
  const detail = "The deadline passed before the call was sent.";
  return {
    type: "failed",
    cause: "connect_failed",
    verdict: "not_run",
    tokens: 0,
    crashed: false,
    detail,
  };
}
