import { z } from "zod";

/** Whether a request may have run at an upstream. */
export const VerdictSchema = z.enum(["not_run", "may_have_run", "ran"]);
/** Whether a request may have run at an upstream. */
export type Verdict = z.infer<typeof VerdictSchema>;

/** Combines the verdicts of two attempts of one request: the one nearer to `ran` applies. */
export function joinVerdicts(a: Verdict, b: Verdict): Verdict {
  if (a === "ran" || b === "ran") return "ran";
  if (a === "may_have_run" || b === "may_have_run") return "may_have_run";
  return "not_run";
}
