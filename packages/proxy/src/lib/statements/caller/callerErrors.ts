import type { SqlError } from '@wisterialift/mysql';
import type { NotRunReason, RequestOutcome, UnknownOutcomeReason } from '@wisterialift/schema';

/**
 * Codes of the errors that the proxy itself sends to callers:
 *
 * - `notRun` (9101): no database ran the request.
 * - `unknown` (9102): the request may or may not have run.
 * - `discarded` (9103): the request has no effect; anything it did was rolled back.
 *
 * The other codes refuse a login or a command before a request is submitted, or close a connection.
 * `unknownStatement` is also sent for a prepare answer that was not requested.
 *
 * @public
 */
export const callerErrorCode = {
  notRun: 9101,
  unknown: 9102,
  discarded: 9103,
  groupNotAllowed: 1044,
  accessDenied: 1045,
  noGroupSelected: 1046,
  unknownCommand: 1047,
  unknownGroup: 1049,
  inTransaction: 1179,
  unknownVariable: 1193,
  connectionLimit: 1226,
  wrongValue: 1231,
  unsupported: 1235,
  unknownStatement: 1243,
} as const;

type CodeName = keyof typeof callerErrorCode;

const sqlStateByName: Record<CodeName, string> = {
  notRun: '08004',
  unknown: '08007',
  discarded: '40000',
  groupNotAllowed: '42000',
  accessDenied: '28000',
  noGroupSelected: '3D000',
  unknownCommand: '08S01',
  unknownGroup: '42000',
  inTransaction: '25000',
  unknownVariable: 'HY000',
  connectionLimit: '42000',
  wrongValue: '42000',
  unsupported: '42000',
  unknownStatement: 'HY000',
};

/** @internal */
export function createCallerError(name: CodeName, message: string): SqlError {
  return { code: callerErrorCode[name], state: sqlStateByName[name], message };
}

const textByNotRunReason: Record<NotRunReason, string> = {
  overloaded: 'too much work is waiting',
  deadline: 'it could not start within its deadline',
  noPrimary: 'the group has no primary that a majority of its members follows',
  noFreshMember: 'no member has the data that this session must see',
  unknownGroup: 'the group is not part of the configuration',
  refusedByDatabase: 'the database refused it before running it',
  stopping: 'this proxy is stopping; connect again',
};

const textByUnknownReason: Record<UnknownOutcomeReason, string> = {
  connectionLost: 'the connection to the database ended before its answer',
  deadline: 'no confirmation within its deadline',
  primaryReplaced: 'the primary that ran it was replaced',
  stopping: 'this proxy stopped before the answer',
};

type FailedOutcome = Exclude<RequestOutcome, { status: 'done' }>;

const textByStatus: {
  [Status in FailedOutcome['status']]: (
    outcome: Extract<FailedOutcome, { status: Status }>,
  ) => string;
} = {
  notRun: ({ reason }) => `Not run: ${textByNotRunReason[reason]}`,
  unknown: ({ reason }) =>
    `Outcome unknown, it may or may not have run: ${textByUnknownReason[reason]}`,
  discarded: () => 'Discarded: nothing of it remains',
};

/** Creates the error for a request whose outcome is not `done`. @internal */
export function createOutcomeError(outcome: FailedOutcome): SqlError {
  const formatOutcome = textByStatus[outcome.status] as (outcome: FailedOutcome) => string;
  const retry = `retry after ${outcome.retryAfterMilliseconds} ms`;
  return createCallerError(outcome.status, `${formatOutcome(outcome)}; ${retry}`);
}
