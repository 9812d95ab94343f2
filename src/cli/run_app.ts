import process from "node:process";
import { runSafely } from "cmd-ts";
import { createContext } from "./environment.ts";
import { EXIT_CODES } from "./exit_code.ts";
import { Output } from "./output.ts";
import type { RunVerb } from "./run_verb.ts";

/** A command line that cmd-ts runs. */
export type App = Parameters<typeof runSafely>[0];

/** Runs a command line with the process's arguments, and ends the process with the verb's exit code. */
export async function runApp(createApp: (run: RunVerb) => App): Promise<void> {
  const output = Output.create(process.stdout, process.stderr);
  let exitCode = Promise.resolve<number>(EXIT_CODES.ok);
  const run: RunVerb = async (args, verb) => {
    const result = await verb(createContext(output, args));
    return result.match(
      (report) => output.report(report, args.json),
      (err) => output.error(err, args.json),
    );
  };
  const app = createApp((args, verb) => exitCode = run(args, verb));
  const result = await runSafely(app, process.argv.slice(2));
  if (result._tag === "ok") return exit(await exitCode);
  const { exitCode: code, into, message } = result.error.config;
  process[into].write(`${message}\n`);
  exit(code === 0 ? EXIT_CODES.ok : EXIT_CODES.bad_input);
}

/** Ends the process after its output is flushed; idle connections would keep it running. */
function exit(code: number): void {
  process.stdout.write("", () => {
    process.stderr.write("", () => process.exit(code));
  });
}
