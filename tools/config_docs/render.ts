import {
  describeSections,
  type SectionDoc,
  type SectionSpecs,
} from "../../src/config/sections.ts";

const LINE_WIDTH = 80;
const COLUMNS = ["key", "type", "allowed", "default", "meaning"];

/** Returns the Markdown that documents sections: a heading and a table for each. */
export function renderSections(specs: SectionSpecs): string {
  return describeSections(specs).map(renderSection).join("\n");
}

/** Replaces what stands in a page between the markers of a part. */
export function replacePart(
  page: string,
  part: string,
  options: { text: string },
): string {
  const begin = `<!-- ${part}: generated -->\n`;
  const end = `<!-- ${part}: end -->`;
  const from = page.indexOf(begin);
  const to = page.indexOf(end);
  if (from < 0 || to < from) return page;
  return `${page.slice(0, from)}${begin}\n${options.text}\n${page.slice(to)}`;
}

function renderSection(section: SectionDoc): string {
  const rows = section.keys.map((key) => [
    `\`${key.key}\``,
    key.type,
    key.allowed,
    key.default ?? (key.required ? "must be given" : "absent"),
    key.meaning,
  ]);
  const needed = section.required ? " Must be there." : "";
  return [
    `### \`${section.header}\``,
    "",
    wrap(`${section.meaning}${needed}`),
    "",
    renderTable([COLUMNS, ...rows]),
    "",
  ].join("\n");
}

/** Breaks lines where `deno fmt` breaks them. */
function wrap(text: string): string {
  const lines = [""];
  for (const word of text.split(" ")) {
    const line = lines[lines.length - 1] ?? "";
    const longer = line === "" ? word : `${line} ${word}`;
    if (longer.length <= LINE_WIDTH) lines[lines.length - 1] = longer;
    else lines.push(word);
  }
  return lines.join("\n");
}

function renderTable(rows: readonly (readonly string[])[]): string {
  const widths = COLUMNS.map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0))
  );
  const lines = rows.map((row) =>
    `| ${
      row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(" | ")
    } |`
  );
  const rule = `| ${widths.map((width) => "-".repeat(width)).join(" | ")} |`;
  return [lines[0], rule, ...lines.slice(1)].join("\n");
}
