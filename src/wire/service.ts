/** Header that carries the request id to a plain service. */
export const REQUEST_ID_HEADER = "x-request-id";
/** Header that carries the client's idempotency key to a plain service. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
/** Header that a plain service sets if it refused a call before starting it. */
export const NOT_STARTED_HEADER = "x-not-started";
