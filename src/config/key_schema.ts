import { err, ok, type Result } from "neverthrow";
import { z } from "zod";

/** JSON Schema of a key, limited to the fields used here. */
type JsonSchema = Readonly<{
  type?: string;
  enum?: readonly string[];
  items?: JsonSchema;
  minimum?: number;
  maximum?: number;
  minLength?: number;
  maxLength?: number;
  minItems?: number;
  format?: string;
  description?: string;
  allowed?: string;
}>;

/** Documentation of one key. */
export type KeyDoc = Readonly<{
  type: string;
  allowed: string;
  /** Absent if the key is required or has no default value. */
  default?: string;
  required: boolean;
  meaning: string;
}>;

/** Why a value is invalid. */
export type ValueError = Readonly<
  { code: "wrong_type" | "out_of_range"; allowed: string }
>;

const INTEGER = /^[+-]?\d+$/;
const DECIMAL = /^[+-]?(\d+\.?\d*|\.\d+)$/;

/** Derives the documentation of a key from its schema. */
export function describeKey(schema: z.ZodType): KeyDoc {
  const json = jsonSchema(schema);
  const defaultResult = schema.safeParse(undefined);
  return {
    type: typeName(json),
    allowed: allowedText(json),
    default: defaultResult.success
      ? defaultText(defaultResult.data)
      : undefined,
    required: !defaultResult.success,
    meaning: json.description ?? "",
  };
}

/** Parses a key's text into a value of its schema. */
export function decodeValue(
  schema: z.ZodType,
  text: string,
): Result<unknown, ValueError> {
  const json = jsonSchema(schema);
  const allowed = allowedText(json);
  const raw = parseText(json, text);
  if (raw === undefined) return err({ code: "wrong_type", allowed });
  const parsed = schema.safeParse(raw);
  if (parsed.success) return ok(parsed.data);
  return err({ code: "out_of_range", allowed });
}

/** Converts a camel-case name to the snake case of files. */
export function snakeCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}

function jsonSchema(schema: z.ZodType): JsonSchema {
  return z.toJSONSchema(schema, { io: "input" }) as JsonSchema;
}

function parseText(json: JsonSchema, text: string): unknown {
  if (json.type === "array") return splitList(text);
  if (json.type === "integer") {
    return INTEGER.test(text) ? Number(text) : undefined;
  }
  if (json.type === "number") {
    return DECIMAL.test(text) ? Number(text) : undefined;
  }
  if (json.type === "boolean") {
    if (text === "true") return true;
    return text === "false" ? false : undefined;
  }
  return text;
}

function splitList(text: string): string[] {
  return text.split(",").map((item) => item.trim()).filter((item) =>
    item !== ""
  );
}

function typeName(json: JsonSchema): string {
  if (json.type === "array") return "list";
  if (json.enum !== undefined) return "choice";
  if (json.format === "uri") return "URL";
  if (json.type === "integer") return "whole number";
  return json.type ?? "string";
}

function allowedText(json: JsonSchema): string {
  if (json.allowed !== undefined) return json.allowed;
  if (json.enum !== undefined) return `one of ${json.enum.join(", ")}`;
  if (json.type === "boolean") return "true or false";
  if (json.type === "integer") {
    return `a whole number from ${json.minimum} to ${json.maximum}`;
  }
  if (json.type === "number") {
    return `a number from ${json.minimum} to ${json.maximum}`;
  }
  if (json.type === "array") return allowedListText(json);
  if (json.format === "uri") return "a URL of http or https";
  return `text of ${json.minLength ?? 0} to ${
    json.maxLength ?? "any number of"
  } characters`;
}

function allowedListText(json: JsonSchema): string {
  const item = json.items === undefined ? "text" : allowedText(json.items);
  const minItemsText = json.minItems === undefined ? "" : "at least one; ";
  return `${minItemsText}separated by commas, each ${item}`;
}

function defaultText(value: unknown): string | undefined {
  if (value === undefined) return undefined;
  if (Array.isArray(value)) {
    return value.length === 0 ? "none" : value.join(", ");
  }
  return String(value);
}
