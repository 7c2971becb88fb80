/** Encodes a text as a string literal, whose quotes and backslashes end nothing. @internal */
export function encodeLiteral(text: string): string {
  return `'${text.replaceAll('\\', String.raw`\\`).replaceAll("'", "''")}'`;
}
