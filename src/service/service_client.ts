import type { ResultAsync } from "neverthrow";
import type { RequestId } from "../core/id.ts";
import type { Millis } from "../core/time.ts";
import type { Verdict } from "../core/verdict.ts";

/** One call to a plain service. */
export type ServiceCall = Readonly<{
  request: RequestId;
  method: string;
  /** Path and query. */
  path: string;
  contentType?: string;
  key?: string;
  body: Uint8Array;
}>;

/** Complete response of a service. */
export type ServiceResponse = Readonly<
  { status: number; contentType: string; body: Uint8Array }
>;

/** Why a call to a service failed. */
export type ServiceError = Readonly<{
  code: "refused" | "connect_failed" | "broken" | "silent" | "too_large";
  verdict: Verdict;
  detail: string;
  retryAfterMs?: Millis;
}>;

/** Client of one instance of a plain service. */
export abstract class ServiceClient {
  /** Sends a call once, without retries; resolves with the complete response. */
  abstract call(
    call: ServiceCall,
    options: { timeoutMs: Millis; maxBytes: number },
  ): ResultAsync<ServiceResponse, ServiceError>;
  abstract close(): Promise<void>;
}
