import type { Branded } from "../../core/brand.ts";
import { fnv1aHash } from "../../core/fnv1a.ts";
import type { PromptPartId } from "../../core/id.ts";
import type { HeldPart } from "./held_parts.ts";

/** A part of a prompt, in order from its start, that other prompts may have in common. */
export type LeadingPart = Readonly<{ id: PromptPartId; tokens: number }>;

/** Key of a part behind all parts before it. */
export type PartKey = Branded<string, "PartKey">;

/** Keys of a prompt's leading parts: what an engine holds of a part depends on what precedes it. */
export function keyedParts(
  parts: readonly LeadingPart[],
): readonly HeldPart<PartKey>[] {
  let before = "";
  return parts.map(({ id, tokens }) => {
    const key = `${fnv1aHash(before)}>${id}` as PartKey;
    before = key;
    return { key, tokens };
  });
}
