import type { Random } from '@wisterialift/fuzz';
import { parseReturnTime } from '@wisterialift/gateway';
import type { CallerAnswer, Clock } from '@wisterialift/gateway';
import type {
  CallerStatement,
  FailureReason,
  PreparedStatement,
  StatementAccess,
} from '@wisterialift/pooling';
import type { RequestKind } from '../experiment/experimentSchema';
import type { AttemptEnd } from './attemptEnd';
import type { Oracle } from './oracle';
import type { CallerConnection } from './callerConnection';
import type { WorldTeam } from './teams';

/** What a caller wants done, as one statement or one transaction. @internal */
export interface Operation {
  id: string;
  kind: RequestKind;
  group: string;
  /** Team whose caller asks for it; undefined where there are no teams. */
  team: WorldTeam | undefined;
  isWrite: boolean;
  /** Statements of a transaction; 0 for a single statement. */
  transactionLength: number;
  /** Whether a transaction is begun as read-only. */
  isReadOnly: boolean;
}

/** Answers after which nothing of the attempt is kept. */
const PROMISES: ReadonlySet<FailureReason> = new Set([
  'busy',
  'aborted',
  'lagging',
  'readOnly',
  'wrongMember',
  'tooManyConnections',
]);

/** Longest pause of a caller between two statements of a transaction. */
const LONGEST_PAUSE_MILLISECONDS = 40;

/** Draws what a caller does next. @internal */
export function drawOperation(
  random: Random,
  options: { id: string; kind: RequestKind; group: string; team: WorldTeam | undefined },
): Operation {
  const { kind } = options;
  const isTransaction = random.chance(kind.transactionShare);
  const isWrite = random.chance(kind.writeShare);
  const transactionLength = isTransaction ? random.between(2, kind.longestTransaction) : 0;
  const isPlain = isWrite || (kind.plainReadShare > 0 && random.chance(kind.plainReadShare));
  return { ...options, isWrite, transactionLength, isReadOnly: !isPlain };
}

/** Runs one attempt over a session; `pauses` counts the caller's own pauses, in milliseconds. @internal */
export async function runAttempt(options: {
  operation: Operation;
  attempt: number;
  connection: CallerConnection;
  clock: Clock;
  random: Random;
  oracle: Oracle;
  deadlineAt: number;
  onPause: (milliseconds: number) => void;
}): Promise<AttemptEnd> {
  const { operation, attempt, connection, clock, random, oracle, deadlineAt, onPause } = options;
  const { id, kind, group, isWrite, isReadOnly, transactionLength } = operation;
  const attemptId = `${id}.${attempt}`;
  const session = connection;
  oracle.teams.noteAttempt(attemptId, operation.team);
  let number = 0;

  const run = (type: CallerStatement['type'], text: string) => {
    number += 1;
    const statement = {
      id: `${attemptId}.${number}`,
      text,
      type,
      isReadOnly: text === 'BEGIN READ',
    };
    noteSent(statement);
    return connection.run(statement as CallerStatement, deadlineAt);
  };

  function noteSent(sent: { id: string; text: string; prepared?: PreparedStatement }): void {
    const values = connection.texts?.values;
    if (values) oracle.statements.noteSent({ prepared: undefined, ...sent, values });
  }

  /** Runs a read or a write, as a prepared statement where the session has prepared some. */
  function runData(access: StatementAccess, operands: string) {
    const named = connection.texts?.prepared[access];
    if (!named) return run(access, `${access.toUpperCase()} ${operands}`);
    number += 1;
    const statementId = `${attemptId}.${number}`;
    const { name, ...prepared } = named;
    noteSent({ id: statementId, text: operands, prepared });
    const statement = {
      id: statementId,
      text: `EXECUTE ${name} ${operands}`,
      type: 'execute' as const,
      name,
      argumentsText: operands,
    };
    return connection.run(statement, deadlineAt);
  }

  const write = () => runData('write', `${kind.name} ${attemptId}`);

  async function read(since: number): Promise<CallerAnswer | undefined> {
    const answer = await runData('read', kind.name);
    if (answer?.outcome === 'completed') {
      oracle.checkRead({ group, kind, since, session, rows: answer.rows, id: attemptId });
    }
    return answer;
  }

  async function runSingle(): Promise<AttemptEnd> {
    if (!isWrite) return judge(await read(oracle.now()), true);
    oracle.noteSent(group, attemptId);
    const answer = await write();
    const end = judge(answer, false);
    oracle.noteWriteEnd({ group, id: attemptId, session, end });
    return end;
  }

  async function runTransaction(): Promise<AttemptEnd> {
    const began = oracle.now();
    const begun = await run('begin', isReadOnly ? 'BEGIN READ' : 'BEGIN');
    if (begun?.outcome !== 'completed') return judge(begun, true);
    for (let step = 1; step <= transactionLength; step += 1) {
      const answer = isWrite && step === transactionLength ? await write() : await read(began);
      if (answer?.outcome !== 'completed') return leaveFailed(answer);
      const milliseconds = random.next() * LONGEST_PAUSE_MILLISECONDS;
      onPause(milliseconds);
      await clock.sleep(milliseconds);
    }
    if (isWrite) oracle.noteSent(group, attemptId);
    const end = judge(await run('commit', 'COMMIT'), !isWrite);
    if (isWrite) oracle.noteWriteEnd({ group, id: attemptId, session, end });
    return end;
  }

  /** Ends a transaction of which a statement failed; nothing was committed. */
  async function leaveFailed(answer: CallerAnswer | undefined): Promise<AttemptEnd> {
    if (connection.isOpen()) await run('rollback', 'ROLLBACK');
    return judge(answer, true);
  }

  return transactionLength > 0 ? runTransaction() : runSingle();
}

function judge(answer: CallerAnswer | undefined, mayRepeat: boolean): AttemptEnd {
  if (!answer) return { type: 'unknown', mayRepeat };
  if (answer.outcome === 'completed') return { type: 'served' };
  if (PROMISES.has(answer.reason)) {
    const returnMilliseconds = parseReturnTime(answer.detail);
    return { type: 'refused', reason: answer.reason, returnMilliseconds };
  }
  return { type: 'unknown', mayRepeat };
}
