import {
  command,
  flag,
  number,
  option,
  optional,
  positional,
  string,
} from "cmd-ts";
import { readFile } from "node:fs/promises";
import { err, ok, type Result } from "neverthrow";
import { findFaults } from "../../gateway/serving/check/checks.ts";
import {
  diffServing,
  type ServingChange,
} from "../../gateway/serving/check/serving_diff.ts";
import type { ServingConfig } from "../../gateway/serving/serving_config.ts";
import { parseServing } from "../../gateway/serving/serving_json.ts";
import { jsonArg } from "../args.ts";
import { type CliError, cliError, type Report } from "../report.ts";
import type { RunVerb } from "../run_verb.ts";

const MEGABYTE = 1 << 20;

/** A configuration, and the entries that can't be read and are left out of it. */
export type ReadConfig = Readonly<
  { serving: ServingConfig; leftOut: readonly string[] }
>;

/** Decodes a configuration; the error says why it can't be read at all. */
export type DecodeConfig = (json: unknown) => Result<ReadConfig, string>;

/** Files and limits of one check. */
export type CheckServingArgs = Readonly<{
  file: string;
  /** File of the version in force. */
  against?: string | undefined;
  memoryMb?: number | undefined;
  strict: boolean;
}>;

/** Checks a configuration of the gateway before it is sent, and names what differs from the version in force. */
export async function checkServing(
  args: CheckServingArgs,
  decode: DecodeConfig,
): Promise<Result<Report, CliError>> {
  const { file, against, memoryMb, strict } = args;
  const decoded = await readConfig(file, decode);
  if (decoded.isErr()) return err(decoded.error);
  const { serving, leftOut } = decoded.value;
  let current: ServingConfig | undefined;
  if (against !== undefined) {
    const read = await readConfig(against, decode);
    if (read.isErr()) return err(read.error);
    current = read.value.serving;
  }
  const memoryBytes = memoryMb === undefined ? undefined : memoryMb * MEGABYTE;
  const findings = findFaults({ serving, leftOut, current, memoryBytes });
  const changes = current === undefined ? [] : diffServing(current, serving);
  const errors = findings.filter(({ severity }) => severity === "error").length;
  const warnings = findings.length - errors;
  return ok({
    exit: errors > 0 ? "bad_input" : strict && warnings > 0 ? "failure" : "ok",
    data: { version: serving.version, errors, warnings, findings, changes },
    lines: [
      ...findings.map(({ severity, code, entry, sentence, detail }) =>
        `${severity}: ${entry}: ${code}: ${sentence} (${detail})`
      ),
      ...changes.map(formatChange),
      `${file}: version ${serving.version}, ${errors} errors, ${warnings} warnings`,
    ],
  });
}

async function readConfig(
  file: string,
  decode: DecodeConfig,
): Promise<Result<ReadConfig, CliError>> {
  try {
    const json: unknown = JSON.parse(await readFile(file, "utf8"));
    return decode(json).mapErr((detail) =>
      cliError("malformed", `${file}: ${detail}`, "bad_input")
    );
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    return err(cliError("unreadable", `${file}: ${detail}`, "bad_input"));
  }
}

function formatChange({ entry, change, fields }: ServingChange): string {
  const parts = Object.entries(fields).map(([name, [from, to]]) =>
    `${name} ${format(from)} -> ${format(to)}`
  );
  return [`${change}: ${entry}`, ...parts].join("; ");
}

function format(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value) ?? "absent";
}

/** `parsleyfield check-serving FILE`, for configurations that `decode` reads. */
export function checkServingCommand(run: RunVerb, decode: DecodeConfig) {
  return command({
    name: "check-serving",
    description:
      "Check a configuration of the gateway before it is sent: errors, entries that never match, limits that contradict each other, and what differs from the version in force.",
    args: {
      file: positional({
        type: string,
        displayName: "FILE",
        description: "configuration as JSON",
      }),
      against: option({
        long: "against",
        type: optional(string),
        description: "file of the version in force",
      }),
      memoryMb: option({
        long: "memory-mb",
        type: optional(number),
        description: "memory of the smallest daemon",
      }),
      strict: flag({
        long: "strict",
        description: "fail if there are warnings",
      }),
      ...jsonArg,
    },
    examples: [
      {
        description: "Compare with the version in force",
        command: "parsleyfield check-serving --against now.json next.json",
      },
    ],
    handler: (args) => run(args, () => checkServing(args, decode)),
  });
}

/** Reads the product's own form, whose entries are all read or none. */
export const decodeOwnForm: DecodeConfig = (json) =>
  parseServing(json).map((serving) => ({ serving, leftOut: [] }));
