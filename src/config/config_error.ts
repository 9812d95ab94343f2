/** Kind of a configuration error. */
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

/** An error in a configuration folder or settings file; `line` counts from 1, 0 if the error has no line. */
export type ConfigError = Readonly<{
  code: ConfigErrorCode;
  file: string;
  line: number;
  section: string;
  key: string;
  found: string;
  allowed: string;
}>;

/** Name and content of a configuration file. */
export type ConfigFile = Readonly<{ name: string; text: string }>;

/** Formats an error as one line of text for operators. */
export function formatConfigError(err: ConfigError): string {
  const position = err.line > 0 ? `${err.file}:${err.line}` : err.file;
  const header = err.section === "" ? "" : `[${err.section}]`;
  const setting = [header, err.key].filter((part) => part !== "").join(" ");
  const location = setting === "" ? position : `${position}: ${setting}`;
  return `${location}: ${err.code}: found ${err.found}; allowed: ${err.allowed}`;
}

/** Compares errors by file, line and key, for sorting. */
export function compareConfigErrors(a: ConfigError, b: ConfigError): number {
  if (a.file !== b.file) return a.file < b.file ? -1 : 1;
  if (a.line !== b.line) return a.line - b.line;
  return a.key < b.key ? -1 : a.key > b.key ? 1 : 0;
}
