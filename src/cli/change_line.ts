import type { ConfigChange } from "../config/diff.ts";

/** Returns a change as one line of text. */
export function changeLine(change: ConfigChange): string {
  if (change.type === "added") return `+ [${change.section}]`;
  if (change.type === "removed") return `- [${change.section}]`;
  const from = JSON.stringify(change.from);
  const to = JSON.stringify(change.to);
  return `~ [${change.section}] ${change.key}: ${from} -> ${to}`;
}
