import type { SqlValue } from '../engine/sqlValue';
import { COLUMN_TYPES } from './packets';
import type { Column } from './packets';

/** Finds the narrowest column type that carries every value of each column. */
export function findColumns(names: readonly string[], rows: readonly SqlValue[][]): Column[] {
  return names.map((name, index) => ({ name, type: findType(rows, index) }));
}

function findType(rows: readonly SqlValue[][], index: number): number {
  const kinds = new Set<string>();
  rows.forEach((row) => {
    const value = row[index];
    if (value !== null && value !== undefined) kinds.add(kindOf(value));
  });
  if (kinds.has('text') || kinds.size === 0) return COLUMN_TYPES.varString;
  if (kinds.has('bytes')) return COLUMN_TYPES.blob;
  return kinds.has('double') ? COLUMN_TYPES.double : COLUMN_TYPES.longLong;
}

function kindOf(value: Exclude<SqlValue, null>): string {
  if (typeof value === 'string') return 'text';
  if (value instanceof Uint8Array) return 'bytes';
  return typeof value === 'bigint' ? 'integer' : 'double';
}
