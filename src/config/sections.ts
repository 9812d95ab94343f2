import type { z } from "zod";
import { describeKey, type KeyDoc, snakeCase } from "./key_schema.ts";

/** Declaration of one kind of section; its schema has camel-case keys, files have them in snake case. */
export type SectionSpec = Readonly<{
  /** Whether sections have the header `[kind.NAME]`, any number of them, or `[kind]`, a single one. */
  named: boolean;
  /** Whether at least one section of the kind is required. */
  required: boolean;
  meaning: string;
  schema: z.ZodObject;
}>;

/** The declarations of all sections of a file, by kind. */
export type SectionSpecs = Readonly<Record<string, SectionSpec>>;

/** Documentation of one kind of section. */
export type SectionDoc = Readonly<{
  header: string;
  required: boolean;
  meaning: string;
  keys: readonly Readonly<KeyDoc & { key: string }>[];
}>;

/** Returns the header format of a kind: `[kind]` or `[kind.NAME]`. */
export function headerFormat(kind: string, spec: SectionSpec): string {
  return spec.named ? `[${kind}.NAME]` : `[${kind}]`;
}

/** Returns the schemas of a kind's keys by their names in files (snake case). */
export function keySchemas(spec: SectionSpec): ReadonlyMap<string, z.ZodType> {
  return new Map(
    Object.entries(spec.schema.shape).map(([name, schema]) => [
      snakeCase(name),
      schema as z.ZodType,
    ]),
  );
}

/** Derives the documentation of sections from their declarations. */
export function describeSections(specs: SectionSpecs): readonly SectionDoc[] {
  return Object.entries(specs).map(([kind, spec]) => ({
    header: headerFormat(kind, spec),
    required: spec.required,
    meaning: spec.meaning,
    keys: [...keySchemas(spec)].map(([key, schema]) => ({
      key,
      ...describeKey(schema),
    })),
  }));
}
