import type { Position } from '@wisterialift/schema';
import { readOnlyError } from '../engine/databaseError';
import type { Engine } from '../engine/createEngine';
import type { StatementAnswer } from '../engine/createSqlCopy';
import { toLoggedValue } from '../engine/sqlValue';
import type { SqlValue } from '../engine/sqlValue';
import type { Member } from '../group/createMember';
import type { LoggedStatement } from '../log/createLog';
import type { WriterLock } from './createWriterLock';
import { findStatementKind } from './statementKind';
import type { StatementKind } from './statementKind';

/** Answer of a session to one statement. */
export interface SessionAnswer extends StatementAnswer {
  /** Position of the log entry that the statement wrote. */
  position?: Position;
}

/** The SQL state of one connection. */
export interface Session {
  /** @throws DatabaseError as MySQL would answer it. */
  run: (sql: string, parameters: readonly SqlValue[]) => Promise<SessionAnswer>;
  isInTransaction: () => boolean;
  /** Rolls an open transaction back. */
  reset: () => void;
  close: () => void;
}

/** What sessions of one database share. */
export interface SessionOptions {
  engine: Engine;
  member: Member;
  lock: WriterLock;
  /** Answers `@@server_uuid`. */
  serverUuid: string;
  /** Runs after each written entry. */
  onCommit: () => void;
}

type TransactionState =
  | { type: 'none' }
  | { type: 'reading' }
  | { type: 'writing'; statements: LoggedStatement[] }
  /** The member stopped being the primary; the transaction is already rolled back. */
  | { type: 'fenced' };

type Handler = (
  sql: string,
  parameters: readonly SqlValue[],
) => SessionAnswer | Promise<SessionAnswer>;

const NOTHING: SessionAnswer = { columns: [], rows: [], affectedRows: 0, insertId: 0 };

const VARIABLE_VALUES: Record<string, SqlValue> = {
  max_allowed_packet: 16_777_216n,
  version: '8.0.0-stand-in',
  version_comment: 'stand-in',
  autocommit: 1n,
  wait_timeout: 28_800n,
  system_time_zone: 'UTC',
  time_zone: 'SYSTEM',
};

/** Creates the SQL state of a new connection. */
export function createSession(options: SessionOptions): Session {
  const { engine, member, lock, serverUuid, onCommit } = options;
  const identity = {};
  let transaction: TransactionState = { type: 'none' };

  function rollBack(): void {
    if (transaction.type === 'writing') {
      engine.rollback();
      lock.release(identity);
    }
    transaction = { type: 'none' };
  }

  /**
   * A primary that is fenced while a transaction is open could otherwise commit it in the term of
   * another primary, and the caller would be told of a write that no majority will ever hold.
   */
  function onMemberChange(): void {
    if (transaction.type !== 'writing' || member.isPrimary()) return;
    rollBack();
    transaction = { type: 'fenced' };
  }

  async function beginWriting(): Promise<void> {
    if (!member.isPrimary()) throw readOnlyError();
    await lock.acquire(identity);
    if (!member.isPrimary()) {
      lock.release(identity);
      throw readOnlyError();
    }
    engine.begin();
  }

  function commitWriting(statements: LoggedStatement[]): Position | undefined {
    if (statements.length === 0) {
      engine.rollback();
      return undefined;
    }
    engine.commit(statements);
    const { term, index } = member.commit(statements);
    onCommit();
    return { term, index };
  }

  async function writeAlone(sql: string, parameters: readonly SqlValue[]): Promise<SessionAnswer> {
    await beginWriting();
    try {
      const answer = engine.runOnScratch(sql, parameters);
      const position = commitWriting([toLogged(sql, parameters)]);
      return { ...answer, position };
    } catch (error) {
      engine.rollback();
      throw error;
    } finally {
      lock.release(identity);
    }
  }

  async function runWriting(
    sql: string,
    parameters: readonly SqlValue[],
    isLogged: boolean,
  ): Promise<SessionAnswer> {
    if (transaction.type === 'fenced') throw readOnlyError();
    if (transaction.type === 'reading') {
      await beginWriting();
      transaction = { type: 'writing', statements: [] };
    }
    const answer = engine.runOnScratch(sql, parameters);
    if (isLogged && transaction.type === 'writing') {
      transaction.statements.push(toLogged(sql, parameters));
    }
    return answer;
  }

  const handlers: Record<StatementKind, Handler> = {
    begin: () => {
      if (transaction.type === 'writing') commitWriting(transaction.statements);
      lock.release(identity);
      transaction = { type: 'reading' };
      return NOTHING;
    },
    commit: () => {
      const ended = transaction;
      transaction = { type: 'none' };
      if (ended.type === 'fenced') throw readOnlyError();
      if (ended.type !== 'writing') return NOTHING;
      try {
        return { ...NOTHING, position: commitWriting(ended.statements) };
      } finally {
        lock.release(identity);
      }
    },
    rollback: () => {
      rollBack();
      return NOTHING;
    },
    ignored: () => NOTHING,
    variables: (sql) => answerVariables(sql, { ...VARIABLE_VALUES, server_uuid: serverUuid }),
    sleep: answerSleep,
    show: () => ({ ...NOTHING, columns: ['Variable_name', 'Value'] }),
    read: (sql, parameters) =>
      transaction.type === 'writing'
        ? engine.runOnScratch(sql, parameters)
        : engine.read(sql, parameters),
    lockingRead: (sql, parameters) =>
      transaction.type === 'none'
        ? engine.read(sql, parameters)
        : runWriting(sql, parameters, false),
    write: (sql, parameters) =>
      transaction.type === 'none' ? writeAlone(sql, parameters) : runWriting(sql, parameters, true),
  };

  const stopListening = member.onChange(onMemberChange);

  return {
    run: async (sql, parameters) => handlers[findStatementKind(sql)](sql, parameters),
    isInTransaction: () => transaction.type !== 'none',
    reset: rollBack,
    close: () => {
      rollBack();
      stopListening();
    },
  };
}

function toLogged(sql: string, parameters: readonly SqlValue[]): LoggedStatement {
  return { sql, parameters: parameters.map(toLoggedValue) };
}

/** Answers the variables that drivers ask for when they connect. */
function answerVariables(sql: string, variables: Record<string, SqlValue>): SessionAnswer {
  const columns = sql
    .replace(/^[\s\S]*?SELECT\s+/i, '')
    .replace(/\s+LIMIT\s+\d+\s*;?\s*$/i, '')
    .replace(/;\s*$/, '')
    .split(',')
    .map((column) => column.trim());
  const names = columns.map((column) => /\s+AS\s+`?(\w+)`?$/i.exec(column)?.[1] ?? column);
  const values = columns.map(
    (column) => variables[/(\w+)/.exec(column.replace(/@@(?:\w+\.)?/, ''))?.[1] ?? ''] ?? '',
  );
  return { ...NOTHING, columns: names, rows: [values] };
}

async function answerSleep(sql: string): Promise<SessionAnswer> {
  const seconds = Number(/SLEEP\s*\(\s*([\d.]+)\s*\)/i.exec(sql)?.[1] ?? 0);
  await new Promise((resolve) => {
    setTimeout(resolve, seconds * 1_000);
  });
  return { ...NOTHING, columns: ['SLEEP'], rows: [[0n]] };
}
