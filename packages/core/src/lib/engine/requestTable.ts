import type { Position } from '@wisterialift/schema';
import { createHeap } from '../admission/heap';
import type { FloorRound } from '../reads/floorRounds';
import type { Member } from './memberTable';
import type { EngineRequest } from './messages';

/**
 * State of an open request.
 *
 * - `awaitingFloor`: the minimum position for the read or transaction is not known yet.
 * - `queued`: waiting for a suitable member with free capacity.
 * - `running`: an attempt has been sent.
 * - `awaitingConfirmation`: the database has completed the write, but a majority has not confirmed it.
 *
 * @internal
 */
export type RequestPhase = 'awaitingFloor' | 'queued' | 'running' | 'awaitingConfirmation';

/** An open request. @internal */
export interface TrackedRequest extends EngineRequest {
  phase: RequestPhase;
  /** Number of the last attempt; 0 before the first. */
  attempt: number;
  /** Target of the last attempt; it may have been removed from the group since. */
  member: Member | undefined;
  /** Term of that member when the attempt was sent. */
  term: number;
  /** Time limit, from its arrival to the first deadline. */
  limitMilliseconds: number;
  /** Start of the last attempt. */
  startedAt: number;
  /** When the first and the last part of the last attempt's response were forwarded, if any. */
  answer: { firstAt: number; lastAt: number } | undefined;
  round: FloorRound | undefined;
  /**
   * Whether an earlier attempt ended without a known result, or completed but is unconfirmed.
   */
  hasPossiblyRun: boolean;
  /** Whether an attempt was cancelled because its member stopped responding. */
  hasCancelledAttempt: boolean;
  /** Member that failed the last attempt. */
  avoidedMember: string | undefined;
  /** Until this time, a read waits for a replica instead of using the primary. */
  waitForReplicaUntil: number | undefined;
  /** Position of the log entry that the completed attempt wrote, if known. */
  position: Position | undefined;
}

/** @internal */
export interface RequestTable {
  add: (request: EngineRequest) => TrackedRequest;
  get: (requestId: string) => TrackedRequest | undefined;
  delete: (requestId: string) => void;
  values: () => IterableIterator<TrackedRequest>;
  /** Adds a wake-up time besides the deadline. */
  wakeAt: (request: TrackedRequest, at: number) => void;
  /** Removes one due time and returns its request; undefined if none is due. */
  takeDue: (now: number) => TrackedRequest | undefined;
  getNextDueAt: () => number;
}

interface DueRequest {
  at: number;
  request: TrackedRequest;
}

/**
 * Creates the table of open requests.
 *
 * Due times of completed requests are removed lazily, so that completion takes constant time.
 *
 * @internal
 */
export function createRequestTable(): RequestTable {
  const requests = new Map<string, TrackedRequest>();
  const due = createHeap<DueRequest>((left, right) => left.at - right.at);

  function add(request: EngineRequest): TrackedRequest {
    // Listed one by one because spreading is slower, and this runs for every statement.
    const tracked: TrackedRequest = {
      requestId: request.requestId,
      caller: request.caller,
      weight: request.weight,
      kind: request.kind,
      access: request.access,
      token: request.token,
      maximumStalenessMilliseconds: request.maximumStalenessMilliseconds,
      arrivedAt: request.arrivedAt,
      deadlineAt: request.deadlineAt,
      priority: request.priority,
      isRepeatable: request.isRepeatable,
      transactionId: request.transactionId,
      phase: 'queued',
      attempt: 0,
      member: undefined,
      term: 0,
      limitMilliseconds: request.deadlineAt - request.arrivedAt,
      startedAt: request.arrivedAt,
      answer: undefined,
      round: undefined,
      hasPossiblyRun: false,
      hasCancelledAttempt: false,
      avoidedMember: undefined,
      waitForReplicaUntil: undefined,
      position: undefined,
    };
    requests.set(request.requestId, tracked);
    due.push({ at: request.deadlineAt, request: tracked });
    return tracked;
  }

  function isOpen({ request }: DueRequest): boolean {
    return requests.get(request.requestId) === request;
  }

  function peekOpen(): DueRequest | undefined {
    let entry = due.peek();
    while (entry && !isOpen(entry)) {
      due.pop();
      entry = due.peek();
    }
    return entry;
  }

  function takeDue(now: number): TrackedRequest | undefined {
    const entry = peekOpen();
    if (!entry || entry.at > now) return undefined;
    due.pop();
    return entry.request;
  }

  return {
    add,
    get: (requestId) => requests.get(requestId),
    delete: (requestId) => {
      requests.delete(requestId);
    },
    values: () => requests.values(),
    wakeAt: (request, at) => due.push({ at, request }),
    takeDue,
    getNextDueAt: () => peekOpen()?.at ?? Number.POSITIVE_INFINITY,
  };
}
