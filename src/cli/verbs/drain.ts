import { command, number, option, positional, string } from "cmd-ts";
import { err, ok, type Result } from "neverthrow";
import { addMs, type Millis } from "../../core/time.ts";
import { entryArg, jsonArg, secondsToMs } from "../args.ts";
import { type CliContext, needEntry } from "../context.ts";
import { type DaemonView, surveyFleet } from "../fleet.ts";
import { type CliError, cliError, type Report } from "../report.ts";
import type { RunVerb } from "../run_verb.ts";

const POLL_INTERVAL_MS: Millis = 500;

/** Starts the shutdown of the daemon on a VM and waits up to `waitMs` for it to end. */
export async function drain(
  ctx: CliContext,
  options: Readonly<{ vm: string; waitMs: Millis }>,
): Promise<Result<Report, CliError>> {
  const daemon = await findDaemon(ctx, options.vm);
  if (daemon.isErr()) return err(daemon.error);
  const { address, vm, id } = daemon.value;
  const drained = await ctx.admin.drain(address);
  if (drained.isErr()) {
    const { code, detail } = drained.error;
    return err(
      cliError(
        "drain_unknown",
        `${detail}; it is safe to run this again.`,
        code === "refused" ? "failure" : "unknown",
      ),
    );
  }
  const ended = await waitForEnd(ctx, daemon.value, options.waitMs);
  const state = ended ? "ended" : drained.value.state;
  const timedOut = options.waitMs > 0 && !ended;
  return ok({
    exit: timedOut ? "stragglers" : "ok",
    data: { vm, id, state },
    lines: [
      timedOut ? `${vm} (${id}) has not ended yet` : `${vm} (${id}): ${state}`,
    ],
  });
}

async function findDaemon(
  ctx: CliContext,
  vmOrId: string,
): Promise<Result<DaemonView, CliError>> {
  const entry = needEntry(ctx);
  if (entry.isErr()) return err(entry.error);
  const fleet = await surveyFleet(ctx.admin, entry.value);
  if (fleet.isErr()) {
    return err(cliError("entry_unreachable", fleet.error.detail));
  }
  const { daemons } = fleet.value;
  const found = daemons.filter(({ vm, id }) => vm === vmOrId || id === vmOrId);
  const [daemon, ...others] = found;
  if (daemon !== undefined && others.length === 0) return ok(daemon);
  const known = daemons.map(({ vm, id }) => `${vm} (${id})`).join(", ");
  const detail = daemon === undefined
    ? `No daemon runs on ${vmOrId}; known: ${known}.`
    : `More than one daemon matches ${vmOrId}; specify one by its id: ${known}.`;
  return err(cliError("no_such_daemon", detail, "bad_input"));
}

async function waitForEnd(
  ctx: CliContext,
  daemon: DaemonView,
  waitMs: Millis,
): Promise<boolean> {
  const deadlineAt = addMs(ctx.now(), waitMs);
  while (ctx.now() < deadlineAt) {
    const status = await ctx.admin.status(daemon.address);
    if (status.isErr() && status.error.code === "unreachable") return true;
    if (status.isOk()) {
      const { id, state, running } = status.value;
      if (id !== daemon.id || state === "finished") return true;
      ctx.progress(`${daemon.vm}: ${state}, ${running} requests running`);
    }
    await ctx.sleep(POLL_INTERVAL_MS);
  }
  return false;
}

/** `parsleyfield drain VM`. */
export function drainCommand(run: RunVerb) {
  return command({
    name: "drain",
    description:
      "Shut the daemon on a VM down gracefully: it leaves the entry answers, finishes what is in flight and ends.",
    args: {
      vm: positional({
        type: string,
        displayName: "VM",
        description: "name of the VM, or id of the daemon",
      }),
      wait: option({
        long: "wait",
        type: number,
        defaultValue: () => 0,
        defaultValueIsSerializable: true,
        description: "seconds to wait for the daemon's end",
      }),
      ...entryArg,
      ...jsonArg,
    },
    examples: [{
      description: "Drain a VM and wait up to ten minutes",
      command: "parsleyfield drain --wait 600 entry-a-1",
    }],
    handler: (args) =>
      run(
        args,
        (ctx) => drain(ctx, { vm: args.vm, waitMs: secondsToMs(args.wait) }),
      ),
  });
}
