import type { ConfigError } from "../config/config_error.ts";
import type { Exit } from "./exit_code.ts";

/** Result of a verb: data for `--json`, lines for text output. */
export type Report = Readonly<{
  exit: Exit;
  data: object;
  lines: readonly string[];
}>;

/** Why a verb failed. */
export type CliError = Readonly<{
  code: string;
  exit: Exclude<Exit, "ok">;
  detail: string;
  /** Errors of a configuration folder. */
  errors?: readonly ConfigError[];
}>;

/** Builds an error; `exit` is `failure` by default. */
export function cliError(
  code: string,
  detail: string,
  exit: CliError["exit"] = "failure",
): CliError {
  return { code, exit, detail };
}
