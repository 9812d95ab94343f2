import { createHash } from "node:crypto";
import type { Digest } from "../core/id.ts";

/** Returns the SHA-256 digest of text as UTF-8, or of bytes. */
export function sha256(content: string | Uint8Array): Digest {
  return createHash("sha256").update(content).digest("hex") as Digest;
}
