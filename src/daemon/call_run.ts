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

/** Options of one attempt of a call. */
export type CallRunOptions = Readonly<{
  intent: StartAttempt;
  exchange: CallExchange;
  service: ServiceClient;
  now: () => Timestamp;
  timeoutMs: Millis;
  maxBytes: number;
  post: (event: Extract<Event, { type: "attempt_ended" }>) => void;
}>;

/** Runs one attempt of a call; the client gets the service's complete response or none of it. */
export async function runCall(options: CallRunOptions): Promise<void> {
  const { intent, exchange, service, post } = options;
  const { req, attempt } = intent;
  const remainingMs = intent.deadlineAt - options.now();
  if (remainingMs <= 0) {
    return post({
      type: "attempt_ended",
      req,
      attempt,
      outcome: deadlinePassed(),
    });
  }
  const { id, method, path, key } = exchange.req;
  const { contentType, body } = exchange;
  const response = await service.call(
    { request: id, method, path, key, contentType, body },
    {
      timeoutMs: Math.min(options.timeoutMs, remainingMs),
      maxBytes: options.maxBytes,
    },
  );
  if (response.isErr()) {
    return post({
      type: "attempt_ended",
      req,
      attempt,
      outcome: failure(response.error),
    });
  }
  exchange.finish(response.value);
  post({
    type: "attempt_ended",
    req,
    attempt,
    outcome: success(response.value),
  });
}

function success(response: ServiceResponse): Outcome {
  const { status, contentType } = response;
  const body = Buffer.from(response.body).toString("utf8");
  const answerDigest = sha256(response.body);
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

/** Outcome of a call not sent because its deadline has passed; the check is made just before sending, as the process may have been suspended since. */
function deadlinePassed(): Outcome {
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
