import type { z } from "zod";
import type { ConfigError, ConfigFile } from "./config_error.ts";
import { type Position, quoteTruncated } from "./ini_file.ts";
import { decodeValue, describeKey } from "./key_schema.ts";
import { type MergedSection, mergeSections } from "./merge_sections.ts";
import { nearest, withHint } from "./nearest.ts";
import {
  headerFormat,
  keySchemas,
  type SectionSpec,
  type SectionSpecs,
} from "./sections.ts";

/** A merged section; `value` omits keys that are invalid, or missing without a default. */
export type Section<Value> = Readonly<{
  name: string;
  header: string;
  value: Partial<Value>;
  at: Position;
  /** Text of each key and the position at which it was last set. */
  keys: ReadonlyMap<string, Readonly<{ text: string; at: Position }>>;
}>;

/** Sections by kind, and all errors found in them. */
export type ReadSectionsResult<Specs extends SectionSpecs> = Readonly<{
  sections: {
    readonly [Kind in keyof Specs]: readonly Section<
      z.infer<Specs[Kind]["schema"]>
    >[];
  };
  errors: readonly ConfigError[];
}>;

/** Merges files in the given order, key by key, and validates each key against its schema. */
export function readSections<Specs extends SectionSpecs>(
  files: readonly ConfigFile[],
  specs: Specs,
): ReadSectionsResult<Specs> {
  const merged = mergeSections(files, specs);
  const errors = [...merged.errors];
  const sections: Record<string, Section<unknown>[]> = {};
  for (const [kind, spec] of Object.entries(specs)) {
    const found = merged.sections.filter((section) => section.kind === kind);
    if (found.length === 0 && spec.required) {
      errors.push(missingSection(headerFormat(kind, spec), files));
    }
    sections[kind] = found.map((section) => checkKeys(section, spec, errors));
  }
  return {
    sections: sections as ReadSectionsResult<Specs>["sections"],
    errors,
  };
}

function checkKeys(
  section: MergedSection,
  spec: SectionSpec,
  errors: ConfigError[],
): Section<unknown> {
  const schemas = keySchemas(spec);
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
        found: quoteTruncated(key),
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
        found: quoteTruncated(text),
        allowed: decoded.error.allowed,
      });
    }
  }
  for (const [key, schema] of schemas) {
    if (section.keys.has(key)) continue;
    const defaultResult = schema.safeParse(undefined);
    if (defaultResult.success) value[key] = defaultResult.data;
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

function missingKey(
  section: MergedSection,
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
