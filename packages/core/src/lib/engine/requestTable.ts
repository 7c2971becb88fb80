import type { Position } from '@wisterialift/schema';
import { createHeap } from '../admission/heap';
import type { FloorRound } from '../reads/floorRounds';
import type { Member } from './memberTable';
import type { EngineRequest } from './messages';

/**
 * Where a request stands.
 *
 * - `looking`: its floor round has no floor yet.
 * - `queued`: it waits for a member with a place that may serve it.
 * - `running`: an attempt was sent.
 * - `held`: the database has answered, a majority has not confirmed yet.
 *
 * @internal
 */
export type RequestPhase = 'looking' | 'queued' | 'running' | 'held';

/** A request that has no final answer yet. @internal */
export interface TrackedRequest extends EngineRequest {
  phase: RequestPhase;
  /** Number of the last attempt; 0 before the first one. */
  attempt: number;
  /** Member that the last attempt was sent to; it may have left the group since. */
  member: Member | undefined;
  /** Term of the primary that it was sent to. */
  term: number;
  startedAt: number;
  round: FloorRound | undefined;
  /** An attempt may have run; it was not refused. */
  mayHaveRun: boolean;
  /** An attempt was ended because its member had gone silent. */
  wasTakenAway: boolean;
  /** Member that failed the last attempt. */
  avoid: string | undefined;
  /** Until then a read rather waits for a replica than goes to the primary. */
  patienceUntil: number | undefined;
  position: Position | undefined;
}

/** @internal */
export interface RequestTable {
  add: (request: EngineRequest) => TrackedRequest;
  get: (requestId: string) => TrackedRequest | undefined;
  delete: (requestId: string) => void;
  values: () => IterableIterator<TrackedRequest>;
  /** Wakes the engine for the request at a time other than its deadline. */
  wakeAt: (request: TrackedRequest, at: number) => void;
  /** Takes one open request whose deadline or other wake-up time has come. */
  takeDue: (now: number) => TrackedRequest | undefined;
  nextDueAt: () => number;
}

interface DueRequest {
  at: number;
  request: TrackedRequest;
}

/**
 * Creates the table of open requests. The due times of answered ones stay in the heap until they
 * surface, so that answering costs the same however many requests are open.
 *
 * @internal
 */
export function createRequestTable(): RequestTable {
  const requests = new Map<string, TrackedRequest>();
  const due = createHeap<DueRequest>((left, right) => left.at - right.at);

  function add(request: EngineRequest): TrackedRequest {
    // Written out: spreading the request costs several times as much on every statement.
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
      startedAt: request.arrivedAt,
      round: undefined,
      mayHaveRun: false,
      wasTakenAway: false,
      avoid: undefined,
      patienceUntil: undefined,
      position: undefined,
    };
    requests.set(request.requestId, tracked);
    due.push({ at: request.deadlineAt, request: tracked });
    return tracked;
  }

  function isOpen({ request }: DueRequest): boolean {
    return requests.get(request.requestId) === request;
  }

  function dropAnswered(): DueRequest | undefined {
    let entry = due.peek();
    while (entry && !isOpen(entry)) {
      due.pop();
      entry = due.peek();
    }
    return entry;
  }

  function takeDue(now: number): TrackedRequest | undefined {
    const entry = dropAnswered();
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
    nextDueAt: () => dropAnswered()?.at ?? Number.POSITIVE_INFINITY,
  };
}
