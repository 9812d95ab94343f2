import type { ConfigError } from "./config_error.ts";
import { quoteFound } from "./ini_file.ts";
import { snakeCase } from "./key_schema.ts";
import { nearest, withHint } from "./nearest.ts";
import type { Section, SectionsRead } from "./read_sections.ts";
import type { SERVING_SECTIONS } from "./serving_sections.ts";

/** The sections of a configuration folder after merging. */
export type ServingSections = SectionsRead<typeof SERVING_SECTIONS>["sections"];

type Fault = Readonly<
  { code: ConfigError["code"]; key: string; found: string; allowed: string }
>;

/** Splits `MODEL@VERSION`; the version may be left out. */
export function splitReference(
  reference: string,
): Readonly<{ model: string; version?: string }> {
  const [model = "", version] = reference.split("@");
  return version === undefined ? { model } : { model, version };
}

/** Checks what one section says about another, and keys that bound each other. */
export function checkReferences(
  sections: ServingSections,
): readonly ConfigError[] {
  return [
    ...sections.model.flatMap(checkModel),
    ...sections.adapter.flatMap((adapter) =>
      faults(adapter, missingNames(adapter, "model", sections.model))
    ),
    ...sections.group.flatMap((group) => checkGroup(group, sections)),
    ...sections.team.flatMap((team) =>
      faults(team, [
        ...missingNames(team, "models", sections.model),
        ...missingNames(team, "services", sections.service),
      ])
    ),
    ...checkTokens(sections.team),
    ...sections.class.flatMap(checkClass),
    ...sections.limits.flatMap(checkLimits),
  ];
}

function checkModel(model: ServingSections["model"][number]): ConfigError[] {
  const { version, versions } = model.value;
  if (version === undefined || versions === undefined) return [];
  if (versions.includes(version)) return [];
  return faults(model, [dangling("version", version, versions)]);
}

function checkGroup(
  group: ServingSections["group"][number],
  sections: ServingSections,
): ConfigError[] {
  const found: Fault[] = [];
  const loaded: string[] = [];
  for (const reference of group.value.models ?? []) {
    const { model, version } = splitReference(reference);
    if (loaded.includes(model)) {
      found.push({
        code: "duplicate_key",
        key: "models",
        found: quoteFound(reference),
        allowed: "each model once in a group",
      });
    }
    loaded.push(model);
    const section = sections.model.find((section) => section.name === model);
    if (section === undefined) {
      found.push(dangling("models", model, names(sections.model)));
    } else if (version !== undefined) {
      const versions: readonly string[] = section.value.versions ?? [version];
      if (!versions.includes(version)) {
        const known = versions.map((version) => `${model}@${version}`);
        found.push(dangling("models", reference, known));
      }
    }
  }
  for (const adapter of group.value.adapters ?? []) {
    const section = sections.adapter.find((section) =>
      section.name === adapter
    );
    if (section === undefined) {
      found.push(dangling("adapters", adapter, names(sections.adapter)));
    } else if (
      section.value.model !== undefined && !loaded.includes(section.value.model)
    ) {
      const known = sections.adapter.filter((section) =>
        loaded.includes(section.value.model ?? "")
      );
      found.push(dangling("adapters", adapter, names(known)));
    }
  }
  return faults(group, found);
}

function checkTokens(teams: ServingSections["team"]): ConfigError[] {
  const owners = new Map<string, string>();
  const errors: ConfigError[] = [];
  for (const team of teams) {
    for (const digest of team.value.tokenDigests ?? []) {
      const owner = owners.get(digest);
      owners.set(digest, team.name);
      if (owner === undefined) continue;
      errors.push(...faults(team, [{
        code: "duplicate_key",
        key: "token_digests",
        found: `${quoteFound(digest)} of team ${owner}`,
        allowed: "a token of one team only",
      }]));
    }
  }
  return errors;
}

function checkClass(section: ServingSections["class"][number]): ConfigError[] {
  const { deadlineMs, maxDeadlineMs } = section.value;
  if (deadlineMs === undefined || maxDeadlineMs === undefined) return [];
  if (deadlineMs <= maxDeadlineMs) return [];
  return faults(section, [{
    code: "out_of_range",
    key: "deadline_ms",
    found: quoteFound(String(deadlineMs)),
    allowed: `at most max_deadline_ms, which is ${maxDeadlineMs}`,
  }]);
}

function checkLimits(limits: ServingSections["limits"][number]): ConfigError[] {
  const { keyWindowMs, clockSkewMs } = limits.value;
  if (keyWindowMs === undefined || clockSkewMs === undefined) return [];
  if (clockSkewMs * 2 < keyWindowMs) return [];
  return faults(limits, [{
    code: "out_of_range",
    key: "clock_skew_ms",
    found: quoteFound(String(clockSkewMs)),
    allowed: `less than half of key_window_ms, which is ${keyWindowMs}`,
  }]);
}

/** Finds names under a key that no section of the other kind has. */
function missingNames<Value, Key extends keyof Value & string>(
  section: Section<Value>,
  key: Key,
  others: readonly Section<unknown>[],
): Fault[] {
  const value = section.value[key] as string | readonly string[] | undefined;
  const wanted = typeof value === "string" ? [value] : value ?? [];
  const known = names(others);
  return wanted.filter((name) => !known.includes(name)).map((name) =>
    dangling(snakeCase(key), name, known)
  );
}

function names(sections: readonly Section<unknown>[]): readonly string[] {
  return sections.map((section) => section.name);
}

function dangling(key: string, name: string, known: readonly string[]): Fault {
  const list = known.length === 0 ? "none is declared" : known.join(", ");
  return {
    code: "dangling_reference",
    key,
    found: quoteFound(name),
    allowed: withHint(list, nearest(name, known)),
  };
}

function faults(
  section: Section<unknown>,
  found: readonly Fault[],
): ConfigError[] {
  return found.map((fault) => ({
    ...fault,
    ...(section.keys.get(fault.key)?.at ?? section.at),
    section: section.header,
  }));
}
