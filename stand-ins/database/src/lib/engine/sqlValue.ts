/** A value of a row or of a statement's parameter. */
export type SqlValue = number | bigint | string | Uint8Array | null;

/** A value in the JSON form of a log entry. */
export type LoggedValue = number | string | null | { bigint: string } | { base64: string };

/** Turns a value into its JSON form. */
export function toLoggedValue(value: SqlValue): LoggedValue {
  if (typeof value === 'bigint') return { bigint: value.toString() };
  if (value instanceof Uint8Array) return { base64: Buffer.from(value).toString('base64') };
  return value;
}

/** Turns the JSON form of a value back. */
export function fromLoggedValue(value: LoggedValue): SqlValue {
  if (value === null || typeof value !== 'object') return value;
  if ('bigint' in value) return BigInt(value.bigint);
  return new Uint8Array(Buffer.from(value.base64, 'base64'));
}
