import { diffConfig } from "../config/diff.ts";
import type { ServingConfig } from "../config/serving.ts";
import { changeLine } from "./change_line.ts";
import { type RolloutStatus, stragglerLine } from "./rollout.ts";
import { parsePublished } from "./load_folder.ts";
import type { PublishResult } from "./publish.ts";
import type { Report } from "./report.ts";

/** Lists the differences between a published configuration and a folder, one per line. */
export function changeLines(
  before: string,
  after: ServingConfig,
): readonly string[] {
  const published = parsePublished(before);
  return published === undefined
    ? []
    : diffConfig(published, after).map(changeLine);
}

/** Reports the outcome of a change; `seen` holds the changed keys and the rollout, if it was awaited. */
export function applyReport(
  result: PublishResult,
  seen: Readonly<{ changes: readonly string[]; inForce?: RolloutStatus }>,
): Report {
  switch (result.outcome) {
    case "accepted":
      return acceptedReport(result, seen);
    case "conflict": {
      const { winner, base } = result;
      return {
        exit: "conflict",
        data: result,
        lines: [
          `conflict: written against revision ${base}, but revision ${winner.revision} by ${winner.author} is in force`,
          "compare with `parsleyfield diff`, then apply again",
        ],
      };
    }
    case "unknown":
      return {
        exit: "unknown",
        data: result,
        lines: [
          `unknown: ${result.detail}`,
          `safe to run again with --change ${result.change}`,
        ],
      };
  }
}

function acceptedReport(
  result: Extract<PublishResult, { outcome: "accepted" }>,
  { changes, inForce }: Readonly<
    { changes: readonly string[]; inForce?: RolloutStatus }
  >,
): Report {
  const head =
    `accepted as revision ${result.revision} (change ${result.change})`;
  if (inForce === undefined) {
    return { exit: "ok", data: result, lines: [...changes, head] };
  }
  const { daemons, stragglers } = inForce;
  const rolledOut = `in force on ${
    daemons - stragglers.length
  } of ${daemons} daemons`;
  const stragglerLines = stragglers.map(stragglerLine);
  return {
    exit: stragglers.length === 0 ? "ok" : "stragglers",
    data: { ...result, ...inForce },
    lines: [...changes, head, rolledOut, ...stragglerLines],
  };
}
