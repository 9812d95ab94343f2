import type { Request } from "./request.ts";
import type { Millis } from "./time.ts";

/** A time that operators watch: to a place, to the first token, to the end. */
export type TimingName = "placing_ms" | "first_token_ms" | "request_ms";

/** One measured time, by the length of what was asked. */
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
