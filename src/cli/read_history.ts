import { err, ok, type Result } from "neverthrow";
import type { ConfigState } from "../fold/config_fold.ts";
import type { LogClient } from "../platform/log_client.ts";
import { ConfigLog } from "./config_log.ts";
import { type CliContext, needLog } from "./context.ts";
import { type CliError, cliError } from "./report.ts";

/** The configuration stream, read to its end. */
export type History = Readonly<
  { log: LogClient; history: ConfigLog; state: ConfigState }
>;

/** Reads the configuration stream to its end. */
export async function readHistory(
  ctx: CliContext,
): Promise<Result<History, CliError>> {
  const log = needLog(ctx);
  if (log.isErr()) return err(log.error);
  const history = ConfigLog.create(log.value);
  ctx.progress("reading the configuration stream");
  const read = await history.catchUp();
  if (read.isErr()) return err(cliError("log_unreadable", read.error.detail));
  if (history.state === undefined) {
    return err(
      cliError(
        "state_unknown",
        `Records below ${history.startOffset} have expired and no checkpoint covers them yet; try again.`,
      ),
    );
  }
  return ok({ log: log.value, history, state: history.state });
}
