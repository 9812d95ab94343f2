import {
  command,
  positional,
  restPositionals,
  string,
  subcommands,
} from "cmd-ts";
import { err, ok, type Result } from "neverthrow";
import { RECORDS_STREAM } from "../../fold/streams.ts";
import { ArchiveWriter, readArchive } from "../archive.ts";
import { jsonArg, logArg } from "../args.ts";
import { type CliContext, needLog } from "../context.ts";
import { type RecordFinding, RecordTally } from "../record_tally.ts";
import { type CliError, cliError, type Report } from "../report.ts";
import type { RunVerb } from "../run_verb.ts";
import { StreamReader } from "../stream_reader.ts";

/** Types of archive lines that state findings of the export; verification recomputes these. */
const FINDING_TYPES = new Set(["gap", "lost", "broken", "unreadable", "end"]);

/** Writes the audit record that the log still holds to a new file: one JSON line per batch, fault and end of a daemon run. */
export async function exportRecord(
  ctx: CliContext,
  path: string,
): Promise<Result<Report, CliError>> {
  const log = needLog(ctx);
  if (log.isErr()) return err(log.error);
  const archive = ArchiveWriter.create(path);
  if (archive.isErr()) return err(archive.error);
  const tally = RecordTally.create();
  const read = await readLog(ctx, tally, {
    onFinding: (finding) => {
      const line = finding.type === "batch" ? finding.batch : finding;
      archive.value.write(line);
    },
  });
  if (read.isErr()) archive.value.discard();
  else archive.value.close();
  return read.map(() => ({
    exit: isCorrupt(tally) ? "failure" : "ok",
    data: { file: path, ...tally.counts, faults: tally.faults },
    lines: [`written to ${path}`, ...tally.lines()],
  }));
}

/** Verifies the hash chains of exported files, oldest first, or of the log if `paths` is empty. */
export async function verifyRecord(
  ctx: CliContext,
  paths: readonly string[],
): Promise<Result<Report, CliError>> {
  const tally = RecordTally.create();
  if (paths.length === 0) {
    const read = await readLog(ctx, tally, { onFinding: () => {} });
    return read.map(() => verifyReport(tally, hasGapInLog(tally)));
  }
  for (const path of paths) {
    ctx.progress(`checking ${path}`);
    const read = await readArchive(path, (value) => {
      if (!isFindingLine(value)) tally.addRecord(value);
    });
    if (read.isErr()) return err(read.error);
  }
  tally.finish();
  return ok(verifyReport(tally, tally.counts.gaps > 0));
}

async function readLog(
  ctx: CliContext,
  tally: RecordTally,
  options: { onFinding: (finding: RecordFinding) => void },
): Promise<Result<void, CliError>> {
  const log = needLog(ctx);
  if (log.isErr()) return err(log.error);
  const reader = StreamReader.create(log.value, RECORDS_STREAM);
  const read = await reader.catchUp({
    entry: (entry) => {
      tally.addRecord(entry.value).forEach(options.onFinding);
      ctx.progress(`${tally.counts.requests} requests`);
    },
    gap: () => {},
  });
  if (read.isErr()) return err(cliError("log_unreadable", read.error.detail));
  tally.finish().forEach(options.onFinding);
  return ok(undefined);
}

/** Ignores gaps at the start of a chain: the log keeps records for a limited time, so these batches may have expired. */
function hasGapInLog(tally: RecordTally): boolean {
  return tally.faults.some((fault) => fault.type === "gap" && fault.from > 0);
}

function isCorrupt({ counts }: RecordTally): boolean {
  return counts.broken + counts.unreadable > 0;
}

function isFindingLine(value: unknown): boolean {
  const type = (value as { type?: unknown } | null)?.type;
  return typeof type === "string" && FINDING_TYPES.has(type);
}

function verifyReport(tally: RecordTally, hasGaps: boolean): Report {
  const intact = !hasGaps && !isCorrupt(tally) && tally.counts.lost === 0;
  return {
    exit: intact ? "ok" : "failure",
    data: { whole: intact, ...tally.counts, faults: tally.faults },
    lines: [intact ? "intact" : "not intact", ...tally.lines()],
  };
}

/** `parsleyfield record export` and `parsleyfield record verify`. */
export function recordCommand(run: RunVerb) {
  return subcommands({
    name: "record",
    description: "Export and verify the record of finished requests.",
    cmds: { export: exportCommand(run), verify: verifyCommand(run) },
  });
}

function exportCommand(run: RunVerb) {
  return command({
    name: "export",
    description:
      "Verify the record that the log still has and write it to a new file of JSON lines; a gap is shown as a gap.",
    args: {
      file: positional({
        type: string,
        displayName: "FILE",
        description: "new file; an existing one is not written over",
      }),
      ...logArg,
      ...jsonArg,
    },
    examples: [{
      description: "Add today's record to the archive",
      command: "parsleyfield record export archive/2026-12-04.jsonl",
    }],
    handler: (args) => run(args, (ctx) => exportRecord(ctx, args.file)),
  });
}

function verifyCommand(run: RunVerb) {
  return command({
    name: "verify",
    description:
      "Check the hash chains of exported files, oldest first, or of the log where none is named.",
    args: {
      files: restPositionals({
        type: string,
        displayName: "FILE",
        description: "exported files",
      }),
      ...logArg,
      ...jsonArg,
    },
    examples: [
      {
        description: "Check a year's archive",
        command: "parsleyfield record verify archive/2026-*.jsonl",
      },
      { description: "Check the log", command: "parsleyfield record verify" },
    ],
    handler: (args) => run(args, (ctx) => verifyRecord(ctx, args.files)),
  });
}
