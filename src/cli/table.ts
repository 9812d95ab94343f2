const COLUMN_GAP = "  ";

/** Returns rows as lines with aligned columns; the first row is the header. */
export function tableLines(
  rows: readonly (readonly string[])[],
): readonly string[] {
  const columns = rows[0]?.length ?? 0;
  const widths = Array.from(
    { length: columns },
    (_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(COLUMN_GAP)
      .trimEnd()
  );
}
