import type { ConfigError } from "./config_error.ts";
import { quoteTruncated } from "./ini_file.ts";
import { snakeCase } from "./key_schema.ts";
import { nearest, withHint } from "./nearest.ts";
import type { ReadSectionsResult, Section } from "./read_sections.ts";
import type { SERVING_SECTIONS } from "./serving_sections.ts";

/** The merged sections of a configuration folder. */
export type ServingSections = ReadSectionsResult<
  typeof SERVING_SECTIONS
>["sections"];

/** An error of a key, without the position that `locateErrors` adds. */
type KeyError = Readonly<
  { code: ConfigError["code"]; key: string; found: string; allowed: string }
>;

/** Splits `MODEL` or `MODEL@VERSION`. */
export function splitReference(
  reference: string,
): Readonly<{ model: string; version?: string }> {
  const [model = "", version] = reference.split("@");
  return version === undefined ? { model } : { model, version };
}

/** Checks references between sections, and constraints between keys of one section. */
export function checkReferences(
  sections: ServingSections,
): readonly ConfigError[] {
  return [
    ...sections.model.flatMap(checkModel),
    ...sections.adapter.flatMap((adapter) =>
      locateErrors(adapter, undeclaredNames(adapter, "model", sections.model))
    ),
    ...sections.group.flatMap((group) => checkGroup(group, sections)),
    ...sections.team.flatMap((team) =>
      locateErrors(team, [
        ...undeclaredNames(team, "models", sections.model),
        ...undeclaredNames(team, "services", sections.service),
      ])
    ),
    ...checkTokenOwners(sections.team),
    ...sections.class.flatMap(checkClass),
    ...sections.limits.flatMap(checkLimits),
  ];
}

function checkModel(model: ServingSections["model"][number]): ConfigError[] {
  const { version, versions } = model.value;
  if (version === undefined || versions === undefined) return [];
  if (versions.includes(version)) return [];
  return locateErrors(model, [danglingReference("version", version, versions)]);
}

function checkGroup(
  group: ServingSections["group"][number],
  sections: ServingSections,
): ConfigError[] {
  const errors: KeyError[] = [];
  const loadedModels: string[] = [];
  for (const reference of group.value.models ?? []) {
    const { model, version } = splitReference(reference);
    if (loadedModels.includes(model)) {
      errors.push({
        code: "duplicate_key",
        key: "models",
        found: quoteTruncated(reference),
        allowed: "each model once in a group",
      });
    }
    loadedModels.push(model);
    const section = sections.model.find((section) => section.name === model);
    if (section === undefined) {
      errors.push(
        danglingReference("models", model, sectionNames(sections.model)),
      );
    } else if (version !== undefined) {
      const versions: readonly string[] = section.value.versions ?? [version];
      if (!versions.includes(version)) {
        const known = versions.map((version) => `${model}@${version}`);
        errors.push(danglingReference("models", reference, known));
      }
    }
  }
  for (const adapter of group.value.adapters ?? []) {
    const section = sections.adapter.find((section) =>
      section.name === adapter
    );
    if (section === undefined) {
      errors.push(
        danglingReference("adapters", adapter, sectionNames(sections.adapter)),
      );
    } else if (
      section.value.model !== undefined &&
      !loadedModels.includes(section.value.model)
    ) {
      const known = sections.adapter.filter((section) =>
        loadedModels.includes(section.value.model ?? "")
      );
      errors.push(danglingReference("adapters", adapter, sectionNames(known)));
    }
  }
  return locateErrors(group, errors);
}

function checkTokenOwners(teams: ServingSections["team"]): ConfigError[] {
  const owners = new Map<string, string>();
  const errors: ConfigError[] = [];
  for (const team of teams) {
    for (const digest of team.value.tokenDigests ?? []) {
      const owner = owners.get(digest);
      owners.set(digest, team.name);
      if (owner === undefined) continue;
      errors.push(...locateErrors(team, [{
        code: "duplicate_key",
        key: "token_digests",
        found: `${quoteTruncated(digest)} of team ${owner}`,
        allowed: "each token in one team only",
      }]));
    }
  }
  return errors;
}

function checkClass(section: ServingSections["class"][number]): ConfigError[] {
  const { deadlineMs, maxDeadlineMs } = section.value;
  if (deadlineMs === undefined || maxDeadlineMs === undefined) return [];
  if (deadlineMs <= maxDeadlineMs) return [];
  return locateErrors(section, [{
    code: "out_of_range",
    key: "deadline_ms",
    found: quoteTruncated(String(deadlineMs)),
    allowed: `at most max_deadline_ms, which is ${maxDeadlineMs}`,
  }]);
}

function checkLimits(limits: ServingSections["limits"][number]): ConfigError[] {
  const { keyWindowMs, clockSkewMs } = limits.value;
  if (keyWindowMs === undefined || clockSkewMs === undefined) return [];
  if (clockSkewMs * 2 < keyWindowMs) return [];
  return locateErrors(limits, [{
    code: "out_of_range",
    key: "clock_skew_ms",
    found: quoteTruncated(String(clockSkewMs)),
    allowed: `less than half of key_window_ms, which is ${keyWindowMs}`,
  }]);
}

/** Returns an error for each name in a key that none of `others` declares. */
function undeclaredNames<Value, Key extends keyof Value & string>(
  section: Section<Value>,
  key: Key,
  others: readonly Section<unknown>[],
): KeyError[] {
  const value = section.value[key] as string | readonly string[] | undefined;
  const referenced = typeof value === "string" ? [value] : value ?? [];
  const known = sectionNames(others);
  return referenced.filter((name) => !known.includes(name)).map((name) =>
    danglingReference(snakeCase(key), name, known)
  );
}

function sectionNames(
  sections: readonly Section<unknown>[],
): readonly string[] {
  return sections.map((section) => section.name);
}

function danglingReference(
  key: string,
  name: string,
  known: readonly string[],
): KeyError {
  const list = known.length === 0 ? "none is declared" : known.join(", ");
  return {
    code: "dangling_reference",
    key,
    found: quoteTruncated(name),
    allowed: withHint(list, nearest(name, known)),
  };
}

function locateErrors(
  section: Section<unknown>,
  errors: readonly KeyError[],
): ConfigError[] {
  return errors.map((error) => ({
    ...error,
    ...(section.keys.get(error.key)?.at ?? section.at),
    section: section.header,
  }));
}
