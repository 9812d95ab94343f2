import { createHmac, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import type { DaemonId, TeamId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";

const SCHEME = "pk1";
const SIGNATURE_LENGTH = 22;
const TIME_RADIX = 36;
const ISSUED_KEY_PATTERN =
  /^(pk1)\.([A-Za-z0-9_-]{1,64})\.([0-9a-z]{1,9})\.([A-Za-z0-9_-]{22})\.([A-Za-z0-9_-]{1,40})$/;

/** Issuer, issue time and team of a key. */
export type KeyIssue = Readonly<{
  /** The daemon incarnation that issued the key; only it may run the key's call. */
  home: DaemonId;
  at: Timestamp;
  team: TeamId;
}>;

/** A parsed issued key; its signature is not verified yet. */
export type IssuedKey = Readonly<{
  home: DaemonId;
  at: Timestamp;
  signature: string;
}>;

/** Returns a signed prefix; for each call the client appends a dot and 1 to 40 letters, digits, `_` or `-`. */
export function issueKeyPrefix(issue: KeyIssue, secret: string): string {
  const at = issue.at.toString(TIME_RADIX);
  return [SCHEME, issue.home, at, sign(issue, secret)].join(".");
}

/** Parses an issued key; returns undefined if the text has another form. */
export function parseIssuedKey(key: string): IssuedKey | undefined {
  const match = ISSUED_KEY_PATTERN.exec(key);
  if (match === null) return undefined;
  return {
    home: match[2] as DaemonId,
    at: parseInt(match[3]!, TIME_RADIX) as Timestamp,
    signature: match[4]!,
  };
}

/** Whether a key was issued with this secret for this team. */
export function isIssuedTo(
  key: IssuedKey,
  team: TeamId,
  secret: string,
): boolean {
  const expected = sign({ home: key.home, at: key.at, team }, secret);
  return timingSafeEqual(Buffer.from(expected), Buffer.from(key.signature));
}

function sign(issue: KeyIssue, secret: string): string {
  return createHmac("sha256", secret)
    .update(JSON.stringify([SCHEME, issue.home, issue.at, issue.team]))
    .digest("base64url")
    .slice(0, SIGNATURE_LENGTH);
}
