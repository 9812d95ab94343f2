import { isDeepStrictEqual } from "node:util";
import type { ServingConfig, Team } from "../serving_config.ts";

/** How an entry differs between two versions. Keys are counted and not shown. */
export type ServingChange = Readonly<{
  entry: string;
  change: "added" | "removed" | "changed";
  /** The fields that differ, each with its value before and after. */
  fields: Readonly<Record<string, readonly [unknown, unknown]>>;
}>;

type Entries = ReadonlyMap<string, Readonly<Record<string, unknown>>>;

/** The differences from one version of the configuration to another, by name. */
export function diffServing(
  before: ServingConfig,
  after: ServingConfig,
): readonly ServingChange[] {
  const [from, to] = [entriesOf(before), entriesOf(after)];
  const names = new Set([...from.keys(), ...to.keys()]);
  return [...names].sort().flatMap((entry): readonly ServingChange[] => {
    const [old, next] = [from.get(entry), to.get(entry)];
    if (old === undefined) return [{ entry, change: "added", fields: {} }];
    if (next === undefined) return [{ entry, change: "removed", fields: {} }];
    const fields = differingFields(old, next);
    if (Object.keys(fields).length === 0) return [];
    return [{ entry, change: "changed", fields }];
  });
}

/** All entries by name; of several with one name the last. */
function entriesOf(serving: ServingConfig): Entries {
  const { routes, services, teams = [], limits } = serving;
  return new Map<string, Readonly<Record<string, unknown>>>([
    ["limits", limits],
    ...routes.map((route) => [`route ${route.name}`, route] as const),
    ...[...services.values()].map((one) => [`service ${one.id}`, one] as const),
    ...teams.map((team) => [`team ${team.id}`, team] as const),
  ]);
}

function differingFields(
  before: Readonly<Record<string, unknown>>,
  after: Readonly<Record<string, unknown>>,
): ServingChange["fields"] {
  const fields: Record<string, readonly [unknown, unknown]> = {};
  for (const name of Object.keys({ ...before, ...after })) {
    const [from, to] = [before[name], after[name]];
    if (isDeepStrictEqual(from, to)) continue;
    fields[name] = name === "keys"
      ? countKeys(from as Team["keys"], to as Team["keys"])
      : [from, to];
  }
  return fields;
}

function countKeys(
  before: Team["keys"],
  after: Team["keys"],
): readonly [string, string] {
  const removed = before.filter((key) => !after.includes(key)).length;
  const added = after.filter((key) => !before.includes(key)).length;
  return [
    `${before.length} keys`,
    `${after.length} keys, ${added} added and ${removed} removed`,
  ];
}
