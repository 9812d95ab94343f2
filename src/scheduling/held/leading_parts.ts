import type { Branded } from "../../core/brand.ts";
import type { PromptPartId } from "../../core/id.ts";
import type { HeldPart } from "./held_parts.ts";

/** A part of a prompt, in order from its start, that other prompts may have in common. */
export type LeadingPart = Readonly<{ id: PromptPartId; tokens: number }>;

/** Key of a part behind the one before it. */
export type PartKey = Branded<string, "PartKey">;

/** Keys of a prompt's leading parts: what an engine holds of a part depends on what precedes it. */
export function keyedParts(
  parts: readonly LeadingPart[],
): readonly HeldPart<PartKey>[] {
  return parts.map(({ id, tokens }, i) => ({
    key: `${parts[i - 1]?.id ?? ""}>${id}` as PartKey,
    tokens,
  }));
}
