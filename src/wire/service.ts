/** Header that carries the request id to a plain service. */
export const REQUEST_ID_HEADER = "x-request-id";
/** Header that carries the client's key to a plain service. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
/** Header by which a plain service says that it refused a call before starting it. */
export const NOT_STARTED_HEADER = "x-not-started";
