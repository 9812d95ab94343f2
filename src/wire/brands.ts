import { z } from "zod";
import type { Branded } from "../core/brand.ts";

const MAX_ID_LENGTH = 128;

/** A schema of a branded id: 1 to 128 characters. */
export function idSchema<Id extends Branded<string, string>>() {
  return z.string().min(1).max(MAX_ID_LENGTH).transform((value) => value as Id);
}

/** A schema of a branded non-negative integer. */
export function countSchema<Count extends Branded<number, string>>() {
  return z.number().int().nonnegative().transform((value) => value as Count);
}
