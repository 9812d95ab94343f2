import { err, ok, type Result } from "neverthrow";
import type { RecordId, Revision } from "../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import type { ConfigChange, ConfigDecision } from "../fold/config_fold.ts";
import { CONFIG_STREAM } from "../fold/streams.ts";
import type { LogClient } from "../platform/log_client.ts";
import type { ConfigLog } from "./config_log.ts";
import type { CliContext } from "./context.ts";
import { type CliError, cliError } from "./report.ts";

const RETRY_INTERVAL_MS: Millis = 500;

/** Outcome of publishing a change. */
export type PublishResult =
  | Readonly<{ outcome: "accepted"; change: string; revision: Revision }>
  | Readonly<{
    outcome: "conflict";
    change: string;
    base: Revision;
    /** The revision that was in force when the change was folded. */
    winner: Readonly<{ revision: Revision; author: string; at: Timestamp }>;
  }>
  /** The change may take effect now or later; publishing it again is safe. */
  | Readonly<{ outcome: "unknown"; change: string; detail: string }>;

/** Where a change is published, and how long to wait for the decision. */
export type PublishOptions = Readonly<
  { log: LogClient; history: ConfigLog; timeoutMs: Millis }
>;

/**
 * Appends a change until it has been read back or the time-out expires. The same record may be appended any number of
 * times: the fold takes the first copy only.
 */
export async function publish(
  ctx: CliContext,
  change: ConfigChange,
  options: PublishOptions,
): Promise<Result<PublishResult, CliError>> {
  const { log, history, timeoutMs } = options;
  const deadline = addMs(ctx.now(), timeoutMs);
  let maybeAdded = false;
  let appended = false;
  let detail = "no answer";
  for (;;) {
    if (!appended) {
      const append = await log.append(CONFIG_STREAM, [JSON.stringify(change)]);
      appended = append.isOk();
      if (append.isErr()) detail = append.error.detail;
      if (append.isOk() || append.error.code === "unknown") maybeAdded = true;
    }
    if (maybeAdded) {
      const read = await history.catchUp();
      if (read.isErr()) detail = read.error.detail;
      const decision = history.decision(change.id);
      if (decision !== undefined) return toPublishResult(decision, change);
    }
    if (ctx.now() >= deadline) break;
    ctx.progress(`publishing change ${change.id}: ${detail}`);
    await ctx.sleep(RETRY_INTERVAL_MS);
  }
  if (maybeAdded) {
    return ok({ outcome: "unknown", change: change.change, detail });
  }
  return err(
    cliError("not_published", `The log service accepted no append: ${detail}`),
  );
}

/** Returns the decision on a change that has been read, as the result of publishing it. */
export function toPublishResult(
  decision: ConfigDecision,
  requested: Pick<ConfigChange, "id" | "text">,
): Result<PublishResult, CliError> {
  const { change, offset, accepted, state } = decision;
  if (change.text !== requested.text) {
    return err(
      cliError(
        "change_reused",
        `Change ${requested.id} was published with another configuration; leave --change out for a new one.`,
        "bad_input",
      ),
    );
  }
  if (accepted) {
    const revision = offset as number as Revision;
    return ok({ outcome: "accepted", change: change.change, revision });
  }
  const { revision, author, at } = state;
  return ok({
    outcome: "conflict",
    change: change.change,
    base: change.base,
    winner: { revision, author, at },
  });
}

/** The record id is the change id, so that a retry appends a duplicate of the first record. */
export function recordIdOf(change: string): RecordId {
  return change as RecordId;
}
