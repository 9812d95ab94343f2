import {
  command,
  flag,
  number,
  option,
  optional,
  positional,
  string,
} from "cmd-ts";
import { err, ok, type Result } from "neverthrow";
import { canonicalText } from "../../config/canonical.ts";
import type { ServingConfig } from "../../config/serving.ts";
import type { GroupId, Revision } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import { entryArg, jsonArg, logArg, secondsToMs, timeoutArg } from "../args.ts";
import { applyReport, changeLines } from "../apply_report.ts";
import { type CliContext, needEntry } from "../context.ts";
import { surveyFleet } from "../fleet.ts";
import { waitForRollout } from "../rollout.ts";
import { loadFolder, parsePublished } from "../load_folder.ts";
import {
  publish,
  type PublishResult,
  recordIdOf,
  toPublishResult,
} from "../publish.ts";
import { type History, readHistory } from "../read_history.ts";
import { findReplicaLosses, liveGroups } from "../replica_loss.ts";
import { type CliError, cliError, type Report } from "../report.ts";
import type { RunVerb } from "../run_verb.ts";

/** Options of `apply`. */
export type ApplyOptions = Readonly<{
  dir: string;
  /** Revision that the folder was compared with; the revision in force if absent. */
  base?: number;
  /** Change id of an earlier attempt whose outcome is unknown. */
  change?: string;
  force: boolean;
  /** Whether to wait until all daemons apply the revision. */
  wait: boolean;
  timeoutMs: Millis;
}>;

/** Publishes a folder; with `wait`, waits until it is in force on every daemon or `timeoutMs` has passed. */
export async function apply(
  ctx: CliContext,
  options: ApplyOptions,
): Promise<Result<Report, CliError>> {
  const entry = options.wait ? needEntry(ctx) : ok(ctx.entry);
  if (entry.isErr()) return err(entry.error);
  const folder = await loadFolder(options.dir);
  if (folder.isErr()) return err(folder.error);
  const read = await readHistory(ctx);
  if (read.isErr()) return err(read.error);
  const config = folder.value;
  const result = await publishOnce(ctx, options, { ...read.value, config });
  if (result.isErr()) return err(result.error);
  const changes = changeLines(read.value.state.text, config);
  if (result.value.outcome !== "accepted") {
    return ok(applyReport(result.value, { changes }));
  }
  if (!options.wait || entry.value === undefined) {
    return ok(applyReport(result.value, { changes }));
  }
  const inForce = await waitForRollout(ctx, entry.value, {
    revision: result.value.revision,
    waitMs: options.timeoutMs,
  });
  if (inForce.isErr()) return err(inForce.error);
  return ok(applyReport(result.value, { changes, inForce: inForce.value }));
}

/** Returns the outcome of an earlier attempt, or accepts an unchanged configuration, or publishes. */
async function publishOnce(
  ctx: CliContext,
  options: ApplyOptions,
  inputs: History & Readonly<{ config: ServingConfig }>,
): Promise<Result<PublishResult, CliError>> {
  const { state, history, config } = inputs;
  const text = canonicalText(config);
  const change = options.change ?? ctx.uuid();
  const id = recordIdOf(change);
  const earlier = history.decision(id);
  if (earlier !== undefined) return toPublishResult(earlier, { id, text });
  if (state.text === text) {
    return ok({ outcome: "accepted", change, revision: state.revision });
  }
  const lossError = await checkReplicaLosses(ctx, options, inputs);
  if (lossError !== undefined) return err(lossError);
  ctx.progress(`publishing change ${change}`);
  return publish(ctx, {
    type: "config_change",
    id,
    base: (options.base ?? state.revision) as Revision,
    change,
    author: ctx.author,
    at: ctx.now(),
    text,
  }, { log: inputs.log, history, timeoutMs: options.timeoutMs });
}

async function checkReplicaLosses(
  ctx: CliContext,
  options: ApplyOptions,
  inputs: History & Readonly<{ config: ServingConfig }>,
): Promise<CliError | undefined> {
  const inForce = parsePublished(inputs.state.text);
  if (options.force || inForce === undefined) return undefined;
  const losses = findReplicaLosses(
    inForce,
    inputs.config,
    await findLiveGroups(ctx),
  );
  if (losses.length === 0) return undefined;
  const details = losses.map(({ detail }) => detail).join("; ");
  return cliError(
    "last_replica",
    `A model in use would lose its last replica: ${details}. Use --force to publish anyway.`,
    "bad_input",
  );
}

async function findLiveGroups(
  ctx: CliContext,
): Promise<ReadonlySet<GroupId> | undefined> {
  if (ctx.entry === undefined) return undefined;
  const fleet = await surveyFleet(ctx.admin, ctx.entry);
  return fleet.isOk() ? liveGroups(fleet.value.daemons) : undefined;
}

/** `parsleyfield apply DIR`. */
export function applyCommand(run: RunVerb) {
  return command({
    name: "apply",
    description:
      "Publish a configuration folder, wait until it is in force on every daemon and name those that lag.",
    args: {
      dir: positional({
        type: string,
        displayName: "DIR",
        description: "folder of INI files",
      }),
      base: option({
        long: "base",
        type: optional(number),
        description:
          "revision that the folder was compared with; else the one in force",
      }),
      change: option({
        long: "change",
        type: optional(string),
        description: "change id of an earlier try whose end is unknown",
      }),
      author: option({
        long: "author",
        env: "PARSLEYFIELD_AUTHOR",
        type: optional(string),
        description: "who publishes; else the user's name",
      }),
      force: flag({
        long: "force",
        description: "publish although a model in use loses its last replica",
      }),
      noWait: flag({
        long: "no-wait",
        description: "end when the change is accepted; needs no --entry",
      }),
      ...timeoutArg,
      ...logArg,
      ...entryArg,
      ...jsonArg,
    },
    examples: [
      {
        description: "Publish what was reviewed against revision 41",
        command: "parsleyfield apply --base 41 config",
      },
      {
        description: "Run a try with an unknown end again",
        command:
          "parsleyfield apply --change 019b0c7e-0000-7000-8000-000000000000 config",
      },
    ],
    handler: (args) =>
      run(args, (ctx) =>
        apply(ctx, {
          ...args,
          wait: !args.noWait,
          timeoutMs: secondsToMs(args.timeout),
        })),
  });
}
