import {
  renumberFrames,
  toFrames,
  type CallerConnection,
  type PreparedDescription,
} from '@wisterialift/mysql';
import type { AnswerWriter } from './answerWriter';
import { createCallerError } from './callerErrors';
import type { CallerRequests } from './callerRequests';
import type { GroupServices, ReceivedStatement } from './callerTypes';
import {
  createPreparedStatements,
  toUpstreamExecute,
  type PreparableStatement,
} from './preparedStatements';

/** The prepared statements of a caller connection. @internal */
export interface CallerPreparedStatements {
  prepare: (preparable: PreparableStatement) => void;
  /** Finds the statement of an execute command; if unknown, sends the error and returns undefined. */
  findStatement: (statementId: number, payload: Buffer) => ReceivedStatement | undefined;
  addLongData: (statementId: number, payload: Buffer) => void;
  close: (statementId: number) => void;
  /** Drops parameter values that were sent with COM_STMT_SEND_LONG_DATA. */
  clearLongData: (statementId: number) => void;
  clear: () => void;
}

/** @internal */
export interface CallerPreparedStatementsOptions {
  connection: CallerConnection;
  requests: CallerRequests;
  answers: AnswerWriter;
  findGroup: () => GroupServices | undefined;
  maximumPacketBytes: number;
}

const STATEMENT_ID_OFFSET_BYTES = 1;
const PARAMETER_COUNT_OFFSET_BYTES = 7;

/** Description of all other statements: no parameters, no columns. */
const EMPTY_DESCRIPTION: PreparedDescription = {
  header: Buffer.alloc(12),
  definitions: Buffer.alloc(0),
};

/** Types of statements whose description is requested from a database. */
const typesDescribedByDatabase: ReadonlySet<string> = new Set([
  'read',
  'lockingRead',
  'write',
  'definition',
]);

/** @internal */
export function createCallerPreparedStatements(
  options: CallerPreparedStatementsOptions,
): CallerPreparedStatements {
  const { connection, requests, answers, findGroup, maximumPacketBytes } = options;
  const statements = createPreparedStatements();

  /**
   * Sends a statement id of the proxy. Each upstream connection prepares the statement when it first
   * runs there, since consecutive executes may use different connections.
   */
  function answerPrepare(
    preparable: PreparableStatement,
    { header, definitions }: PreparedDescription,
  ): void {
    const { id } = statements.add(preparable, header.readUInt16LE(PARAMETER_COUNT_OFFSET_BYTES));
    const payload = Buffer.from(header);
    payload.writeUInt32LE(id, STATEMENT_ID_OFFSET_BYTES);
    const { firstSequence } = connection;
    answers.sendFrames([
      toFrames(payload, firstSequence),
      renumberFrames(definitions, firstSequence + 1),
    ]);
  }

  function requestDescription(preparable: PreparableStatement): void {
    const { sqlBytes, statement } = preparable;
    const descriptions = findGroup()?.descriptions;
    requests.submit({
      access: 'read',
      received: {
        statement,
        toUpstream: () => ({ type: 'prepare', sqlBytes }),
        isBinary: false,
      },
      onFinished: (finished) => {
        const final = finished.answer?.final;
        if (final?.type !== 'prepared') {
          requests.sendAnswer(finished);
          return;
        }
        requests.observe('done');
        descriptions?.add(sqlBytes, final.description);
        answerPrepare(preparable, final.description);
      },
    });
  }

  return {
    prepare: (preparable) => {
      const { request } = preparable.statement;
      const cached = findGroup()?.descriptions.get(preparable.sqlBytes);
      if (request.type === 'unsupported') answers.sendError(unsupportedError(request.feature));
      else if (!typesDescribedByDatabase.has(request.type)) {
        answerPrepare(preparable, EMPTY_DESCRIPTION);
      } else if (cached) answerPrepare(preparable, cached);
      else requestDescription(preparable);
    },
    findStatement: (statementId, payload) => {
      const prepared = statements.get(statementId);
      if (!prepared) {
        const message = `Unknown prepared statement ${statementId}`;
        answers.sendError(createCallerError('unknownStatement', message));
        return undefined;
      }
      const { statement } = prepared;
      return { statement, toUpstream: () => toUpstreamExecute(prepared, payload), isBinary: true };
    },
    addLongData: (statementId, payload) => {
      const prepared = statements.get(statementId);
      if (!prepared) return;
      prepared.longData.push(Buffer.from(payload));
      prepared.longDataBytes += payload.length;
      // The command has no answer, so no error can be sent; closing bounds the memory.
      if (prepared.longDataBytes > maximumPacketBytes) connection.destroy();
    },
    close: statements.close,
    clearLongData: (statementId) => {
      const prepared = statements.get(statementId);
      if (prepared) Object.assign(prepared, { longData: [], longDataBytes: 0 });
    },
    clear: statements.clear,
  };
}

/** @internal */
export function unsupportedError(feature: string) {
  const message = `Connections to databases are shared, so ${feature} is not supported`;
  return createCallerError('unsupported', message);
}
