import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** A valid folder: one model in one group, one team, one class. */
export const FOLDER = `[model.m]
versions = 1, 2
version = 1
[group.g]
models = m
checks_fencing = true
order_delay_ms = 2000
[team.t]
share = 3
[class.c]
urgency = 0
deadline_ms = 1000
max_deadline_ms = 2000
`;

/** Writes a folder of one file for a test and returns its path. */
export async function writeFolder(text: string): Promise<string> {
  const dir = await mkdtemp(join(tmpdir(), "parsleyfield-"));
  await writeFile(join(dir, "all.ini"), text);
  return dir;
}
