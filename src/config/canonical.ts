import { createHash } from "node:crypto";
import type { Digest } from "../core/id.ts";
import type { ServingConfig } from "./serving.ts";

/** Returns the canonical text of a configuration: JSON with sorted keys. */
export function canonicalText(config: ServingConfig): string {
  return JSON.stringify(sortKeys(config));
}

/** Returns the SHA-256 digest of a configuration's canonical text. */
export function configDigest(config: ServingConfig): Digest {
  return createHash("sha256").update(canonicalText(config)).digest(
    "hex",
  ) as Digest;
}

function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1).map((
      [key, item],
    ) => [key, sortKeys(item)]),
  );
}
