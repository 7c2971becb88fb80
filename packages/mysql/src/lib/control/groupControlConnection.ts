import type { QuestionFailure } from '@wisterialift/core';
import type { MemberStatus } from '@wisterialift/schema';
import { commandCode } from '../protocol/constants';
import {
  createUpstreamConnection,
  type UpstreamAddress,
  type UpstreamConnection,
} from '../upstream/upstreamConnection';
import type { CompletedAnswer } from '../upstream/upstreamStatement';
import { readSingleValue } from './singleValue';
import { createStatusReader } from './statusReader';

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

/** A question that has no answer yet. */
interface OpenQuestion {
  payload: Buffer;
  timer: NodeJS.Timeout;
  onAnswer: (answer: ControlAnswer) => void;
}

type SqlByType = {
  [Type in ControlQuestion['type']]: (question: Extract<ControlQuestion, { type: Type }>) => string;
};

const sqlByType: SqlByType = {
  askStatus: () => 'SHOW GROUP STATUS',
  fence: ({ term }) => `GROUP FENCE TERM ${term}`,
  promote: ({ term }) => `GROUP PROMOTE TERM ${term}`,
  follow: ({ term, primary, primaryAddress }) =>
    `GROUP FOLLOW TERM ${term} PRIMARY '${primary}' AT '${primaryAddress}'`,
};

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
  const { address, timeoutMilliseconds } = options;
  const statuses = createStatusReader();
  let connection: UpstreamConnection | undefined;
  let waiting: OpenQuestion[] = [];
  let asked: OpenQuestion | undefined;

  function open(): void {
    const opened: UpstreamConnection = createUpstreamConnection({
      address,
      connectTimeoutMilliseconds: timeoutMilliseconds,
      onOpened: () => askNext(),
      onOpenFailed: () => onEnded(opened),
      onClosed: () => onEnded(opened),
    });
    connection = opened;
  }

  /** A connection with an unanswered question is not used again: its late answer would be another's. */
  function onEnded(ended: UpstreamConnection): void {
    if (connection === ended) discard('unreachable');
  }

  function discard(reason: QuestionFailure): void {
    const failed = asked ? [asked, ...waiting] : waiting;
    const discarded = connection;
    connection = undefined;
    asked = undefined;
    waiting = [];
    discarded?.destroy();
    failed.forEach((question) => settle(question, { type: 'failed', reason }));
  }

  function settle({ timer, onAnswer }: OpenQuestion, answer: ControlAnswer): void {
    clearTimeout(timer);
    onAnswer(answer);
  }

  function askNext(): void {
    if (asked || !connection?.isOpen) return;
    const question = waiting.shift();
    if (!question) return;
    asked = question;
    const frames: Buffer[] = [];
    connection.run(
      { type: 'query', payload: question.payload },
      {
        onFrames: (part) => frames.push(...part),
        onAnswered: (answer) => onAnswered(question, [...frames, ...answer.frames], answer),
        onLost: () => {},
      },
    );
  }

  function onAnswered(question: OpenQuestion, frames: Buffer[], answer: CompletedAnswer): void {
    if (asked !== question) return;
    asked = undefined;
    settle(question, toAnswer(frames, answer));
    askNext();
  }

  function toAnswer(frames: Buffer[], { final }: CompletedAnswer): ControlAnswer {
    if (final.type === 'error') return { type: 'failed', reason: 'refused' };
    const text = readSingleValue(frames);
    const status = text && statuses.read(text);
    // A database that answers something else is no member that can be counted on.
    return status ? { type: 'answered', status } : { type: 'failed', reason: 'unreachable' };
  }

  return {
    ask: (question, onAnswer) => {
      const timer = setTimeout(() => discard('timeout'), timeoutMilliseconds);
      waiting.push({ payload: encodeQuestion(question), timer, onAnswer });
      if (!connection) open();
      askNext();
    },
    close: () => discard('unreachable'),
  };
}

const statusPayload = encodeQuery(sqlByType.askStatus({ type: 'askStatus' }));

function encodeQuestion(question: ControlQuestion): Buffer {
  if (question.type === 'askStatus') return statusPayload;
  const sqlOf = sqlByType[question.type] as (question: ControlQuestion) => string;
  return encodeQuery(sqlOf(question));
}

function encodeQuery(sql: string): Buffer {
  return Buffer.concat([Buffer.from([commandCode.query]), Buffer.from(sql)]);
}
