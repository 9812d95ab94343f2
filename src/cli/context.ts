import { err, ok, type Result } from "neverthrow";
import type { Millis, Timestamp } from "../core/time.ts";
import type { LogClient } from "../platform/log_client.ts";
import type { AdminClient } from "./admin_client.ts";
import type { PromptClient } from "./prompt_client.ts";
import { type CliError, cliError } from "./report.ts";

/** Everything outside the tool that a verb may use. */
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
  /** Shows how far a long task is, where someone is watching. */
  progress: (text: string) => void;
  /** Writes a part of a streamed answer. */
  write: (text: string) => void;
}>;

/** Returns the log client, or says how to name the log service. */
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

/** Returns the address of a daemon, or says how to name one. */
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
