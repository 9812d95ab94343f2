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

/** What the exit codes mean; part of every verb's help. */
export const EXIT_HELP =
  "Exit codes: 0 ok; 1 failure, nothing was done; 2 bad input; 3 conflict; " +
  "4 unknown, safe to run again; 5 done, but some daemons have not followed.";
