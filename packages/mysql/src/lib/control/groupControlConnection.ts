import type { ControlRequestFailureReason } from '@wisterialift/core';
import type { MemberStatus, Position } from '@wisterialift/schema';
import { encodeQuery } from '../protocol/query';
import { readSingleValue } from '../protocol/singleValue';
import { encodeLiteral } from '../protocol/sqlLiteral';
import {
  createUpstreamConnection,
  type UpstreamAddress,
  type UpstreamConnection,
} from '../upstream/upstreamConnection';
import type { CompletedAnswer } from '../upstream/upstreamStatement';
import { createStatusReader } from './statusReader';

/** A status request or a role command for a group member. @public */
export type ControlQuestion =
  | { type: 'askStatus' }
  | { type: 'fence'; term: number }
  | { type: 'promote'; term: number }
  | { type: 'follow'; term: number; primary: string; primaryAddress: string }
  | { type: 'nameVoters'; term: number; after: Position; incarnations: Record<string, string> };

/** @public */
export type ControlResponse =
  | { type: 'answered'; status: MemberStatus }
  | { type: 'failed'; reason: ControlRequestFailureReason };

/** @public */
export interface GroupControlConnectionOptions {
  address: UpstreamAddress;
  /**
   * Time limit for a request, including the time in the queue and to connect; when it expires, all
   * outstanding requests fail.
   */
  timeoutMilliseconds: number;
}

/** Sends requests to one member; connects on demand, and again after a failure. @public */
export interface GroupControlConnection {
  ask: (request: ControlQuestion, onResponse: (response: ControlResponse) => void) => void;
  /** Closes the connection and fails outstanding requests with `unreachable`. */
  close: () => void;
}

interface PendingRequest {
  payload: Buffer;
  timer: NodeJS.Timeout;
  onResponse: (response: ControlResponse) => void;
}

type SqlBuildersByType = {
  [Type in ControlQuestion['type']]: (request: Extract<ControlQuestion, { type: Type }>) => string;
};

const sqlBuildersByType: SqlBuildersByType = {
  askStatus: () => 'SHOW GROUP STATUS',
  fence: ({ term }) => `GROUP FENCE TERM ${term}`,
  promote: ({ term }) => `GROUP PROMOTE TERM ${term}`,
  follow: ({ term, primary, primaryAddress }) =>
    `GROUP FOLLOW TERM ${term} PRIMARY ${encodeLiteral(primary)} AT ${encodeLiteral(primaryAddress)}`,
  nameVoters: ({ term, after, incarnations }) =>
    `GROUP VOTERS TERM ${term} AFTER TERM ${after.term} INDEX ${after.index} ARE ${encodeLiteral(JSON.stringify(incarnations))}`,
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

  /**
   * Fails all outstanding requests and closes the connection, since a late response could be
   * matched to a later request.
   */
  function failAll(reason: ControlRequestFailureReason): void {
    const failed = pending ? [pending, ...queue] : queue;
    const discarded = connection;
    connection = undefined;
    pending = undefined;
    queue = [];
    discarded?.destroy();
    failed.forEach((request) => complete(request, { type: 'failed', reason }));
  }

  function complete({ timer, onResponse }: PendingRequest, response: ControlResponse): void {
    clearTimeout(timer);
    onResponse(response);
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
        onAnswered: (response) =>
          handleResponse(request, [...frames, ...response.frames], response),
        onLost: () => {},
      },
    );
  }

  function handleResponse(
    request: PendingRequest,
    frames: Buffer[],
    response: CompletedAnswer,
  ): void {
    if (pending !== request) return;
    pending = undefined;
    complete(request, toControlResponse(frames, response, connection?.incarnation ?? ''));
    sendNext();
  }

  function toControlResponse(
    frames: Buffer[],
    { final }: CompletedAnswer,
    incarnation: string,
  ): ControlResponse {
    if (final.type === 'error') return { type: 'failed', reason: 'refused' };
    const text = readSingleValue(frames);
    const status = text && statusReader.read(text);
    // A database that sends no valid status is treated as unreachable.
    if (!status) return { type: 'failed', reason: 'unreachable' };
    return { type: 'answered', status: { ...status, incarnation } };
  }

  return {
    ask: (request, onResponse) => {
      const timer = setTimeout(() => failAll('timeout'), timeoutMilliseconds);
      queue.push({ payload: encodeRequest(request), timer, onResponse });
      if (!connection) open();
      sendNext();
    },
    close: () => failAll('unreachable'),
  };
}

const STATUS_REQUEST_PAYLOAD = encodeQuery(sqlBuildersByType.askStatus({ type: 'askStatus' }));

function encodeRequest(request: ControlQuestion): Buffer {
  if (request.type === 'askStatus') return STATUS_REQUEST_PAYLOAD;
  const toSql = sqlBuildersByType[request.type] as (request: ControlQuestion) => string;
  return encodeQuery(toSql(request));
}
