import { DatabaseError, toDatabaseError } from '../engine/databaseError';
import type { Engine } from '../engine/createEngine';
import type { SqlValue } from '../engine/sqlValue';
import type { Faults } from '../faults/createFaults';
import type { Member } from '../group/createMember';
import { runGroupStatement } from '../group/groupStatements';
import type { LogServer } from '../replication/createLogServer';
import type { Session, SessionAnswer } from '../session/createSession';
import type { StatementCounters } from '../session/createStatementCounters';
import type { Slots } from '../session/createSlots';
import { findStatementKind } from '../session/statementKind';
import { createAnswerWriter } from './createAnswerWriter';
import type { AnswerWriter } from './createAnswerWriter';
import { createPreparedStatements } from './createPreparedStatements';
import {
  COLUMN_TYPES,
  columnPayload,
  endPayload,
  errorPayload,
  hasCapability,
  okPayload,
  preparedPayload,
} from './packets';
import type { ServerConnection } from './serverConnection';

/** What a connection needs of its database. */
export interface ConnectionOptions {
  connection: ServerConnection;
  session: Session;
  engine: Engine;
  member: Member;
  faults: Faults;
  slots: Slots;
  logServer: LogServer;
  counters: StatementCounters;
}

interface Command {
  payload: Buffer;
  writer: AnswerWriter;
}

/** The change was applied and its answer is to be lost; the connection is cut. */
class LostAnswer extends Error {}

const COMMANDS = {
  quit: 0x01,
  initDatabase: 0x02,
  query: 0x03,
  ping: 0x0e,
  prepare: 0x16,
  execute: 0x17,
  sendLongData: 0x18,
  closeStatement: 0x19,
  resetStatement: 0x1a,
  setOption: 0x1b,
  resetConnection: 0x1f,
} as const;

/** Statement kinds that cost nothing at the database, so they take no slot. */
const FREE_KINDS = new Set(['begin', 'rollback', 'ignored', 'variables', 'sleep', 'show']);

/** Answers the commands of one authenticated connection, one after the other. */
export function serveConnection(options: ConnectionOptions): void {
  const { connection, session, engine, member, faults, slots, logServer, counters } = options;
  const { stream } = connection;
  const statements = createPreparedStatements();
  const tracksSession = hasCapability(connection.clientHelloReply.clientFlags, 'sessionTrack');
  let earlier = Promise.resolve();

  async function runSql(
    sql: string,
    values: readonly SqlValue[],
    isBinary: boolean,
    writer: AnswerWriter,
  ): Promise<void> {
    const logAnswer = await logServer.answer(sql, () => stream.destroyed);
    if (logAnswer !== undefined) {
      await writeText(writer, 'entries', JSON.stringify(logAnswer));
      return;
    }
    const groupAnswer = runGroupStatement(sql, member);
    if (groupAnswer) {
      if (groupAnswer.hasChanged) loseAnswerIfAsked('loseNextGroupAnswers');
      await writeText(writer, groupAnswer.column, groupAnswer.text);
      return;
    }
    const kind = findStatementKind(sql);
    counters.count(kind);
    if (!FREE_KINDS.has(kind)) {
      await slots.occupy(faults.settings().serviceMilliseconds);
    }
    const answer = await session.run(sql, values);
    if (answer.position) loseAnswerIfAsked('loseNextAnswers');
    await writeAnswer(answer, isBinary, writer);
  }

  function loseAnswerIfAsked(counter: 'loseNextAnswers' | 'loseNextGroupAnswers'): void {
    if (faults.takeLostAnswer(counter)) throw new LostAnswer();
  }

  async function writeAnswer(
    answer: SessionAnswer,
    isBinary: boolean,
    writer: AnswerWriter,
  ): Promise<void> {
    const { columns, rows, affectedRows, insertId, position } = answer;
    const isInTransaction = session.isInTransaction();
    if (columns.length > 0) {
      await writer.writeRows({ columns, rows, isBinary, isInTransaction });
      return;
    }
    writer.write(okPayload({ affectedRows, insertId, isInTransaction, position, tracksSession }));
  }

  function writeText(writer: AnswerWriter, column: string, text: string): Promise<void> {
    const isInTransaction = session.isInTransaction();
    return writer.writeRows({
      columns: [column],
      rows: [[text]],
      isBinary: false,
      isInTransaction,
    });
  }

  function prepare({ payload, writer }: Command): void {
    const sql = payload.toString('utf8', 1);
    const kind = findStatementKind(sql);
    const names = kind === 'read' || kind === 'lockingRead' ? engine.columnsOf(sql) : [];
    const { id, parameterCount } = statements.prepare(sql);
    writer.write(preparedPayload(id, names.length, parameterCount));
    const parameters = Array.from({ length: parameterCount }, () => '?');
    [parameters, names].forEach((group) => {
      group.forEach((name) => writer.write(columnPayload({ name, type: COLUMN_TYPES.varString })));
      if (group.length > 0) writer.write(endPayload());
    });
  }

  const answerOk = ({ writer }: Command): void => writer.write(okPayload());

  const handlers: Record<number, (command: Command) => Promise<void> | void> = {
    [COMMANDS.quit]: () => {
      stream.end();
    },
    [COMMANDS.initDatabase]: answerOk,
    [COMMANDS.ping]: answerOk,
    [COMMANDS.setOption]: ({ writer }) => writer.write(endPayload()),
    [COMMANDS.query]: ({ payload, writer }) =>
      runSql(payload.toString('utf8', 1), [], false, writer),
    [COMMANDS.prepare]: prepare,
    [COMMANDS.execute]: ({ payload, writer }) => {
      const { sql, values } = statements.bind(payload);
      return runSql(sql, values, true, writer);
    },
    [COMMANDS.sendLongData]: ({ payload }) => statements.addLongData(payload),
    [COMMANDS.closeStatement]: ({ payload }) => statements.close(payload.readUInt32LE(1)),
    [COMMANDS.resetStatement]: answerOk,
    [COMMANDS.resetConnection]: (command) => {
      session.reset();
      statements.clear();
      answerOk(command);
    },
  };

  async function answerCommand(command: Command): Promise<void> {
    if (stream.destroyed) return;
    // What arrived before the client went away is still run after a thaw, as by a stopped process.
    await faults.whenThawed();
    try {
      const handler = handlers[command.payload[0] ?? 0];
      if (!handler) throw new DatabaseError(1047, '08S01', 'Unknown command');
      await handler(command);
    } catch (error) {
      if (error instanceof LostAnswer) {
        stream.destroy();
        return;
      }
      const { code, sqlState, message } = toDatabaseError(error);
      command.writer.write(errorPayload(code, sqlState, message));
    }
    await delayAnswer();
    await command.writer.flush();
  }

  async function delayAnswer(): Promise<void> {
    const { answerDelayMilliseconds } = faults.settings();
    if (answerDelayMilliseconds > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, answerDelayMilliseconds);
      });
    }
    await faults.whenThawed();
  }

  connection.handlePacket = ({ buffer, start, end, sequenceId, numPackets }) => {
    const payload = Buffer.from(buffer.subarray(start + 4, end));
    const writer = createAnswerWriter(stream, sequenceId + numPackets);
    earlier = earlier.then(() => answerCommand({ payload, writer }));
  };
  stream.once('close', () => {
    earlier = earlier.then(() => session.close());
  });
}
