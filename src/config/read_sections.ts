import type { z } from "zod";
import type { ConfigError, ConfigFile } from "./config_error.ts";
import {
  type IniEntry,
  parseIniFile,
  type Position,
  quoteFound,
} from "./ini_file.ts";
import { decodeValue, describeKey } from "./key_schema.ts";
import { nearest } from "./nearest.ts";
import {
  headerOf,
  keysOf,
  type SectionSpec,
  type SectionSpecs,
} from "./sections.ts";

const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;
const NAME_ALLOWED =
  "a name of letters, digits, dots, underscores and hyphens, 128 at most";

/** One section after merging; a key that was wrong or missing has no value. */
export type Section<Value> = Readonly<{
  name: string;
  header: string;
  value: Partial<Value>;
  at: Position;
  /** Where each key was set last, and what was written. */
  keys: ReadonlyMap<string, Readonly<{ text: string; at: Position }>>;
}>;

/** All sections by kind, and everything that was wrong with them. */
export type SectionsRead<Specs extends SectionSpecs> = Readonly<{
  sections: {
    readonly [Kind in keyof Specs]: readonly Section<
      z.infer<Specs[Kind]["schema"]>
    >[];
  };
  errors: readonly ConfigError[];
}>;

type OpenSection = {
  readonly kind: string;
  readonly name: string;
  readonly header: string;
  readonly at: Position;
  readonly keys: Map<string, Readonly<{ text: string; at: Position }>>;
};

/** Merges files in the given order, key by key, and checks each key against its declaration. */
export function readSections<Specs extends SectionSpecs>(
  files: readonly ConfigFile[],
  specs: Specs,
): SectionsRead<Specs> {
  const errors: ConfigError[] = [];
  const open = new Map<string, OpenSection>();
  for (const file of files) {
    const parsed = parseIniFile(file);
    errors.push(...parsed.errors);
    mergeEntries(parsed.entries, specs, { open, errors });
  }
  const sections: Record<string, Section<unknown>[]> = {};
  for (const [kind, spec] of Object.entries(specs)) {
    const found = [...open.values()].filter((section) => section.kind === kind);
    if (found.length === 0 && spec.required) {
      errors.push(missingSection(headerOf(kind, spec), files));
    }
    sections[kind] = found.map((section) => checkKeys(section, spec, errors));
  }
  return { sections: sections as SectionsRead<Specs>["sections"], errors };
}

function mergeEntries(
  entries: readonly IniEntry[],
  specs: SectionSpecs,
  state: { open: Map<string, OpenSection>; errors: ConfigError[] },
): void {
  const setHere = new Set<string>();
  let current: OpenSection | undefined;
  let known = false;
  for (const entry of entries) {
    if (entry.type === "section") {
      const header = parseHeader(entry.section, specs);
      known = "kind" in header;
      if ("kind" in header) {
        current = state.open.get(entry.section) ??
          { ...header, header: entry.section, at: entry.at, keys: new Map() };
        state.open.set(entry.section, current);
      } else {
        state.errors.push(unknownSection(entry, header.allowed));
      }
      continue;
    }
    if (entry.section === "") state.errors.push(outsideSection(entry, specs));
    if (!known || current === undefined) continue;
    const id = JSON.stringify([entry.section, entry.key]);
    if (setHere.has(id)) state.errors.push(duplicateKey(entry, current));
    setHere.add(id);
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
      headerOf(kind, spec)
    );
    const near = nearest(kind, Object.keys(specs));
    return { allowed: withHint(headers.join(", "), near) };
  }
  if (spec.named !== (dot >= 0)) return { allowed: headerOf(kind, spec) };
  if (spec.named && !NAME.test(name)) {
    return { allowed: `${headerOf(kind, spec)} with ${NAME_ALLOWED}` };
  }
  return { kind, name };
}

function checkKeys(
  section: OpenSection,
  spec: SectionSpec,
  errors: ConfigError[],
): Section<unknown> {
  const schemas = keysOf(spec);
  const value: Record<string, unknown> = {};
  for (const [key, { text, at }] of section.keys) {
    const schema = schemas.get(key);
    if (schema === undefined) {
      const allowed = withHint(
        [...schemas.keys()].join(", "),
        nearest(key, schemas.keys()),
      );
      errors.push({
        code: "unknown_key",
        ...at,
        section: section.header,
        key,
        found: quoteFound(key),
        allowed,
      });
      continue;
    }
    const decoded = decodeValue(schema, text);
    if (decoded.isOk()) value[key] = decoded.value;
    else {
      errors.push({
        code: decoded.error.code,
        ...at,
        section: section.header,
        key,
        found: quoteFound(text),
        allowed: decoded.error.allowed,
      });
    }
  }
  for (const [key, schema] of schemas) {
    if (section.keys.has(key)) continue;
    const fallback = schema.safeParse(undefined);
    if (fallback.success) value[key] = fallback.data;
    else errors.push(missingKey(section, key, describeKey(schema).allowed));
  }
  return { ...section, value: camelKeys(value) };
}

function camelKeys(value: Readonly<Record<string, unknown>>) {
  return Object.fromEntries(
    Object.entries(value).map(([key, item]) => [
      key.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase()),
      item,
    ]),
  );
}

function withHint(allowed: string, near: string | undefined): string {
  return near === undefined ? allowed : `${allowed} (nearest: ${near})`;
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
    found: quoteFound(`[${entry.section}]`),
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
      Object.entries(specs).map(([kind, spec]) => headerOf(kind, spec)).join(
        ", ",
      )
    }`,
  };
}

function duplicateKey(
  entry: Extract<IniEntry, { type: "key" }>,
  section: OpenSection,
): ConfigError {
  const first = section.keys.get(entry.key)?.at.line ?? 0;
  return {
    code: "duplicate_key",
    ...entry.at,
    section: entry.section,
    key: entry.key,
    found: `set before on line ${first}`,
    allowed: "each key once in a section of a file",
  };
}

function missingKey(
  section: OpenSection,
  key: string,
  allowed: string,
): ConfigError {
  return {
    code: "missing_key",
    ...section.at,
    section: section.header,
    key,
    found: "nothing",
    allowed,
  };
}

function missingSection(
  header: string,
  files: readonly ConfigFile[],
): ConfigError {
  return {
    code: "missing_section",
    file: files.at(-1)?.name ?? "",
    line: 0,
    section: header.slice(1, -1),
    key: "",
    found: "nothing",
    allowed: `at least one ${header}`,
  };
}
