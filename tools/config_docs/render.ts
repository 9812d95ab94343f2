import {
  describeSections,
  type SectionDoc,
  type SectionSpecs,
} from "../../src/config/sections.ts";

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
    `${section.meaning}${needed}`,
    "",
    renderTable([COLUMNS, ...rows]),
    "",
  ].join("\n");
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
