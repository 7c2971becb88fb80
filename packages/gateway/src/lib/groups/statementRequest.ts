import type { PreparedStatement, SessionState, UpstreamCommand } from '@wisterialift/pooling';
import { sharedStatementName } from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import type { Route } from '../configuration/gatewayConfiguration';
import type { AskedAt } from './groupContext';

/** What is known of a caller's session in its group. */
export interface GroupSession {
  state: SessionState;
  /** The session's last acknowledged commit, and when its answer was there. */
  lastCommit: { position: Position; seenAt: number } | undefined;
}

/** One statement, or the beginning of a transaction, on its way to a member. */
export interface StatementRequest {
  id: string;
  text: string;
  prepared?: { statement: PreparedStatement; argumentsText: string };
  session: GroupSession;
  route: Route;
  /** Version of the configuration that the route is of. */
  version: number;
  /** When the caller's first byte had arrived. */
  arrived: AskedAt;
  /** Steady time by which it must be answered. */
  deadlineAt: number;
}

/** Whether a statement within a transaction writes. */
export function isWrite({ text, prepared }: StatementRequest): boolean {
  return prepared ? prepared.statement.access === 'write' : text.startsWith('WRITE');
}

/** The command that runs a statement as its caller wrote it. */
export function toCommand(
  { id, text, prepared }: StatementRequest,
  after?: Position,
): UpstreamCommand {
  if (!prepared) return { type: 'forward', id, text, after };
  const { statement, argumentsText } = prepared;
  return { type: 'execute', id, name: sharedStatementName(statement), argumentsText, after };
}
