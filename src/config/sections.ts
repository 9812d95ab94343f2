import type { z } from "zod";
import { describeKey, type KeyDoc, snakeCase } from "./key_schema.ts";

/** The declaration of one kind of section; keys are named in camel case here and in snake case in files. */
export type SectionSpec = Readonly<{
  /** Whether the header is `[kind.NAME]`, as often as wanted, or `[kind]`, once. */
  named: boolean;
  /** Whether at least one must be there. */
  required: boolean;
  meaning: string;
  schema: z.ZodObject;
}>;

/** The declarations of all sections of a file, by kind. */
export type SectionSpecs = Readonly<Record<string, SectionSpec>>;

/** What the documentation says about one kind of section. */
export type SectionDoc = Readonly<{
  header: string;
  required: boolean;
  meaning: string;
  keys: readonly Readonly<KeyDoc & { key: string }>[];
}>;

/** Returns how the header of a kind is written. */
export function headerFormat(kind: string, spec: SectionSpec): string {
  return spec.named ? `[${kind}.NAME]` : `[${kind}]`;
}

/** Returns the key names of a kind, as files write them, with their schemas. */
export function keySchemas(spec: SectionSpec): ReadonlyMap<string, z.ZodType> {
  return new Map(
    Object.entries(spec.schema.shape).map(([name, schema]) => [
      snakeCase(name),
      schema as z.ZodType,
    ]),
  );
}

/** Describes sections from their declarations. */
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
