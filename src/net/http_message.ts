import { SECOND_MS } from "../core/time.ts";
import type { Millis } from "../core/time.ts";

/** One HTTP call. */
export type HttpReq = Readonly<{
  method: string;
  /** Path and query. */
  path: string;
  headers: Readonly<Record<string, string>>;
  body?: Uint8Array;
}>;

/** One whole HTTP answer; the names of its headers are in lower case. */
export type HttpRes = Readonly<{
  status: number;
  headers: HttpHeaders;
  body: Uint8Array;
}>;

/** Headers of an answer; their names are in lower case. */
export type HttpHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Why an HTTP call brought no whole answer. */
export type HttpError = Readonly<{
  code:
    /** More calls are open than the limit allows. */
    | "overloaded"
    /** The call can't be put into HTTP. */
    | "invalid"
    /** No connection was made in time. */
    | "connect_failed"
    /** The connection broke, or what came is not a whole HTTP answer. */
    | "broken"
    /** The time ran out. */
    | "silent"
    /** The answer is larger than the limit. */
    | "too_large";
  /** Whether a byte of the call may have left. */
  sent: boolean;
  detail: string;
}>;

/** Returns the value of a header that must occur once. */
export function headerOf(
  headers: HttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === "string" ? value : undefined;
}

/** Returns the time of a `Retry-After` header in seconds. */
export function retryAfterMs(headers: HttpHeaders): Millis | undefined {
  const value = headerOf(headers, "retry-after");
  if (value === undefined || !/^\d{1,6}$/.test(value)) return undefined;
  return Number(value) * SECOND_MS;
}
