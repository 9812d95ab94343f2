/** What is wrong with a setting. */
export type ConfigErrorCode =
  | "unreadable"
  | "malformed_line"
  | "unknown_section"
  | "unknown_key"
  | "missing_section"
  | "missing_key"
  | "duplicate_key"
  | "wrong_type"
  | "out_of_range"
  | "dangling_reference";

/** One fault of a folder or settings file; `line` counts from 1 and is 0 where no line is at fault. */
export type ConfigError = Readonly<{
  code: ConfigErrorCode;
  file: string;
  line: number;
  section: string;
  key: string;
  found: string;
  allowed: string;
}>;

/** A file as it was read. */
export type ConfigFile = Readonly<{ name: string; text: string }>;

/** Returns one line of text for an operator. */
export function formatConfigError(err: ConfigError): string {
  const position = err.line > 0 ? `${err.file}:${err.line}` : err.file;
  const header = err.section === "" ? "" : `[${err.section}]`;
  const setting = [header, err.key].filter((part) => part !== "").join(" ");
  const location = setting === "" ? position : `${position}: ${setting}`;
  return `${location}: ${err.code}: found ${err.found}; allowed: ${err.allowed}`;
}

/** Orders errors by file, line and key. */
export function compareConfigErrors(a: ConfigError, b: ConfigError): number {
  if (a.file !== b.file) return a.file < b.file ? -1 : 1;
  if (a.line !== b.line) return a.line - b.line;
  return a.key < b.key ? -1 : a.key > b.key ? 1 : 0;
}
