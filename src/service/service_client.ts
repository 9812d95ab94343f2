import type { ResultAsync } from "neverthrow";
import type { RequestId } from "../core/id.ts";
import type { Millis } from "../core/time.ts";
import type { Verdict } from "../core/verdict.ts";

/** One call of a plain service. */
export type ServiceCall = Readonly<{
  request: RequestId;
  method: string;
  /** Path and query. */
  path: string;
  contentType?: string;
  key?: string;
  body: Uint8Array;
}>;

/** The service's whole answer. */
export type ServiceResponse = Readonly<
  { status: number; contentType: string; body: Uint8Array }
>;

/** Why a call of a service failed. */
export type ServiceError = Readonly<{
  code: "refused" | "connect_failed" | "broken" | "silent" | "too_large";
  verdict: Verdict;
  detail: string;
  retryAfterMs?: Millis;
}>;

/** One instance of a plain service. */
export abstract class ServiceClient {
  /** Runs a call once; resolves with the whole answer. */
  abstract call(
    call: ServiceCall,
    options: { timeoutMs: Millis; maxBytes: number },
  ): ResultAsync<ServiceResponse, ServiceError>;
  abstract close(): Promise<void>;
}
