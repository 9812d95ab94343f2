import type { ConfigError } from "../config/config_error.ts";
import type { Exit } from "./exit_code.ts";

/** What a verb did: data for `--json`, lines of text for people. */
export type Report = Readonly<{
  exit: Exit;
  data: object;
  lines: readonly string[];
}>;

/** Why a verb could not do what it was asked. */
export type CliError = Readonly<{
  code: string;
  exit: Exclude<Exit, "ok">;
  detail: string;
  /** What is wrong with a folder. */
  errors?: readonly ConfigError[];
}>;

/** Builds an error; the exit is `failure` unless said otherwise. */
export function cliError(
  code: string,
  detail: string,
  exit: CliError["exit"] = "failure",
): CliError {
  return { code, exit, detail };
}
