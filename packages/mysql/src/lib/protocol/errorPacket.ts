import { marker } from './constants';

/** The content of an ERR packet. @public */
export interface SqlError {
  code: number;
  /** SQLSTATE, five characters. */
  state: string;
  message: string;
}

const SQL_STATE_MARKER = '#';
const SQL_STATE_OFFSET = 4;
const MESSAGE_OFFSET = 9;
const GENERAL_SQL_STATE = 'HY000';

/**
 * Parses the payload of an ERR packet.
 *
 * @throws RangeError if the error code is truncated.
 * @internal
 */
export function parseError(payload: Buffer): SqlError {
  const code = payload.readUInt16LE(1);
  const hasState = payload.toString('latin1', 3, SQL_STATE_OFFSET) === SQL_STATE_MARKER;
  if (!hasState) return { code, state: GENERAL_SQL_STATE, message: payload.toString('utf8', 3) };
  return {
    code,
    state: payload.toString('latin1', SQL_STATE_OFFSET, MESSAGE_OFFSET),
    message: payload.toString('utf8', MESSAGE_OFFSET),
  };
}

/** Encodes the payload of an ERR packet. @internal */
export function encodeError({ code, state, message }: SqlError): Buffer {
  const head = Buffer.from([marker.error, code % 256, Math.floor(code / 256)]);
  return Buffer.concat([head, Buffer.from(`${SQL_STATE_MARKER}${state}${message}`)]);
}
