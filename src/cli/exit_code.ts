/** How the tool ends, as a process exit code. */
export const EXIT_CODES = {
  ok: 0,
  failure: 1,
  bad_input: 2,
  conflict: 3,
  unknown: 4,
  stragglers: 5,
} as const;
/** How the tool ends. */
export type Exit = keyof typeof EXIT_CODES;

const MEANINGS: Readonly<Record<Exit, string>> = {
  ok: "done as asked",
  failure: "failed, or a check did not hold; nothing was changed",
  bad_input: "bad input: arguments, folder or prompt; nothing was changed",
  conflict: "another change came first",
  unknown: "it may or may not have taken effect; safe to run again",
  stragglers: "done, but some daemons have not followed in time",
};

/** What the exit codes mean, a line each; part of every help. */
export const EXIT_HELP = [
  "EXIT CODES:",
  ...Object.entries(MEANINGS).map(([exit, meaning]) =>
    `  ${EXIT_CODES[exit as Exit]} - ${meaning}`
  ),
].join("\n");
