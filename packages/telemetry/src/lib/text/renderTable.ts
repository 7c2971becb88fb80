/** Renders rows as left-aligned columns; the first row contains the headings. @public */
export function renderTable(rows: readonly (readonly string[])[]): string {
  const columns = rows[0]?.length ?? 0;
  const widths = Array.from({ length: columns }, (_, column) =>
    Math.max(...rows.map((cells) => cells[column]?.length ?? 0)),
  );
  const lines = rows.map((cells) =>
    cells
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}
