import { readdir, readFile, stat } from "node:fs/promises";
import { join } from "node:path";
import { err, ok, type Result } from "neverthrow";
import type { ConfigError, ConfigFile } from "./config_error.ts";

const MAX_FOLDER_FILES = 1_000;
const MAX_FILE_BYTES = 1_048_576;
const EXTENSION = ".ini";

/** Reads the INI files of a folder; ignores subfolders and other files. */
export async function readFolder(
  dir: string,
): Promise<Result<readonly ConfigFile[], readonly ConfigError[]>> {
  const listed = await listFolder(dir);
  if (listed.isErr()) return err([listed.error]);
  const files: ConfigFile[] = [];
  const errors: ConfigError[] = [];
  for (const name of listed.value) {
    const read = await readConfigFile(join(dir, name), name);
    if (read.isOk()) files.push(read.value);
    else errors.push(read.error);
  }
  return errors.length > 0 ? err(errors) : ok(files);
}

/** Reads one file; errors refer to it by `name`. */
export async function readConfigFile(
  path: string,
  name = path,
): Promise<Result<ConfigFile, ConfigError>> {
  try {
    const { size } = await stat(path);
    if (size > MAX_FILE_BYTES) {
      return err(
        unreadable(name, `${size} bytes`, `at most ${MAX_FILE_BYTES} bytes`),
      );
    }
    return ok({ name, text: await readFile(path, "utf8") });
  } catch (cause) {
    return err(
      unreadable(name, (cause as Error).message, "a readable file"),
    );
  }
}

async function listFolder(
  dir: string,
): Promise<Result<readonly string[], ConfigError>> {
  const allowed =
    `a folder of 1 to ${MAX_FOLDER_FILES} files named *${EXTENSION}`;
  try {
    const found = await readdir(dir, { withFileTypes: true });
    const names = found
      .filter((entry) => !entry.isDirectory() && entry.name.endsWith(EXTENSION))
      .map((entry) => entry.name).sort();
    if (names.length > 0 && names.length <= MAX_FOLDER_FILES) return ok(names);
    return err(unreadable(dir, `${names.length} .ini files`, allowed));
  } catch (cause) {
    return err(unreadable(dir, (cause as Error).message, allowed));
  }
}

function unreadable(
  file: string,
  found: string,
  allowed: string,
): ConfigError {
  return {
    code: "unreadable",
    file,
    line: 0,
    section: "",
    key: "",
    found,
    allowed,
  };
}
