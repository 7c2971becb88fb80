import { commandCode } from '../protocol/constants';

/** A command of a caller. @public */
export type CallerCommand =
  | { type: 'query'; sql: string; payload: Buffer }
  | { type: 'useGroup'; group: string }
  | { type: 'ping' }
  | { type: 'prepare'; sql: string }
  /** `payload` is the whole command, its first byte and the statement's id included. */
  | { type: 'execute'; statementId: number; payload: Buffer }
  | { type: 'sendLongData'; statementId: number; payload: Buffer }
  | { type: 'closeStatement'; statementId: number }
  | { type: 'resetStatement'; statementId: number }
  | { type: 'resetConnection' }
  | { type: 'quit' }
  | { type: 'unsupported'; code: number };

/** A command that cannot be read. @public */
export class MalformedPacketError extends Error {
  override name = 'MalformedPacketError';
}

const STATEMENT_ID_END = 5;

const readersByCode: Record<number, (payload: Buffer) => CallerCommand> = {
  [commandCode.quit]: () => ({ type: 'quit' }),
  [commandCode.initDatabase]: (payload) => ({ type: 'useGroup', group: textOf(payload) }),
  [commandCode.query]: (payload) => ({ type: 'query', sql: textOf(payload), payload }),
  [commandCode.ping]: () => ({ type: 'ping' }),
  [commandCode.prepare]: (payload) => ({ type: 'prepare', sql: textOf(payload) }),
  [commandCode.execute]: (payload) => ({
    type: 'execute',
    statementId: statementIdOf(payload),
    payload,
  }),
  [commandCode.sendLongData]: (payload) => ({
    type: 'sendLongData',
    statementId: statementIdOf(payload),
    payload,
  }),
  [commandCode.closeStatement]: (payload) => ({
    type: 'closeStatement',
    statementId: statementIdOf(payload),
  }),
  [commandCode.resetStatement]: (payload) => ({
    type: 'resetStatement',
    statementId: statementIdOf(payload),
  }),
  [commandCode.resetConnection]: () => ({ type: 'resetConnection' }),
};

/** Commands that have no answer. @internal */
export const silentCommands: ReadonlySet<CallerCommand['type']> = new Set([
  'sendLongData',
  'closeStatement',
  'quit',
]);

/**
 * Reads a command.
 *
 * @throws MalformedPacketError where the packet is empty or cut.
 * @internal
 */
export function readCommand(payload: Buffer): CallerCommand {
  const code = payload[0];
  if (code === undefined) throw new MalformedPacketError('a command without a code');
  const read = readersByCode[code];
  return read ? read(payload) : { type: 'unsupported', code };
}

function textOf(payload: Buffer): string {
  return payload.toString('utf8', 1);
}

function statementIdOf(payload: Buffer): number {
  if (payload.length < STATEMENT_ID_END) throw new MalformedPacketError('no statement id');
  return payload.readUInt32LE(1);
}
