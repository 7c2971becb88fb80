import { marker, serverStatus, sessionTrackType } from './constants';
import {
  encodeWithLength,
  getLengthEncodedIntegerSize,
  readLengthEncodedInteger,
} from './lengthEncoded';

/** The content of an OK packet, sent at the end of a statement without rows. @public */
export interface OkPacket {
  /** Affected rows and last insert id, kept encoded since numbers above 2^53 lose precision. */
  counts: Buffer;
  insertId: number;
  status: number;
  warnings: number;
  /** Human-readable text, such as the number of matched rows. */
  info: Buffer;
  /** Log position of the statement's write, as `term:index`. */
  gtid: string | undefined;
}

const NO_COUNTS = Buffer.from([0, 0]);

/** The OK packet of a statement that changed nothing. @public */
export const EMPTY_OK: OkPacket = {
  counts: NO_COUNTS,
  insertId: 0,
  status: serverStatus.autocommit,
  warnings: 0,
  info: Buffer.alloc(0),
  gtid: undefined,
};

/**
 * Parses an OK packet of a connection with session tracking.
 *
 * @throws RangeError if a number or a length is truncated.
 * @internal
 */
export function parseOk(payload: Buffer): OkPacket {
  const insertIdOffset = 1 + getLengthEncodedIntegerSize(payload, 1);
  const statusOffset = insertIdOffset + getLengthEncodedIntegerSize(payload, insertIdOffset);
  const status = payload.readUInt16LE(statusOffset);
  const infoOffset = statusOffset + 4;
  const infoEnd = infoOffset < payload.length ? getStringEnd(payload, infoOffset) : infoOffset;
  const hasState = hasFlag(status, serverStatus.sessionStateChanged) && infoEnd < payload.length;
  return {
    counts: payload.subarray(1, statusOffset),
    insertId: readLengthEncodedInteger(payload, insertIdOffset),
    status,
    warnings: payload.readUInt16LE(statusOffset + 2),
    info: infoOffset < infoEnd ? readString(payload, infoOffset) : EMPTY_OK.info,
    gtid: hasState ? findGtid(readString(payload, infoEnd)) : undefined,
  };
}

/** @internal */
export interface OkEncodingOptions {
  ok: OkPacket;
  /** Whether the caller supports session tracking. */
  canTrackSession: boolean;
  /** Session token, sent as a change of the system variable `wisterialift_token`. */
  token?: string | undefined;
}

/** Encodes the payload of an OK packet. @internal */
export function encodeOk({ ok, canTrackSession, token }: OkEncodingOptions): Buffer {
  const hasToken = canTrackSession && token !== undefined;
  const status = withFlag(ok.status, serverStatus.sessionStateChanged, hasToken);
  const statusAndWarnings = Buffer.allocUnsafe(4);
  statusAndWarnings.writeUInt16LE(status, 0);
  statusAndWarnings.writeUInt16LE(ok.warnings, 2);
  const parts = [Buffer.from([marker.ok]), ok.counts, statusAndWarnings];
  if (!canTrackSession) parts.push(ok.info);
  else if (hasToken || ok.info.length > 0) parts.push(encodeWithLength(ok.info));
  if (hasToken) parts.push(encodeWithLength(encodeSystemVariable('wisterialift_token', token)));
  return Buffer.concat(parts);
}

function encodeSystemVariable(name: string, value: string): Buffer {
  const entry = Buffer.concat([encodeWithLength(name), encodeWithLength(value)]);
  return Buffer.concat([Buffer.from([sessionTrackType.systemVariable]), encodeWithLength(entry)]);
}

/** Returns the first GTID entry of session-track data. */
function findGtid(state: Buffer): string | undefined {
  let offset = 0;
  while (offset < state.length) {
    const type = state.readUInt8(offset);
    const entry = readString(state, offset + 1);
    // Skips byte 0, the encoding specification.
    if (type === sessionTrackType.gtids) return readString(entry, 1).toString('latin1');
    offset = getStringEnd(state, offset + 1);
  }
  return undefined;
}

/** Reads the length-encoded string at `offset`. */
function readString(buffer: Buffer, offset: number): Buffer {
  return buffer.subarray(
    offset + getLengthEncodedIntegerSize(buffer, offset),
    getStringEnd(buffer, offset),
  );
}

/** Returns the offset after the length-encoded string at `offset`. */
function getStringEnd(buffer: Buffer, offset: number): number {
  return (
    offset + getLengthEncodedIntegerSize(buffer, offset) + readLengthEncodedInteger(buffer, offset)
  );
}

/* eslint-disable no-bitwise -- protocol flags are bit masks */
/** Whether a flag is set in a bit mask. @internal */
export function hasFlag(status: number, flag: number): boolean {
  return (status & flag) !== 0;
}

/** Returns the status with a flag set or cleared. @internal */
export function withFlag(status: number, flag: number, isSet: boolean): number {
  return isSet ? status | flag : status & ~flag;
}
/* eslint-enable no-bitwise */
