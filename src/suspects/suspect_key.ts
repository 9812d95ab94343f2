import type { Digest, PromptPartId } from "../core/id.ts";

/** Parts of one prompt that a log line lists; it counts the others. */
const MAX_LISTED_PARTS = 32;
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
export function keyFields(key: string): KeyFields {
  const part = partOfKey(key);
  return part === undefined ? { content: key } : { part };
}

/** Fields of a log line that name a key, or several parts. */
export function keyListFields(keys: readonly string[]): KeyFields {
  const [first = ""] = keys;
  return keys.length > 1
    ? partListFields(keys.map((key) => partOfKey(key) ?? key))
    : keyFields(first);
}

/** Fields of a log line that name the parts of a prompt, and how many there are if it lists only the first ones. */
export function partListFields(parts: readonly string[]): KeyFields {
  if (parts.length === 0) return {};
  const listed = parts.slice(0, MAX_LISTED_PARTS).join(",");
  return parts.length > MAX_LISTED_PARTS
    ? { parts: listed, parts_count: parts.length }
    : { parts: listed };
}

type KeyFields = Readonly<Record<string, string | number>>;

/** Entries of which all but the key is the same, as for the parts of one prompt. */
export type PartGroup<Entry> = Readonly<
  { entry: Entry; keys: readonly string[] }
>;

/** Groups entries of parts that differ only in their key, which is the value of `field`; contents stay alone. */
export function groupParts<
  Field extends string,
  Entry extends Readonly<Record<Field, string>>,
>(entries: readonly Entry[], field: Field): readonly PartGroup<Entry>[] {
  const groups = new Map<string, { entry: Entry; keys: string[] }>();
  for (const entry of entries) {
    const key: string = entry[field];
    const name = partOfKey(key) === undefined
      ? `${groups.size}`
      : JSON.stringify({ ...entry, [field]: undefined });
    const group = groups.get(name);
    if (group === undefined) groups.set(name, { entry, keys: [key] });
    else group.keys.push(key);
  }
  return [...groups.values()];
}
