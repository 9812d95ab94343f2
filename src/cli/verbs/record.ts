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

/** Lines of an archive that say what was found then; a check finds it anew. */
const FOUND_TYPES = new Set(["gap", "lost", "broken", "unreadable", "end"]);

/** Writes the record that the log still has to a new file: a line for each batch, fault and end. */
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
    found: (finding) => {
      const line = finding.type === "batch" ? finding.batch : finding;
      archive.value.write(line);
    },
  });
  if (read.isErr()) archive.value.discard();
  else archive.value.close();
  return read.map(() => ({
    exit: isChanged(tally) ? "failure" : "ok",
    data: { file: path, ...tally.counts, faults: tally.faults },
    lines: [`written to ${path}`, ...tally.lines()],
  }));
}

/** Checks the chains of exported files, or of the log where none is named. */
export async function verifyRecord(
  ctx: CliContext,
  paths: readonly string[],
): Promise<Result<Report, CliError>> {
  const tally = RecordTally.create();
  if (paths.length === 0) {
    const read = await readLog(ctx, tally, { found: () => {} });
    return read.map(() => verifyReport(tally, isMissingInLog(tally)));
  }
  for (const path of paths) {
    ctx.progress(`checking ${path}`);
    const read = await readArchive(path, (value) => {
      if (!isFoundLine(value)) tally.addRecord(value);
    });
    if (read.isErr()) return err(read.error);
  }
  tally.finish();
  return ok(verifyReport(tally, tally.counts.gaps > 0));
}

async function readLog(
  ctx: CliContext,
  tally: RecordTally,
  options: { found: (finding: RecordFinding) => void },
): Promise<Result<void, CliError>> {
  const log = needLog(ctx);
  if (log.isErr()) return err(log.error);
  const reader = StreamReader.create(log.value, RECORDS_STREAM);
  const read = await reader.catchUp({
    entry: (entry) => {
      tally.addRecord(entry.value).forEach(options.found);
      ctx.progress(`${tally.counts.requests} requests`);
    },
    gap: () => {},
  });
  if (read.isErr()) return err(cliError("log_unreadable", read.error.detail));
  tally.finish().forEach(options.found);
  return ok(undefined);
}

/** The log keeps records for a limited time, so the begin of a chain may have expired. */
function isMissingInLog(tally: RecordTally): boolean {
  return tally.faults.some((fault) => fault.type === "gap" && fault.from > 0);
}

function isChanged({ counts }: RecordTally): boolean {
  return counts.broken + counts.unreadable > 0;
}

function isFoundLine(value: unknown): boolean {
  const type = (value as { type?: unknown } | null)?.type;
  return typeof type === "string" && FOUND_TYPES.has(type);
}

function verifyReport(tally: RecordTally, missing: boolean): Report {
  const whole = !missing && !isChanged(tally) && tally.counts.lost === 0;
  return {
    exit: whole ? "ok" : "failure",
    data: { whole, ...tally.counts, faults: tally.faults },
    lines: [whole ? "whole" : "not whole", ...tally.lines()],
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
