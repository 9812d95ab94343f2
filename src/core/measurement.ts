import type { Request } from "./request.ts";
import type { Millis } from "./time.ts";

/** Metric of a request's time until its placement, its first token or its end. */
export type TimingName = "placing_ms" | "first_token_ms" | "request_ms";

/** One measured time, with the length class of the request. */
export type Timing = Readonly<{
  name: TimingName;
  ms: Millis;
  length: string;
}>;

const LENGTH_BOUNDS: readonly (readonly [number, string])[] = [
  [4_000, "up_to_4k"],
  [32_000, "up_to_32k"],
  [128_000, "up_to_128k"],
];

/** Names the length class of a request: prompt tokens, or `call`. */
export function lengthClass(req: Request): string {
  if (req.kind === "call") return "call";
  const bound = LENGTH_BOUNDS.find(([most]) => req.promptTokens <= most);
  return bound?.[1] ?? "over_128k";
}
