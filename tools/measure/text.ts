import type { Summary } from "./summary.ts";

/** Returns the figures of a run as lines of text. */
export function textOf(summary: Summary): string {
  return Object.entries(summary)
    .map(([name, value]) => `${name}: ${JSON.stringify(value)}`)
    .join("\n");
}
