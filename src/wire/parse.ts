import { err, ok, type Result } from "neverthrow";
import { z } from "zod";

/** Parses a value by a schema; the error names the fields that don't fit, and why. */
export function parseWith<T>(
  schema: z.ZodType<T>,
  value: unknown,
): Result<T, string> {
  const parsed = schema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}
