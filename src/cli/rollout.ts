import { err, ok, type Result } from "neverthrow";
import type { Revision } from "../core/id.ts";
import { addMs, type Millis, SECOND_MS } from "../core/time.ts";
import { PEER_TIMEOUT_MS } from "../controllers/membership_controller.ts";
import type { CliContext } from "./context.ts";
import { type DaemonView, type Fleet, surveyFleet } from "./fleet.ts";
import { type CliError, cliError } from "./report.ts";

const POLL_INTERVAL_MS: Millis = 500;

/** A daemon that does not serve a revision yet. */
export type Straggler = Readonly<{
  /** The VM's name, or the peer address of a daemon from which no message was received. */
  vm: string;
  id?: string;
  reason: string;
}>;

/** The daemons of the fleet, and those that do not serve a revision yet. */
export type RolloutStatus = Readonly<
  { daemons: number; stragglers: readonly Straggler[] }
>;

/** Polls all daemons until each serves a revision or a later one, or `waitMs` is over. */
export async function waitForRollout(
  ctx: CliContext,
  entry: string,
  options: { revision: Revision; waitMs: Millis },
): Promise<Result<RolloutStatus, CliError>> {
  const { revision, waitMs } = options;
  const deadline = addMs(ctx.now(), waitMs);
  for (;;) {
    const fleet = await surveyFleet(ctx.admin, entry);
    const timeUp = ctx.now() >= deadline;
    if (fleet.isErr()) {
      if (timeUp) {
        return err(
          cliError("entry_unreachable", fleet.error.detail, "stragglers"),
        );
      }
    } else {
      const stragglers = findStragglers(fleet.value, revision);
      const daemons = fleet.value.daemons.length +
        fleet.value.unseenAddresses.length;
      if (stragglers.length === 0 || timeUp) return ok({ daemons, stragglers });
      ctx.progress(
        `revision ${revision} in force on ${
          daemons - stragglers.length
        } of ${daemons} daemons`,
      );
    }
    await ctx.sleep(POLL_INTERVAL_MS);
  }
}

/** Returns the daemons that do not serve a revision yet, with the reason. */
export function findStragglers(
  { daemons, unseenAddresses }: Fleet,
  revision: Revision,
): readonly Straggler[] {
  const behind = daemons
    .filter((daemon) => daemon.revision < revision && !hasLeft(daemon))
    .map(({ vm, id, revision, unreachable }) => {
      const current = `has revision ${revision}`;
      if (unreachable === undefined) return { vm, id, reason: current };
      const silent = Math.round(unreachable.silentMs / SECOND_MS);
      const reason =
        `does not answer, last heard of ${silent} s ago; ${current}`;
      return { vm, id, reason };
    });
  const reason = "is on the VM list, but nobody has heard from it";
  return [...behind, ...unseenAddresses.map((vm) => ({ vm, reason }))];
}

/** Whether a daemon announced its shutdown and then stopped sending messages; it admits no requests. */
function hasLeft({ state, unreachable }: DaemonView): boolean {
  if (state === "serving" || unreachable === undefined) return false;
  return unreachable.silentMs > PEER_TIMEOUT_MS;
}

/** Returns a straggler as one line of text. */
export function stragglerLine({ vm, id, reason }: Straggler): string {
  const name = id === undefined ? vm : `${vm} (${id})`;
  return `straggler ${name}: ${reason}`;
}
