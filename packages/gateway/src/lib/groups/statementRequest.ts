import type { PreparedStatement, SessionState, UpstreamCommand } from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import type { Route } from '../configuration/gatewayConfiguration';
import type { SequencedTime } from './groupContext';

/** What the statements of a caller's session share. */
export interface GroupSession {
  /** Version of the session's variables, which may be later than that of a waiting statement. */
  stateVersion: number;
  /** Last acknowledged commit of the session and when its answer arrived. */
  lastCommit: { position: Position; seenAt: number } | undefined;
}

/** A statement, or the start of a transaction, to be sent to a member. */
export interface StatementRequest {
  id: string;
  text: string;
  prepared?: { statement: PreparedStatement; argumentsText: string };
  session: GroupSession;
  /** Variables of the session at the arrival of the statement, with which every attempt runs. */
  sessionState: SessionState;
  /** Name of the caller's team, under which the statement runs; undefined if it belongs to none. */
  team?: string;
  /** Digest of the caller's key; undefined if it presented none or another instance checked it. */
  keyDigest?: string;
  route: Route;
  /** Version of the configuration that contains the route. */
  configurationVersion: number;
  /** When the statement arrived. */
  arrivalStamp: SequencedTime;
  /** Deadline for the answer, in milliseconds of the monotonic clock. */
  deadlineAt: number;
}

/** Whether a statement within a transaction writes. */
export function isWrite({ text, prepared }: StatementRequest): boolean {
  return prepared ? prepared.statement.access === 'write' : text.startsWith('WRITE');
}

/** Creates the command that runs a statement unchanged. */
export function toCommand(
  { id, text, prepared }: StatementRequest,
  after?: Position,
): UpstreamCommand {
  if (!prepared) return { type: 'forward', id, text, after };
  return { type: 'execute', id, ...prepared, after };
}
