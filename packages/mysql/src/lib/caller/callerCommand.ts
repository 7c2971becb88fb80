import { commandCode } from '../protocol/constants';
import { readSqlBytes, type SqlBytes } from '../protocol/sqlBytes';

/** A command received from a caller. @public */
export type CallerCommand =
  | { type: 'query'; sql: string; payload: Buffer }
  | { type: 'useGroup'; group: string }
  | { type: 'ping' }
  | { type: 'prepare'; sql: string; sqlBytes: SqlBytes }
  /** `payload` is the whole command, including the command code and the statement id. */
  | { type: 'execute'; statementId: number; payload: Buffer }
  | { type: 'sendLongData'; statementId: number; payload: Buffer }
  | { type: 'closeStatement'; statementId: number }
  | { type: 'resetStatement'; statementId: number }
  | { type: 'resetConnection' }
  | { type: 'quit' }
  | { type: 'unsupported'; code: number };

/** Thrown when a command packet cannot be parsed. @public */
export class MalformedPacketError extends Error {
  override name = 'MalformedPacketError';
}

const STATEMENT_ID_END_OFFSET = 5;

const parsersByCode: Record<number, (payload: Buffer) => CallerCommand> = {
  [commandCode.quit]: () => ({ type: 'quit' }),
  [commandCode.initDatabase]: (payload) => ({ type: 'useGroup', group: readText(payload) }),
  [commandCode.query]: (payload) => ({ type: 'query', sql: readText(payload), payload }),
  [commandCode.ping]: () => ({ type: 'ping' }),
  [commandCode.prepare]: (payload) => ({
    type: 'prepare',
    sql: readText(payload),
    sqlBytes: readSqlBytes(payload),
  }),
  [commandCode.execute]: (payload) => ({
    type: 'execute',
    statementId: readStatementId(payload),
    payload,
  }),
  [commandCode.sendLongData]: (payload) => ({
    type: 'sendLongData',
    statementId: readStatementId(payload),
    payload,
  }),
  [commandCode.closeStatement]: (payload) => ({
    type: 'closeStatement',
    statementId: readStatementId(payload),
  }),
  [commandCode.resetStatement]: (payload) => ({
    type: 'resetStatement',
    statementId: readStatementId(payload),
  }),
  [commandCode.resetConnection]: () => ({ type: 'resetConnection' }),
};

/** Commands to which the protocol defines no response. @internal */
export const commandsWithoutResponse: ReadonlySet<CallerCommand['type']> = new Set([
  'sendLongData',
  'closeStatement',
  'quit',
]);

/**
 * Parses the payload of a command packet.
 *
 * @throws MalformedPacketError if the payload is empty or truncated.
 * @internal
 */
export function parseCommand(payload: Buffer): CallerCommand {
  const code = payload[0];
  if (code === undefined) throw new MalformedPacketError('empty command packet');
  const parse = parsersByCode[code];
  return parse ? parse(payload) : { type: 'unsupported', code };
}

function readText(payload: Buffer): string {
  return payload.toString('utf8', 1);
}

function readStatementId(payload: Buffer): number {
  if (payload.length < STATEMENT_ID_END_OFFSET) throw new MalformedPacketError('no statement id');
  return payload.readUInt32LE(1);
}
