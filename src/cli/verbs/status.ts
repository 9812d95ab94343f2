import { command } from "cmd-ts";
import { err, ok, type Result } from "neverthrow";
import type { Revision } from "../../core/id.ts";
import { SECOND_MS } from "../../core/time.ts";
import type { AdminStatus } from "../../wire/admin.ts";
import { entryArg, jsonArg } from "../args.ts";
import { type CliContext, needEntry } from "../context.ts";
import { type DaemonView, type Fleet, surveyFleet } from "../fleet.ts";
import { findStragglers, stragglerLine } from "../rollout.ts";
import { type CliError, cliError, type Report } from "../report.ts";
import type { RunVerb } from "../run_verb.ts";
import { tableLines } from "../table.ts";

const DAEMON_COLUMNS = [
  "VM",
  "DAEMON",
  "DOMAIN",
  "ADDRESS",
  "STATE",
  "REVISION",
  "RUNNING",
  "QUEUED",
  "NOTE",
];
const UPSTREAM_COLUMNS = [
  "UPSTREAM",
  "KIND",
  "OF",
  "DOMAIN",
  "STATE",
  "RUNNING",
  "WAITING",
  "LOADED",
];

/** Shows daemons, upstreams, revision in force, queues, quarantine and leases. */
export async function status(
  ctx: CliContext,
): Promise<Result<Report, CliError>> {
  const entry = needEntry(ctx);
  if (entry.isErr()) return err(entry.error);
  ctx.progress(`querying ${entry.value} and its peers`);
  const fleet = await surveyFleet(ctx.admin, entry.value);
  if (fleet.isErr()) {
    return err(cliError("entry_unreachable", fleet.error.detail));
  }
  return ok(statusReport(fleet.value));
}

function statusReport(fleet: Fleet): Report {
  const { daemons } = fleet;
  const revision = Math.max(
    ...daemons.map((daemon) => daemon.revision),
  ) as Revision;
  const stragglers = findStragglers(fleet, revision);
  const statuses = daemons.flatMap(({ status }) => status ?? []);
  const upstreams = mergeNewest(statuses, "upstreams", ({ id }) => id);
  const quarantine = mergeNewest(
    statuses,
    "quarantine",
    ({ digest }) => digest,
  );
  const leases = mergeNewest(statuses, "leases", ({ group }) => group);
  const lines = [
    `revision in force: ${revision}`,
    ...stragglers.map(stragglerLine),
    "",
    ...tableLines([DAEMON_COLUMNS, ...daemons.map(daemonRow)]),
    "",
    ...tableLines([UPSTREAM_COLUMNS, ...upstreams.map(upstreamRow)]),
    "",
    `quarantined: ${quarantine.length}`,
    ...quarantine.map(({ digest, since }) =>
      `  ${digest} since ${new Date(since).toISOString()}`
    ),
    `leases: ${leases.length}`,
    ...leases.map(({ group, holder, fencing }) =>
      `  ${group} held by ${holder}, fencing number ${fencing}`
    ),
  ];
  const data = { revision, stragglers, daemons, upstreams, quarantine, leases };
  return { exit: "ok", data, lines };
}

/** Merges one list of all statuses; of several items with one key, the item of the latest status is kept. */
function mergeNewest<Name extends "upstreams" | "quarantine" | "leases">(
  statuses: readonly AdminStatus[],
  list: Name,
  key: (item: AdminStatus[Name][number]) => string,
): readonly AdminStatus[Name][number][] {
  const byKey = new Map<string, AdminStatus[Name][number]>();
  for (const status of [...statuses].sort((a, b) => a.at - b.at)) {
    for (const item of status[list]) byKey.set(key(item), item);
  }
  return [...byKey.entries()].sort(([a], [b]) => a < b ? -1 : 1)
    .map(([, item]) => item);
}

function daemonRow(daemon: DaemonView): readonly string[] {
  return [
    daemon.vm,
    daemon.id,
    daemon.domain,
    daemon.address,
    daemon.state,
    String(daemon.revision),
    String(daemon.running),
    String(daemon.queued),
    daemonNote(daemon),
  ];
}

function daemonNote({ status, unreachable }: DaemonView): string {
  if (unreachable !== undefined) {
    const silentSeconds = Math.round(unreachable.silentMs / SECOND_MS);
    return `does not answer, last heard of ${silentSeconds} s ago`;
  }
  return status?.config_stale
    ? "admits no requests: configuration is stale"
    : "";
}

function upstreamRow(
  upstream: AdminStatus["upstreams"][number],
): readonly string[] {
  const loaded = upstream.loaded?.map(({ model, version }) =>
    `${model}@${version}`
  );
  return [
    upstream.id,
    upstream.kind,
    upstream.group ?? upstream.service ?? "-",
    upstream.domain,
    upstream.state,
    String(upstream.running ?? "-"),
    String(upstream.waiting ?? "-"),
    loaded === undefined || loaded.length === 0 ? "-" : loaded.join(" "),
  ];
}

/** `parsleyfield status`. */
export function statusCommand(run: RunVerb) {
  return command({
    name: "status",
    description:
      "Show daemons, upstreams, revision in force, queues, quarantine and leases. Daemons that none of the others has heard of are not seen.",
    args: { ...entryArg, ...jsonArg },
    examples: [{
      description: "Ask any daemon about all",
      command: "parsleyfield status --entry 10.0.0.11:8080",
    }],
    handler: (args) => run(args, status),
  });
}
