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

/** A status request or a role command for a group member. @public */
export type ControlQuestion =
  | { type: 'askStatus' }
  | { type: 'fence'; term: number }
  | { type: 'promote'; term: number }
  | { type: 'follow'; term: number; primary: string; primaryAddress: string };

/** @public */
export type ControlResponse =
  { type: 'answered'; status: MemberStatus } | { type: 'failed'; reason: QuestionFailure };

/** @public */
export interface GroupControlConnectionOptions {
  address: UpstreamAddress;
  /** Time limit for a request, including the time to connect. */
  timeoutMilliseconds: number;
}

/** Sends requests to one member; connects on demand, and again after a failure. @public */
export interface GroupControlConnection {
  ask: (request: ControlQuestion, onAnswer: (answer: ControlResponse) => void) => void;
  close: () => void;
}

interface PendingRequest {
  payload: Buffer;
  timer: NodeJS.Timeout;
  onAnswer: (answer: ControlResponse) => void;
}

type SqlByType = {
  [Type in ControlQuestion['type']]: (request: Extract<ControlQuestion, { type: Type }>) => string;
};

const sqlByType: SqlByType = {
  askStatus: () => 'SHOW GROUP STATUS',
  fence: ({ term }) => `GROUP FENCE TERM ${term}`,
  promote: ({ term }) => `GROUP PROMOTE TERM ${term}`,
  follow: ({ term, primary, primaryAddress }) =>
    `GROUP FOLLOW TERM ${term} PRIMARY '${primary}' AT '${primaryAddress}'`,
};

/**
 * Creates the control connection to one member of a group.
 *
 * It is separate from the statement pool: a full pool would delay status requests, and the member
 * would be considered failed and replaced as primary.
 *
 * @public
 */
export function createGroupControlConnection(
  options: GroupControlConnectionOptions,
): GroupControlConnection {
  const { address, timeoutMilliseconds } = options;
  const statusReader = createStatusReader();
  let connection: UpstreamConnection | undefined;
  let queue: PendingRequest[] = [];
  let pending: PendingRequest | undefined;

  function open(): void {
    const opened: UpstreamConnection = createUpstreamConnection({
      address,
      connectTimeoutMilliseconds: timeoutMilliseconds,
      onOpened: () => sendNext(),
      onOpenFailed: () => handleClosed(opened),
      onClosed: () => handleClosed(opened),
    });
    connection = opened;
  }

  function handleClosed(ended: UpstreamConnection): void {
    if (connection === ended) failAll('unreachable');
  }

  /** Closes the connection as well, since a late response could be matched to a later request. */
  function failAll(reason: QuestionFailure): void {
    const failed = pending ? [pending, ...queue] : queue;
    const discarded = connection;
    connection = undefined;
    pending = undefined;
    queue = [];
    discarded?.destroy();
    failed.forEach((request) => complete(request, { type: 'failed', reason }));
  }

  function complete({ timer, onAnswer }: PendingRequest, answer: ControlResponse): void {
    clearTimeout(timer);
    onAnswer(answer);
  }

  function sendNext(): void {
    if (pending || !connection?.isOpen) return;
    const request = queue.shift();
    if (!request) return;
    pending = request;
    const frames: Buffer[] = [];
    connection.run(
      { type: 'query', payload: request.payload },
      {
        onFrames: (part) => frames.push(...part),
        onAnswered: (answer) => onAnswered(request, [...frames, ...answer.frames], answer),
        onLost: () => {},
      },
    );
  }

  function onAnswered(request: PendingRequest, frames: Buffer[], answer: CompletedAnswer): void {
    if (pending !== request) return;
    pending = undefined;
    complete(request, toControlResponse(frames, answer));
    sendNext();
  }

  function toControlResponse(frames: Buffer[], { final }: CompletedAnswer): ControlResponse {
    if (final.type === 'error') return { type: 'failed', reason: 'refused' };
    const text = readSingleValue(frames);
    const status = text && statusReader.read(text);
    // A database that sends no valid status is treated as unreachable.
    return status ? { type: 'answered', status } : { type: 'failed', reason: 'unreachable' };
  }

  return {
    ask: (request, onAnswer) => {
      const timer = setTimeout(() => failAll('timeout'), timeoutMilliseconds);
      queue.push({ payload: encodeRequest(request), timer, onAnswer });
      if (!connection) open();
      sendNext();
    },
    close: () => failAll('unreachable'),
  };
}

const STATUS_PAYLOAD = encodeQuery(sqlByType.askStatus({ type: 'askStatus' }));

function encodeRequest(request: ControlQuestion): Buffer {
  if (request.type === 'askStatus') return STATUS_PAYLOAD;
  const toSql = sqlByType[request.type] as (request: ControlQuestion) => string;
  return encodeQuery(toSql(request));
}

function encodeQuery(sql: string): Buffer {
  return Buffer.concat([Buffer.from([commandCode.query]), Buffer.from(sql)]);
}
