import { err, type Result } from "neverthrow";
import { checkFolder } from "../config/check_folder.ts";
import type { ConfigError } from "../config/config_error.ts";
import { readFolder } from "../config/folder_reader.ts";
import { type ServingConfig, ServingConfigSchema } from "../config/serving.ts";
import type { CliError } from "./report.ts";

/** Reads and checks a configuration folder. */
export async function loadFolder(
  dir: string,
): Promise<Result<ServingConfig, CliError>> {
  const files = await readFolder(dir);
  if (files.isErr()) return err(folderError(dir, files.error));
  return checkFolder(files.value).mapErr((errors) => folderError(dir, errors));
}

/** Reads a published configuration; undefined if there is none or it is malformed. */
export function parsePublished(text: string): ServingConfig | undefined {
  if (text === "") return undefined;
  try {
    const parsed = ServingConfigSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

function folderError(dir: string, errors: readonly ConfigError[]): CliError {
  const count = errors.length === 1 ? "1 error" : `${errors.length} errors`;
  return {
    code: "bad_folder",
    exit: "bad_input",
    detail: `${dir} has ${count}`,
    errors,
  };
}
