import { marker } from './constants';

/** An error as the protocol carries it. @public */
export interface SqlError {
  code: number;
  /** SQLSTATE, five characters. */
  state: string;
  message: string;
}

const STATE_MARKER = '#';
const STATE_AT = 4;
const MESSAGE_AT = 9;
const GENERAL_STATE = 'HY000';

/** Reads the payload of an ERR packet. @internal */
export function parseError(payload: Buffer): SqlError {
  const code = payload.readUInt16LE(1);
  const hasState = payload.toString('latin1', 3, STATE_AT) === STATE_MARKER;
  if (!hasState) return { code, state: GENERAL_STATE, message: payload.toString('utf8', 3) };
  return {
    code,
    state: payload.toString('latin1', STATE_AT, MESSAGE_AT),
    message: payload.toString('utf8', MESSAGE_AT),
  };
}

/** Writes the payload of an ERR packet. @internal */
export function encodeError({ code, state, message }: SqlError): Buffer {
  const head = Buffer.from([marker.error, code % 256, Math.floor(code / 256)]);
  return Buffer.concat([head, Buffer.from(`${STATE_MARKER}${state}${message}`)]);
}
