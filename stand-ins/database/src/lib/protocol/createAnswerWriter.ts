import type { Socket } from 'node:net';
import type { SqlValue } from '../engine/sqlValue';
import { findColumns } from './findColumns';
import {
  binaryRowPayload,
  columnCountPayload,
  columnPayload,
  endPayload,
  frame,
  textRowPayload,
} from './packets';

/** Writes the packets of one answer in sequence. */
export interface AnswerWriter {
  write: (payload: Buffer) => void;
  /** Writes a result set, no faster than the client takes it. */
  writeRows: (result: ResultSet) => Promise<void>;
  /** Hands what is buffered to the socket. */
  flush: () => Promise<void>;
}

/** Rows to answer, in text or binary form. */
export interface ResultSet {
  columns: readonly string[];
  rows: readonly SqlValue[][];
  isBinary: boolean;
  isInTransaction: boolean;
}

const FLUSH_BYTES = 32_768;

/** Starts an answer whose first packet has the sequence number. */
export function createAnswerWriter(socket: Socket, firstSequence: number): AnswerWriter {
  let sequence = firstSequence;
  let pending: Buffer[] = [];
  let pendingBytes = 0;

  function write(payload: Buffer): void {
    const { bytes, next } = frame(payload, sequence);
    sequence = next;
    pending.push(bytes);
    pendingBytes += bytes.length;
  }

  async function flush(): Promise<void> {
    if (pendingBytes === 0 || socket.destroyed) return;
    const isTaken = socket.write(Buffer.concat(pending));
    pending = [];
    pendingBytes = 0;
    if (!isTaken) await waitForDrain(socket);
  }

  return {
    write,
    flush,
    writeRows: async ({ columns: names, rows, isBinary, isInTransaction }) => {
      const columns = findColumns(names, rows);
      write(columnCountPayload(columns.length));
      columns.forEach((column) => write(columnPayload(column)));
      write(endPayload(isInTransaction));
      for (const row of rows) {
        if (socket.destroyed) return;
        write(isBinary ? binaryRowPayload(row, columns) : textRowPayload(row));
        if (pendingBytes >= FLUSH_BYTES) await flush();
      }
      write(endPayload(isInTransaction));
    },
  };
}

/** Resolves when the client has taken what was written, or has gone. */
function waitForDrain(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const onEnd = (): void => {
      socket.off('drain', onEnd);
      socket.off('close', onEnd);
      resolve();
    };
    socket.on('drain', onEnd);
    socket.on('close', onEnd);
  });
}
