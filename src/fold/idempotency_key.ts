import { validate, version } from "uuid";
import type { Limits } from "../config/limits.ts";
import type { IdempotencyKey } from "../core/id.ts";
import { type Problem, problem } from "../core/problem.ts";
import type { Timestamp } from "../core/time.ts";
import { type IssuedKey, parseIssuedKey } from "./issued_key.ts";

const UUID_VERSION = 7;
const TIME_HEX_DIGITS = 12;

/** A key with its issue time: created by the client, or issued by a daemon, its home. */
export type ParsedKey =
  | Readonly<{ type: "client"; key: IdempotencyKey; issuedAt: Timestamp }>
  | Readonly<{
    type: "issued";
    key: IdempotencyKey;
    issuedAt: Timestamp;
    issued: IssuedKey;
  }>;

/** Parses a UUIDv7 or an issued key; returns undefined for anything else. */
export function parseKey(text: string): ParsedKey | undefined {
  const issued = parseIssuedKey(text);
  if (issued !== undefined) {
    const key = text as IdempotencyKey;
    return { type: "issued", key, issuedAt: issued.at, issued };
  }
  if (!validate(text) || version(text) !== UUID_VERSION) return undefined;
  const key = text.toLowerCase() as IdempotencyKey;
  const hex = key.replaceAll("-", "").slice(0, TIME_HEX_DIGITS);
  return { type: "client", key, issuedAt: parseInt(hex, 16) as Timestamp };
}

/**
 * Refuses a key whose claim may have been evicted, or whose issue time lies in the future.
 * Claims made at or before `knownSince` may have been evicted on this daemon.
 */
export function checkKeyWindow(
  key: ParsedKey,
  now: Timestamp,
  options: { limits: Limits; knownSince: Timestamp },
): Problem | undefined {
  const { keyWindowMs, clockSkewMs } = options.limits;
  if (key.issuedAt > now + clockSkewMs) {
    return problem("key_in_future", "The key's issue time lies in the future.");
  }
  const oldest = Math.max(
    now - keyWindowMs,
    options.knownSince + 2 * clockSkewMs,
  );
  if (key.issuedAt >= oldest) return undefined;
  return problem(
    "key_expired",
    "An earlier attempt with this key may no longer be recorded.",
    { verdict: "may_have_run" },
  );
}
