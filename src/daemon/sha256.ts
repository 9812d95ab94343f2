import { createHash } from "node:crypto";
import type { Digest } from "../core/id.ts";

/** SHA-256 digest, in lower-case hex, of bytes or of text in UTF-8. */
export function sha256(content: string | Uint8Array): Digest {
  return createHash("sha256").update(content).digest("hex") as Digest;
}
