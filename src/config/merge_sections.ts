import type { ConfigError, ConfigFile } from "./config_error.ts";
import {
  type IniEntry,
  parseIniFile,
  type Position,
  quoteTruncated,
} from "./ini_file.ts";
import { nearest, withHint } from "./nearest.ts";
import { headerFormat, type SectionSpecs } from "./sections.ts";

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;
const NAME_ALLOWED =
  "a name of letters, digits, dots, underscores and hyphens, 128 at most";

/** A section merged from all files; the last file that sets a key wins. */
export type MergedSection = Readonly<{
  kind: string;
  name: string;
  header: string;
  at: Position;
  keys: ReadonlyMap<string, Readonly<{ text: string; at: Position }>>;
}>;

type MutableSection = MergedSection & {
  readonly keys: Map<string, Readonly<{ text: string; at: Position }>>;
};

/** Merges files in the given order, key by key; does not validate keys or values. */
export function mergeSections(
  files: readonly ConfigFile[],
  specs: SectionSpecs,
): Readonly<
  { sections: readonly MergedSection[]; errors: readonly ConfigError[] }
> {
  const errors: ConfigError[] = [];
  const byHeader = new Map<string, MutableSection>();
  for (const file of files) {
    const parsed = parseIniFile(file);
    errors.push(...parsed.errors);
    mergeEntries(parsed.entries, specs, { byHeader, errors });
  }
  return { sections: [...byHeader.values()], errors };
}

function mergeEntries(
  entries: readonly IniEntry[],
  specs: SectionSpecs,
  state: { byHeader: Map<string, MutableSection>; errors: ConfigError[] },
): void {
  const keysOfFile = new Set<string>();
  let current: MutableSection | undefined;
  let inKnownSection = false;
  for (const entry of entries) {
    if (entry.type === "section") {
      const header = parseHeader(entry.section, specs);
      inKnownSection = "kind" in header;
      if ("kind" in header) {
        current = state.byHeader.get(entry.section) ??
          { ...header, header: entry.section, at: entry.at, keys: new Map() };
        state.byHeader.set(entry.section, current);
      } else {
        state.errors.push(unknownSection(entry, header.allowed));
      }
      continue;
    }
    if (entry.section === "") state.errors.push(outsideSection(entry, specs));
    if (!inKnownSection || current === undefined) continue;
    const keyId = JSON.stringify([entry.section, entry.key]);
    if (keysOfFile.has(keyId)) state.errors.push(duplicateKey(entry, current));
    keysOfFile.add(keyId);
    current.keys.set(entry.key, { text: entry.value, at: entry.at });
  }
}

function parseHeader(
  section: string,
  specs: SectionSpecs,
): Readonly<{ kind: string; name: string }> | Readonly<{ allowed: string }> {
  const dot = section.indexOf(".");
  const kind = dot < 0 ? section : section.slice(0, dot);
  const name = dot < 0 ? "" : section.slice(dot + 1);
  const spec = Object.hasOwn(specs, kind) ? specs[kind] : undefined;
  if (spec === undefined) {
    const headers = Object.entries(specs).map(([kind, spec]) =>
      headerFormat(kind, spec)
    );
    const near = nearest(kind, Object.keys(specs));
    return { allowed: withHint(headers.join(", "), near) };
  }
  if (spec.named !== (dot >= 0)) return { allowed: headerFormat(kind, spec) };
  if (spec.named && !NAME_PATTERN.test(name)) {
    return { allowed: `${headerFormat(kind, spec)} with ${NAME_ALLOWED}` };
  }
  return { kind, name };
}

function unknownSection(
  entry: Extract<IniEntry, { type: "section" }>,
  allowed: string,
): ConfigError {
  return {
    code: "unknown_section",
    ...entry.at,
    section: entry.section,
    key: "",
    found: quoteTruncated(`[${entry.section}]`),
    allowed,
  };
}

function outsideSection(
  entry: Extract<IniEntry, { type: "key" }>,
  specs: SectionSpecs,
): ConfigError {
  return {
    code: "unknown_key",
    ...entry.at,
    section: "",
    key: entry.key,
    found: "a key before the first section",
    allowed: `keys below ${
      Object.entries(specs).map(([kind, spec]) => headerFormat(kind, spec))
        .join(
          ", ",
        )
    }`,
  };
}

function duplicateKey(
  entry: Extract<IniEntry, { type: "key" }>,
  section: MergedSection,
): ConfigError {
  const first = section.keys.get(entry.key)?.at.line ?? 0;
  return {
    code: "duplicate_key",
    ...entry.at,
    section: entry.section,
    key: entry.key,
    found: `already set on line ${first}`,
    allowed: "each key once per section of a file",
  };
}
