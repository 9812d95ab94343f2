import type { Result } from "neverthrow";
import type { CliContext } from "./context.ts";
import type { CliError, Report } from "./report.ts";

/** Arguments that set up a verb's context and output. */
export type SharedArgs = Readonly<{
  json: boolean;
  log?: string;
  entry?: string;
  /** PEM certificates of the authority that signs the daemons. */
  ca?: string;
  author?: string;
  /** The operators' bearer token. */
  operatorToken?: string;
}>;

/** Runs a verb in a context built from its arguments, writes its report and returns the exit code. */
export type RunVerb = (
  args: SharedArgs,
  verb: (ctx: CliContext) => Promise<Result<Report, CliError>>,
) => Promise<number>;
