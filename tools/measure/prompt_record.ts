import type { UpstreamId } from "../../src/core/id.ts";
import type { Arrival } from "./workload.ts";

/** What became of one prompt, as its client saw it. */
export type PromptRecord = {
  readonly arrival: Arrival;
  /** Absolute virtual times in milliseconds. */
  readonly sentAt: number;
  firstTokenAt?: number;
  lastTokenAt?: number;
  endedAt?: number;
  /** `ok`, or the code of the refusal or failure. */
  result?: string;
  tokens: number;
  /** Where it ran last, and how much of the prompt was cached there. */
  engine?: UpstreamId;
  cachedTokens?: number;
};

/** Time within which a refusal counts as given at once. */
export const AT_ONCE_MS = 1_000;

/** Whether the prompt was turned away at once, so that it never counted as admitted. */
export function wasRefused(record: PromptRecord): boolean {
  return record.result !== undefined && record.result !== "ok" &&
    record.tokens === 0 && record.endedAt! - record.sentAt <= AT_ONCE_MS;
}

/** Whether the whole answer came before the deadline. */
export function wasInTime(record: PromptRecord): boolean {
  return record.result === "ok" &&
    record.endedAt! - record.sentAt <= record.arrival.deadlineMs;
}
