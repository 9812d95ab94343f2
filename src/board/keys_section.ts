/** Keys for the tokens that clients carry from one daemon to another; written by `KeyController`. */
export type KeysSection = {
  /** Signs new tokens; absent until a key has been read from the log. */
  signing: string | undefined;
  /** Keys that verify tokens, the signing key included. */
  accepted: readonly string[];
};

/** State before any key has been read. */
export function createKeysSection(): KeysSection {
  return { signing: undefined, accepted: [] };
}
