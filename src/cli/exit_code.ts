/** Process exit codes by outcome. */
export const EXIT_CODES = {
  ok: 0,
  failure: 1,
  bad_input: 2,
  conflict: 3,
  unknown: 4,
  stragglers: 5,
} as const;
/** Outcome of a verb. */
export type Exit = keyof typeof EXIT_CODES;

const MEANINGS: Readonly<Record<Exit, string>> = {
  ok: "done as asked",
  failure: "failed, or a check did not hold; nothing was changed",
  bad_input: "bad input: arguments, folder or prompt; nothing was changed",
  conflict: "another change came first",
  unknown: "it may or may not have taken effect; safe to run again",
  stragglers: "done, but some daemons have not followed in time",
};

/** Meanings of the exit codes, one per line; appended to every help text. */
export const EXIT_HELP = [
  "EXIT CODES:",
  ...Object.entries(MEANINGS).map(([exit, meaning]) =>
    `  ${EXIT_CODES[exit as Exit]} - ${meaning}`
  ),
].join("\n");
