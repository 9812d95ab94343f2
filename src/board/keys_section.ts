/** Keys that sign what clients carry between daemons; written by `KeyController`. */
export type KeysSection = {
  /** Signs new tokens; absent until a key has been read from the log. */
  signing: string | undefined;
  /** Verify tokens, the signing key included. */
  accepted: readonly string[];
};

/** A daemon's view before it has read any key. */
export function createKeysSection(): KeysSection {
  return { signing: undefined, accepted: [] };
}
