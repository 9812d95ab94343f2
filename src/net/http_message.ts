import { SECOND_MS } from "../core/time.ts";
import type { Millis } from "../core/time.ts";

/** An HTTP request. */
export type HttpReq = Readonly<{
  method: string;
  /** Path and query. */
  path: string;
  headers: Readonly<Record<string, string>>;
  body?: Uint8Array;
}>;

/** A complete HTTP response. */
export type HttpRes = Readonly<{
  status: number;
  headers: HttpHeaders;
  body: Uint8Array;
}>;

/** Response headers by lower-case name. */
export type HttpHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Why an HTTP call got no complete response. */
export type HttpError = Readonly<{
  code:
    /** The limit of concurrent calls is reached. */
    | "overloaded"
    /** The request can't be encoded as HTTP. */
    | "invalid"
    /** No connection was made within the time limit. */
    | "connect_failed"
    /** The connection failed, or the response is malformed or incomplete. */
    | "broken"
    /** A time limit passed after the request was sent. */
    | "silent"
    /** The response body exceeds the size limit. */
    | "too_large";
  /** Whether any byte of the request may have been sent. */
  sent: boolean;
  detail: string;
}>;

/** Returns a header's value, or `undefined` if the header is missing or repeated. */
export function headerOf(
  headers: HttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === "string" ? value : undefined;
}

/** Returns the delay of a `Retry-After` header given in seconds, converted to ms; dates are ignored. */
export function retryAfterMs(headers: HttpHeaders): Millis | undefined {
  const value = headerOf(headers, "retry-after");
  if (value === undefined || !/^\d{1,6}$/.test(value)) return undefined;
  return Number(value) * SECOND_MS;
}
