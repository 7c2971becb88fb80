import { commandCode } from './constants';

/** Encodes the command that runs a statement. @internal */
export function encodeQuery(sql: string): Buffer {
  return Buffer.concat([Buffer.from([commandCode.query]), Buffer.from(sql)]);
}
