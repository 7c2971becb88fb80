import { marker, serverStatus, sessionTrack } from './constants';
import { encodeWithLength, lengthEncodedSize, readLengthEncoded } from './lengthEncoded';

/** The end of a statement without rows, as a database sent it. @public */
export interface OkPacket {
  /** Affected rows and inserted id in their encoded form, which keeps numbers above 2^53 exact. */
  counts: Buffer;
  insertId: number;
  status: number;
  warnings: number;
  /** Human-readable text, such as the count of matched rows. */
  info: Buffer;
  /** Position of the log entry that the statement wrote, as `term:index`. */
  gtid: string | undefined;
}

const NO_COUNTS = Buffer.from([0, 0]);

/** The answer to a statement that changed nothing. @public */
export const EMPTY_OK: OkPacket = {
  counts: NO_COUNTS,
  insertId: 0,
  status: serverStatus.autocommit,
  warnings: 0,
  info: Buffer.alloc(0),
  gtid: undefined,
};

/**
 * Reads an OK packet from a database that has session tracking on.
 *
 * @throws RangeError where the packet is cut.
 * @internal
 */
export function parseOk(payload: Buffer): OkPacket {
  const insertIdAt = 1 + lengthEncodedSize(payload, 1);
  const statusAt = insertIdAt + lengthEncodedSize(payload, insertIdAt);
  const status = payload.readUInt16LE(statusAt);
  const infoAt = statusAt + 4;
  const infoEnd = infoAt < payload.length ? endOfText(payload, infoAt) : infoAt;
  const hasState = hasFlag(status, serverStatus.sessionStateChanged) && infoEnd < payload.length;
  return {
    counts: payload.subarray(1, statusAt),
    insertId: readLengthEncoded(payload, insertIdAt),
    status,
    warnings: payload.readUInt16LE(statusAt + 2),
    info: infoAt < infoEnd ? textAt(payload, infoAt) : EMPTY_OK.info,
    gtid: hasState ? findGtid(textAt(payload, infoEnd)) : undefined,
  };
}

/** What an OK packet tells the caller. @internal */
export interface OkEncoding {
  ok: OkPacket;
  /** Whether the caller understands session-track data. */
  canTrackSession: boolean;
  /** Token of the session, put in as the system variable `wisterialift_token`. */
  token?: string | undefined;
}

/** Writes the payload of an OK packet. @internal */
export function encodeOk({ ok, canTrackSession, token }: OkEncoding): Buffer {
  const hasToken = canTrackSession && token !== undefined;
  const status = withFlag(ok.status, serverStatus.sessionStateChanged, hasToken);
  const numbers = Buffer.allocUnsafe(4);
  numbers.writeUInt16LE(status, 0);
  numbers.writeUInt16LE(ok.warnings, 2);
  const parts = [Buffer.from([marker.ok]), ok.counts, numbers];
  if (!canTrackSession) parts.push(ok.info);
  else if (hasToken || ok.info.length > 0) parts.push(encodeWithLength(ok.info));
  if (hasToken) parts.push(encodeWithLength(encodeVariable('wisterialift_token', token)));
  return Buffer.concat(parts);
}

function encodeVariable(name: string, value: string): Buffer {
  const entry = Buffer.concat([encodeWithLength(name), encodeWithLength(value)]);
  return Buffer.concat([Buffer.from([sessionTrack.systemVariable]), encodeWithLength(entry)]);
}

/** Reads the first GTID entry of session-track data; other entries are passed over. */
function findGtid(state: Buffer): string | undefined {
  let offset = 0;
  while (offset < state.length) {
    const type = state.readUInt8(offset);
    const entry = textAt(state, offset + 1);
    // Byte 0 is the encoding specification, which is always 0.
    if (type === sessionTrack.gtids) return textAt(entry, 1).toString('latin1');
    offset = endOfText(state, offset + 1);
  }
  return undefined;
}

function textAt(buffer: Buffer, offset: number): Buffer {
  return buffer.subarray(offset + lengthEncodedSize(buffer, offset), endOfText(buffer, offset));
}

function endOfText(buffer: Buffer, offset: number): number {
  return offset + lengthEncodedSize(buffer, offset) + readLengthEncoded(buffer, offset);
}

/* eslint-disable no-bitwise -- the status of the protocol is a set of bits */
/** Whether a bit of the protocol's status is set. @internal */
export function hasFlag(status: number, flag: number): boolean {
  return (status & flag) !== 0;
}

/** The status with one bit set or cleared. @internal */
export function withFlag(status: number, flag: number, isSet: boolean): number {
  return isSet ? status | flag : status & ~flag;
}
/* eslint-enable no-bitwise */
