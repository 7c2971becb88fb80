import { createConnection, type Connection, type ConnectionOptions } from 'mysql2';
import { memberStatusSchema, type MemberStatus } from '@wisterialift/schema';
import type { QuestionFailure } from '@wisterialift/core';
import type { UpstreamAddress } from '../upstream/upstreamConnection';

/** A question or an order to a member about its group. @public */
export type ControlQuestion =
  | { type: 'askStatus' }
  | { type: 'fence'; term: number }
  | { type: 'promote'; term: number }
  | { type: 'follow'; term: number; primary: string; primaryAddress: string };

/** @public */
export type ControlAnswer =
  { type: 'answered'; status: MemberStatus } | { type: 'failed'; reason: QuestionFailure };

/** @public */
export interface GroupControlConnectionOptions {
  address: UpstreamAddress;
  /** Time within which a question is answered, the connection's opening included. */
  timeoutMilliseconds: number;
}

/** Asks one member; its connection opens with the first question and after each failure. @public */
export interface GroupControlConnection {
  ask: (question: ControlQuestion, onAnswer: (answer: ControlAnswer) => void) => void;
  close: () => void;
}

const STATUS_COLUMN = 'status';

const sqlByType: Record<ControlQuestion['type'], (question: never) => string> = {
  askStatus: () => 'SHOW GROUP STATUS',
  fence: ({ term }: { term: number }) => `GROUP FENCE TERM ${term}`,
  promote: ({ term }: { term: number }) => `GROUP PROMOTE TERM ${term}`,
  follow: ({ term, primary, primaryAddress }: FollowQuestion) =>
    `GROUP FOLLOW TERM ${term} PRIMARY '${primary}' AT '${primaryAddress}'`,
};

type FollowQuestion = Extract<ControlQuestion, { type: 'follow' }>;

/**
 * Creates the connection for the questions about a group to one of its members.
 *
 * It is apart from the connections of statements, so that a question finds neither a queue nor a full
 * pool before it: a member that looks silent for want of a connection would be deposed.
 *
 * @public
 */
export function createGroupControlConnection(
  options: GroupControlConnectionOptions,
): GroupControlConnection {
  let connection: Connection | undefined;

  const open = (): Connection => {
    const opened = createConnection(toConnectionOptions(options));
    opened.on('error', () => discard(opened));
    return opened;
  };

  /** A connection with an unanswered question is not used again: its late answer would be another's. */
  function discard(discarded: Connection): void {
    discarded.destroy();
    if (connection === discarded) connection = undefined;
  }

  return {
    ask: (question, onAnswer) => {
      connection ??= open();
      const asked = connection;
      let timer: NodeJS.Timeout | undefined;
      const settle = (answer: ControlAnswer): void => {
        if (!timer) return;
        clearTimeout(timer);
        timer = undefined;
        if (answer.type === 'failed' && answer.reason !== 'refused') discard(asked);
        onAnswer(answer);
      };
      timer = setTimeout(
        () => settle({ type: 'failed', reason: 'timeout' }),
        options.timeoutMilliseconds,
      );
      const sql = sqlByType[question.type](question as never);
      asked.query(sql, (error, rows) => settle(error ? toFailure(error) : toAnswer(rows)));
    },
    close: () => {
      if (connection) discard(connection);
    },
  };
}

function toConnectionOptions(options: GroupControlConnectionOptions): ConnectionOptions {
  const { address, timeoutMilliseconds } = options;
  return { ...address, connectTimeout: timeoutMilliseconds };
}

/** Errors of the database itself carry a number and are not fatal to the connection. */
function toFailure(error: { errno?: number; fatal?: boolean }): ControlAnswer {
  const isRefusal = error.errno !== undefined && error.errno > 0 && !error.fatal;
  return { type: 'failed', reason: isRefusal ? 'refused' : 'unreachable' };
}

function toAnswer(rows: unknown): ControlAnswer {
  const [row] = rows as Record<string, unknown>[];
  const parsed = memberStatusSchema.safeParse(toJson(row?.[STATUS_COLUMN]));
  // A database that answers something else is no member that can be counted on.
  if (!parsed.success) return { type: 'failed', reason: 'unreachable' };
  return { type: 'answered', status: parsed.data };
}

function toJson(text: unknown): unknown {
  if (typeof text !== 'string') return text;
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
