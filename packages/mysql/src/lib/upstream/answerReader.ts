import { marker, serverStatus } from '../protocol/constants';
import { parseError } from '../protocol/errorPacket';
import { toFrames } from '../protocol/frames';
import { readLengthEncoded } from '../protocol/lengthEncoded';
import { hasFlag, parseOk } from '../protocol/okPacket';
import type { FinalPacket } from './upstreamStatement';

/** Finds the end of an answer by the first bytes of its packets. @internal */
export interface AnswerReader {
  /**
   * @param payload - the next packet's payload.
   * @returns the answer's final packet, or undefined while the answer goes on.
   * @throws ProtocolError where the packet has no place in an answer.
   */
  read: (payload: Buffer) => FinalPacket | undefined;
}

/** A database sent what the protocol does not allow. @public */
export class ProtocolError extends Error {
  override name = 'ProtocolError';
}

/** An EOF packet is shorter than a row that begins with the same byte. */
const EOF_BYTES = 9;

type State = 'header' | 'columns' | 'rows';

/**
 * Creates the reader of an answer to a query or an execute command.
 *
 * Statements such as CALL have several results, each with a status that says whether another follows.
 *
 * @internal
 */
export function createAnswerReader(): AnswerReader {
  let state: State = 'header';
  let columnsLeft = 0;

  const isEof = (payload: Buffer): boolean =>
    payload[0] === marker.eof && payload.length < EOF_BYTES;

  const readersByState: Record<State, (payload: Buffer) => FinalPacket | undefined> = {
    header: (payload) => {
      if (payload[0] === marker.ok) {
        const ok = parseOk(payload);
        return hasFlag(ok.status, serverStatus.moreResults) ? undefined : { type: 'ok', ok };
      }
      if (payload.length === 0 || payload[0] === marker.localFile || payload[0] === marker.eof) {
        throw new ProtocolError('unexpected packet at the start of an answer');
      }
      columnsLeft = readLengthEncoded(payload, 0);
      state = 'columns';
      return undefined;
    },
    columns: (payload) => {
      if (columnsLeft > 0) {
        columnsLeft -= 1;
        return undefined;
      }
      if (!isEof(payload)) throw new ProtocolError('no end after the column definitions');
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

/** Number of the packet after the header. */
const FIRST_DEFINITION = 2;

/** Creates the reader of an answer to a prepare command. @internal */
export function createPrepareReader(): AnswerReader {
  let header: Buffer | undefined;
  let packetsLeft = 0;
  const definitions: Buffer[] = [];

  const final = (first: Buffer): FinalPacket => ({
    type: 'prepared',
    description: { header: Buffer.from(first), definitions: Buffer.concat(definitions) },
  });

  return {
    read: (payload) => {
      if (payload[0] === marker.error) return { type: 'error', error: parseError(payload) };
      if (!header) {
        if (payload.length < PREPARED_HEADER_BYTES || payload[0] !== marker.ok) {
          throw new ProtocolError('unexpected packet at the start of a prepared statement');
        }
        header = Buffer.from(payload);
        packetsLeft = definitionPackets(header);
      } else {
        definitions.push(toFrames(payload, definitions.length + FIRST_DEFINITION));
        packetsLeft -= 1;
      }
      return packetsLeft === 0 ? final(header) : undefined;
    },
  };
}

/** Definitions of parameters and of columns, each list with an EOF packet when it is not empty. */
function definitionPackets(header: Buffer): number {
  const lists = [header.readUInt16LE(5), header.readUInt16LE(7)];
  return lists.reduce((sum, length) => sum + (length > 0 ? length + 1 : 0), 0);
}
