import { snakeCase } from "./key_schema.ts";
import type { ServingConfig } from "./serving.ts";

/** One difference between two configurations; values are JSON. */
export type ConfigChange =
  | Readonly<{ type: "added"; section: string }>
  | Readonly<{ type: "removed"; section: string }>
  | Readonly<{
    type: "changed";
    section: string;
    key: string;
    from: unknown;
    to: unknown;
  }>;

const SECTION_KINDS = {
  models: "model",
  groups: "group",
  services: "service",
  teams: "team",
  classes: "class",
} as const;

/** Lists the changes from `a` to `b`, by section and key. */
export function diffConfig(
  a: ServingConfig,
  b: ServingConfig,
): readonly ConfigChange[] {
  const lists = Object.entries(SECTION_KINDS).flatMap(([list, kind]) =>
    diffLists(
      kind,
      a[list as keyof typeof SECTION_KINDS],
      b[list as keyof typeof SECTION_KINDS],
    )
  );
  return [...lists, ...diffKeys("limits", a.limits, b.limits)];
}

function diffLists(
  kind: string,
  a: readonly Readonly<{ id: string }>[],
  b: readonly Readonly<{ id: string }>[],
): readonly ConfigChange[] {
  const ids = [...new Set([...a, ...b].map((item) => item.id))].sort();
  return ids.flatMap((id): readonly ConfigChange[] => {
    const section = `${kind}.${id}`;
    const before = a.find((item) => item.id === id);
    const after = b.find((item) => item.id === id);
    if (before === undefined) return [{ type: "added", section }];
    if (after === undefined) return [{ type: "removed", section }];
    return diffKeys(section, before, after);
  });
}

function diffKeys(
  section: string,
  a: Readonly<object>,
  b: Readonly<object>,
): readonly ConfigChange[] {
  const before = new Map<string, unknown>(Object.entries(a));
  const after = new Map<string, unknown>(Object.entries(b));
  const names = [...new Set([...before.keys(), ...after.keys()])].sort();
  return names
    .filter((name) =>
      JSON.stringify(before.get(name)) !== JSON.stringify(after.get(name))
    )
    .map((name) => ({
      type: "changed",
      section,
      key: snakeCase(name),
      from: before.get(name),
      to: after.get(name),
    }));
}
