import { z } from "zod";

/** Why a request was refused or failed; each reason has a counter and an HTTP status. */
export const REFUSALS = {
  bad_request: { status: 400, title: "The request is malformed" },
  unauthorized: { status: 401, title: "The team's token is missing or wrong" },
  forbidden_model: { status: 403, title: "The team may not use this model" },
  unknown_model: {
    status: 404,
    title: "No such model, adapter or version is configured",
  },
  unknown_service: { status: 404, title: "No such service is configured" },
  unknown_request: { status: 404, title: "No such request is known here" },
  unknown_path: { status: 404, title: "There is no such path" },
  body_too_large: { status: 413, title: "The body is larger than the limit" },
  head_too_large: {
    status: 431,
    title: "The request's head is larger than the limit",
  },
  prompt_too_long: {
    status: 413,
    title: "The prompt is longer than all engines can hold",
  },
  key_missing: { status: 400, title: "This call needs an Idempotency-Key" },
  key_malformed: {
    status: 400,
    title: "The Idempotency-Key is not a UUIDv7 or an issued key",
  },
  key_expired: {
    status: 409,
    title: "The Idempotency-Key is older than the key window",
  },
  key_in_future: {
    status: 409,
    title: "The Idempotency-Key was issued in the future",
  },
  key_reused: {
    status: 422,
    title: "The Idempotency-Key was used with another body",
  },
  key_home_lost: {
    status: 409,
    title: "The daemon that issued this key is no longer running",
  },
  claim_pending: {
    status: 409,
    title: "Another attempt with this key is still running",
  },
  claims_unavailable: {
    status: 503,
    title: "The log service can't take claims now",
  },
  claims_not_read: {
    status: 503,
    title: "This daemon has not read the whole key window yet",
  },
  already_tried: {
    status: 409,
    title: "An attempt with this key may have run; it is not run again",
  },
  not_configured: { status: 503, title: "No configuration is in force yet" },
  config_stale: {
    status: 503,
    title: "This daemon can reach neither the log nor enough peers",
  },
  draining: { status: 503, title: "This daemon is shutting down" },
  queue_full: { status: 503, title: "The queue is full" },
  overloaded: {
    status: 503,
    title: "The daemon holds as much for clients as its memory allows",
  },
  deadline_unreachable: {
    status: 503,
    title: "The request can't finish within its deadline",
  },
  deadline_exceeded: { status: 504, title: "The deadline has passed" },
  no_upstream: { status: 503, title: "No upstream can serve this now" },
  no_memory: {
    status: 503,
    title: "The engines have no room for this prompt now",
  },
  retry_budget: { status: 503, title: "The retry budget is exhausted" },
  quarantined: {
    status: 422,
    title: "This request has crashed the engines that ran it",
  },
  upstream_failed: { status: 502, title: "The upstream failed" },
  upstream_refused: { status: 502, title: "The upstream refused the request" },
  answer_broken: {
    status: 502,
    title: "The upstream's response was incomplete or not for this request",
  },
  client_left: { status: 499, title: "The client closed the connection" },
  internal: { status: 500, title: "An internal error" },
} as const;

/** Why a request was refused or failed. */
export type Refusal = keyof typeof REFUSALS;

/** Why a request was retried; each reason has a counter. */
export const RetrySchema = z.enum([
  "connect_failed",
  "upstream_refused",
  "upstream_crashed",
  "upstream_silent",
  "upstream_leaving",
  "upstream_backing_off",
  "upstream_rate_limited",
  "answer_broken",
  "resume_failed",
  "plan_broken",
]);
/** Why a request was retried. */
export type Retry = z.infer<typeof RetrySchema>;
