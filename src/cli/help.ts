import { defaultHelpFormatter, setDefaultHelpFormatter } from "cmd-ts";
import { EXIT_HELP } from "./exit_code.ts";

/** Adds the exit codes to every help text of `cmd-ts`. */
export function installHelp(): void {
  setDefaultHelpFormatter({
    formatCommand: (data, context) =>
      `${defaultHelpFormatter.formatCommand(data, context)}\n\n${EXIT_HELP}`,
    formatSubcommands: (data, context) =>
      `${
        defaultHelpFormatter.formatSubcommands(data, context)
      }\n\n${EXIT_HELP}`,
  });
}
