/** Processes stored for each content; more make no difference to any decision. */
const MAX_PROCESSES = 8;

/** The set of no processes. */
export const NO_PROCESSES: ReadonlySet<string> = new Set();

/** For each set, the process that was last added to it, and the result. */
const extensions = new WeakMap<
  ReadonlySet<string>,
  Readonly<{ process: string; extended: ReadonlySet<string> }>
>();

/**
 * The set with one more process, up to a limit. Sets of processes don't change, so that all parts of a prompt that
 * crashed an upstream share one.
 */
export function withProcess(
  processes: ReadonlySet<string>,
  process: string,
): ReadonlySet<string> {
  if (processes.size >= MAX_PROCESSES || processes.has(process)) {
    return processes;
  }
  const known = extensions.get(processes);
  if (known?.process === process) return known.extended;
  const extended = new Set([...processes, process]);
  extensions.set(processes, { process, extended });
  return extended;
}

const names = new WeakMap<ReadonlySet<string>, string>();

/** A text that is the same for sets of the same processes. */
export function crashSetName(processes: ReadonlySet<string>): string {
  const known = names.get(processes);
  if (known !== undefined) return known;
  const name = [...processes].sort().join(" ");
  names.set(processes, name);
  return name;
}
