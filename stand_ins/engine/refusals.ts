import type { EngineRefusal } from "../../src/wire/engine.ts";
import type { HostContext } from "../common/http_host.ts";

const REFUSAL_STATUS = {
  bad_request: 400,
  not_loaded: 409,
  too_long: 413,
  queue_full: 429,
  leaving: 503,
  stale_fencing: 409,
  no_memory: 409,
  unknown_stream: 404,
  unknown_plan: 404,
  import_failed: 502,
} as const satisfies Record<EngineRefusal["code"], number>;

/** Answers that nothing was run, and why. */
export function refuse(c: HostContext, refusal: EngineRefusal): Response {
  const headers: Record<string, string> = refusal.code === "queue_full"
    ? { "retry-after": "1" }
    : {};
  return c.json(refusal, REFUSAL_STATUS[refusal.code], headers);
}

/** Refuses a body of another shape. */
export function refuseBody(c: HostContext): Response {
  const detail = "The body is not what the contract says";
  return refuse(c, { code: "bad_request", detail });
}

/** Refuses a plan that holds nothing here. */
export function refusePlan(c: HostContext): Response {
  return refuse(c, { code: "unknown_plan", detail: "No memory is reserved" });
}
