import type { Digest, PromptPartId } from "../core/id.ts";

/** Separates the kind of a key from its id; digests of contents have no such character. */
const PART_PREFIX = "part:";

/** What of a request may crash its upstream: its content as a whole, or a part that other prompts share. */
export type SuspectRequest = Readonly<{
  /** Digest of the caller, the path and the body. */
  digest: string;
  sharedParts?: readonly PromptPartId[];
}>;

/** Key of a part, or of a leading block, among the keys of contents, which are their digests. */
export function partKey(part: PromptPartId | Digest): string {
  return `${PART_PREFIX}${part}`;
}

/** The part with this key; undefined for the key of a content. */
export function partOfKey(key: string): PromptPartId | undefined {
  return key.startsWith(PART_PREFIX)
    ? key.slice(PART_PREFIX.length) as PromptPartId
    : undefined;
}

/** Keys of all that may be to blame if the request crashes its upstream. */
export function keysOf(request: SuspectRequest): readonly string[] {
  return [request.digest, ...(request.sharedParts ?? []).map(partKey)];
}

/** Fields of a log line that name a key. */
export function keyFields(key: string): Readonly<Record<string, string>> {
  const part = partOfKey(key);
  return part === undefined ? { content: key } : { part };
}
