import { marker, serverStatus } from '../protocol/constants';
import { parseError } from '../protocol/errorPacket';
import { toFrames } from '../protocol/frames';
import { readLengthEncodedInteger } from '../protocol/lengthEncoded';
import { hasFlag, parseOk } from '../protocol/okPacket';
import type { FinalPacket } from './upstreamStatement';

/** Detects the final packet of a response. @internal */
export interface ResponseReader {
  /**
   * @param payload - payload of the next packet.
   * @returns the final packet, or undefined if more packets follow.
   * @throws ProtocolError if the packet is not allowed at this point.
   * @throws RangeError if the packet is truncated.
   */
  read: (payload: Buffer) => FinalPacket | undefined;
}

/** Thrown when a database violates the protocol. @public */
export class ProtocolError extends Error {
  override name = 'ProtocolError';
}

/** Rows may start with the EOF marker too, but are at least this long. */
const EOF_LENGTH_LIMIT_BYTES = 9;

type State = 'header' | 'columns' | 'rows';

/**
 * Creates a reader for the response to a query or execute command.
 *
 * Statements such as CALL return several results; the status of each shows whether another follows.
 *
 * @internal
 */
export function createResponseReader(): ResponseReader {
  let state: State = 'header';
  let remainingColumns = 0;

  const isEof = (payload: Buffer): boolean =>
    payload[0] === marker.eof && payload.length < EOF_LENGTH_LIMIT_BYTES;

  const readersByState: Record<State, (payload: Buffer) => FinalPacket | undefined> = {
    header: (payload) => {
      if (payload[0] === marker.ok) {
        const ok = parseOk(payload);
        return hasFlag(ok.status, serverStatus.moreResults) ? undefined : { type: 'ok', ok };
      }
      if (payload.length === 0 || payload[0] === marker.localFile || payload[0] === marker.eof) {
        throw new ProtocolError('unexpected packet at the start of a response');
      }
      remainingColumns = readLengthEncodedInteger(payload, 0);
      state = 'columns';
      return undefined;
    },
    columns: (payload) => {
      if (remainingColumns > 0) {
        remainingColumns -= 1;
        return undefined;
      }
      if (!isEof(payload)) throw new ProtocolError('no EOF after the column definitions');
      state = 'rows';
      return undefined;
    },
    rows: (payload) => {
      if (!isEof(payload)) return undefined;
      if (!hasFlag(payload.readUInt16LE(3), serverStatus.moreResults)) {
        return { type: 'eof', payload };
      }
      state = 'header';
      return undefined;
    },
  };

  return {
    read: (payload) => {
      if (payload[0] === marker.error) return { type: 'error', error: parseError(payload) };
      return readersByState[state](payload);
    },
  };
}

const PREPARED_HEADER_BYTES = 12;

/** Sequence number of the packet after the header. */
const FIRST_DEFINITION_SEQUENCE = 2;

/** Creates a reader for the response to a prepare command. @internal */
export function createPrepareResponseReader(): ResponseReader {
  let header: Buffer | undefined;
  let remainingPackets = 0;
  const definitions: Buffer[] = [];

  const createFinalPacket = (first: Buffer): FinalPacket => ({
    type: 'prepared',
    description: { header: Buffer.from(first), definitions: Buffer.concat(definitions) },
  });

  return {
    read: (payload) => {
      if (payload[0] === marker.error) return { type: 'error', error: parseError(payload) };
      if (!header) {
        if (payload.length < PREPARED_HEADER_BYTES || payload[0] !== marker.ok) {
          throw new ProtocolError('unexpected packet at the start of a prepare response');
        }
        header = Buffer.from(payload);
        remainingPackets = countDefinitionPackets(header);
      } else {
        definitions.push(toFrames(payload, definitions.length + FIRST_DEFINITION_SEQUENCE));
        remainingPackets -= 1;
      }
      return remainingPackets === 0 ? createFinalPacket(header) : undefined;
    },
  };
}

/** Counts parameter and column definitions; each non-empty list ends with an EOF packet. */
function countDefinitionPackets(header: Buffer): number {
  const definitionCounts = [header.readUInt16LE(5), header.readUInt16LE(7)];
  return definitionCounts.reduce((sum, count) => sum + (count > 0 ? count + 1 : 0), 0);
}
