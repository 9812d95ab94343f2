import { parse, unsafe } from "ini";
import type { ConfigError, ConfigFile } from "./config_error.ts";

const SECTION_LINE = /^\s*\[([^\]]*)\]\s*([;#].*)?$/;
const BLANK_OR_COMMENT_LINE = /^\s*([;#].*)?$/;
const MAX_QUOTED_LENGTH = 80;

/** File and line (from 1) of a section header or key. */
export type Position = Readonly<{ file: string; line: number }>;

/** A section header, or one key of a section. */
export type IniEntry =
  | Readonly<{ type: "section"; section: string; at: Position }>
  | Readonly<
    { type: "key"; section: string; key: string; value: string; at: Position }
  >;

/** Entries of a file in order, and errors for its malformed lines. */
export type IniFile = Readonly<
  { entries: readonly IniEntry[]; errors: readonly ConfigError[] }
>;

/** Parses an INI file line by line to record the line of each entry; the `ini` package parses the values. */
export function parseIniFile(file: ConfigFile): IniFile {
  const entries: IniEntry[] = [];
  const errors: ConfigError[] = [];
  let section = "";
  for (const [index, text] of file.text.split(/\r\n|\n|\r/).entries()) {
    if (BLANK_OR_COMMENT_LINE.test(text)) continue;
    const at: Position = { file: file.name, line: index + 1 };
    const header = SECTION_LINE.exec(text);
    if (header !== null) {
      section = unsafe(header[1] ?? "");
      entries.push({ type: "section", section, at });
      continue;
    }
    const entry = parseKeyLine(text);
    if (entry === undefined) errors.push(malformedLine(text, section, at));
    else entries.push({ type: "key", section, ...entry, at });
  }
  return { entries, errors };
}

/** Quotes a text for an error message, truncated to `MAX_QUOTED_LENGTH` characters. */
export function quoteTruncated(text: string): string {
  const short = text.length > MAX_QUOTED_LENGTH
    ? `${text.slice(0, MAX_QUOTED_LENGTH)}...`
    : text;
  return JSON.stringify(short);
}

function parseKeyLine(
  text: string,
): Readonly<{ key: string; value: string }> | undefined {
  const separator = text.indexOf("=");
  const trimmed = text.trim();
  if (separator < 0 || trimmed.startsWith("=") || trimmed.startsWith("[")) {
    return undefined;
  }
  const [key, value] =
    Object.entries(parse(text, { bracketedArray: false }))[0] ??
      [];
  if (key === undefined) return undefined;
  return { key, value: String(value) };
}

function malformedLine(
  text: string,
  section: string,
  at: Position,
): ConfigError {
  return {
    code: "malformed_line",
    ...at,
    section,
    key: "",
    found: quoteTruncated(text.trim()),
    allowed: "[section], key = value, or a comment after ; or #",
  };
}
