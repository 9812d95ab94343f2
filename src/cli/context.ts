import { err, ok, type Result } from "neverthrow";
import type { Millis, Timestamp } from "../core/time.ts";
import type { LogClient } from "../platform/log_client.ts";
import type { AdminClient } from "./admin_client.ts";
import type { PromptClient } from "./prompt_client.ts";
import { type CliError, cliError } from "./report.ts";

/** What a verb needs from its environment: clients, clock, ids and output. */
export type CliContext = Readonly<{
  log: LogClient | undefined;
  /** `host:port` of any daemon. */
  entry: string | undefined;
  admin: AdminClient;
  prompts: PromptClient;
  author: string;
  now: () => Timestamp;
  sleep: (ms: Millis) => Promise<void>;
  uuid: () => string;
  /** Shows the progress of a long task, if a terminal is attached. */
  progress: (text: string) => void;
  /** Writes text of a streamed response as it arrives. */
  write: (text: string) => void;
}>;

/** Returns the log client, or an error that says how to set it. */
export function needLog(ctx: CliContext): Result<LogClient, CliError> {
  if (ctx.log !== undefined) return ok(ctx.log);
  return err(
    cliError(
      "no_log",
      "Name the log service with --log URL or PARSLEYFIELD_LOG.",
      "bad_input",
    ),
  );
}

/** Returns the address of a daemon, or an error that says how to set it. */
export function needEntry(ctx: CliContext): Result<string, CliError> {
  if (ctx.entry !== undefined) return ok(ctx.entry);
  return err(
    cliError(
      "no_entry",
      "Name any daemon with --entry HOST:PORT or PARSLEYFIELD_ENTRY.",
      "bad_input",
    ),
  );
}
