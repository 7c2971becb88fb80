/**
 * The bytes of a statement's text, one character each, so that two texts are equal only if their bytes are.
 * Decoded text would not do: all bytes that are not valid UTF-8 decode to the same character.
 *
 * @public
 */
export type SqlBytes = string;

const COMMAND_CODE_BYTES = 1;

/** Reads the bytes of the text that follows the code of a command. @internal */
export function readSqlBytes(payload: Buffer): SqlBytes {
  return payload.toString('latin1', COMMAND_CODE_BYTES);
}

/** Encodes a command whose code is followed by the text of a statement. @internal */
export function encodeSqlCommand(code: number, sql: SqlBytes): Buffer {
  return Buffer.concat([Buffer.from([code]), Buffer.from(sql, 'latin1')]);
}
