import { classifyStatement } from '@wisterialift/core';
import { toFrames, type CallerConnection, type PreparedDescription } from '@wisterialift/mysql';
import { FIRST_SEQUENCE, type AnswerWriter } from './answerWriter';
import { callerError } from './callerErrors';
import type { CallerRequests } from './callerRequests';
import type { GroupServices, StatementWork } from './callerTypes';
import { createPreparedStatements, toUpstreamExecute } from './preparedStatements';

/** The prepared statements of a caller connection. @internal */
export interface CallerPrepared {
  prepare: (sql: string) => void;
  /** The work of an execute command; undefined where the statement is not known, which was answered. */
  toWork: (statementId: number, payload: Buffer) => StatementWork | undefined;
  addLongData: (statementId: number, payload: Buffer) => void;
  close: (statementId: number) => void;
  /** Forgets long values that were sent ahead. */
  reset: (statementId: number) => void;
  clear: () => void;
}

/** @internal */
export interface CallerPreparedOptions {
  connection: CallerConnection;
  requests: CallerRequests;
  answers: AnswerWriter;
  findGroup: () => GroupServices | undefined;
  maximumPacketBytes: number;
}

const STATEMENT_ID_AT = 1;
const PARAMETER_COUNT_AT = 7;

/** Statements that the proxy answers by itself have neither parameters nor described columns. */
const EMPTY_DESCRIPTION: PreparedDescription = {
  header: Buffer.alloc(12),
  definitions: Buffer.alloc(0),
};

/** Statements that a database describes; the others are the proxy's own. */
const describedTypes: ReadonlySet<string> = new Set(['read', 'lockingRead', 'write', 'definition']);

/** Creates the prepared statements of a caller connection. @internal */
export function createCallerPrepared(options: CallerPreparedOptions): CallerPrepared {
  const { connection, requests, answers, findGroup, maximumPacketBytes } = options;
  const statements = createPreparedStatements();

  /**
   * A caller's statement exists in the proxy alone. Each connection to a database prepares it when it
   * first runs there, since the next execute may go to another one.
   */
  function finish(sql: string, { header, definitions }: PreparedDescription): void {
    const { id } = statements.add(sql, header.readUInt16LE(PARAMETER_COUNT_AT));
    const payload = Buffer.from(header);
    payload.writeUInt32LE(id, STATEMENT_ID_AT);
    answers.frames([toFrames(payload, FIRST_SEQUENCE), definitions]);
  }

  function describe(work: StatementWork, sql: string): void {
    const descriptions = findGroup()?.descriptions;
    requests.submit({
      access: 'read',
      work,
      onFinished: (finished) => {
        const final = finished.answer?.final;
        if (final?.type !== 'prepared') {
          requests.deliver(finished);
          return;
        }
        requests.observe('done');
        descriptions?.add(sql, final.description);
        finish(sql, final.description);
      },
    });
  }

  return {
    prepare: (sql) => {
      const statement = classifyStatement(sql);
      const { request } = statement;
      const known = findGroup()?.descriptions.get(sql);
      if (request.type === 'unsupported') answers.error(unsupportedError(request.feature));
      else if (!describedTypes.has(request.type)) finish(sql, EMPTY_DESCRIPTION);
      else if (known) finish(sql, known);
      else {
        describe({ statement, upstream: () => ({ type: 'prepare', sql }), isBinary: false }, sql);
      }
    },
    toWork: (statementId, payload) => {
      const prepared = statements.get(statementId);
      if (!prepared) {
        const message = `Unknown prepared statement ${statementId}`;
        answers.error(callerError('unknownStatement', message));
        return undefined;
      }
      const { statement } = prepared;
      return { statement, upstream: () => toUpstreamExecute(prepared, payload), isBinary: true };
    },
    addLongData: (statementId, payload) => {
      const prepared = statements.get(statementId);
      if (!prepared) return;
      prepared.longData.push(Buffer.from(payload));
      prepared.longDataBytes += payload.length;
      // The command has no answer, so without a limit its pieces would fill the memory.
      if (prepared.longDataBytes > maximumPacketBytes) connection.destroy();
    },
    close: statements.close,
    reset: (statementId) => {
      const prepared = statements.get(statementId);
      if (prepared) Object.assign(prepared, { longData: [], longDataBytes: 0 });
    },
    clear: statements.clear,
  };
}

/** @internal */
export function unsupportedError(feature: string) {
  const message = `Connections to databases are shared, so ${feature} is not supported`;
  return callerError('unsupported', message);
}
