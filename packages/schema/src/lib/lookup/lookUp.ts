/**
 * Returns the value of a name from outside in a table. An index would also find what every object inherits,
 * such as `constructor`.
 *
 * @public
 */
export function lookUp<Value>(
  table: Readonly<Record<string, Value>>,
  name: string,
): Value | undefined {
  return Object.hasOwn(table, name) ? table[name] : undefined;
}
