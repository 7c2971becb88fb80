/** @internal */
export type ControlRequestKind = 'status' | 'fence' | 'promote' | 'follow' | 'nameVoters';

/** @internal */
export interface ControlRequest {
  questionId: number;
  kind: ControlRequestKind;
  member: string;
  sentAt: number;
  /** The same on the age clock. */
  askedAt: number;
}

/** Control requests that have not completed. @internal */
export interface ControlRequestTable {
  /** Returns the identifier that the next request will get, without reserving it. */
  peekNextId: () => number;
  add: (request: Omit<ControlRequest, 'questionId'>) => ControlRequest;
  /** Removes and returns the request; undefined if it has completed or timed out. */
  take: (questionId: number) => ControlRequest | undefined;
  /** Removes and returns the requests sent at or before the given time, oldest first. */
  takeSentBy: (time: number) => ControlRequest[];
  getOldestSentAt: () => number | undefined;
  /** Number of open status requests to the member. */
  countOpen: (member: string) => number;
}

/**
 * Creates the table of open control requests.
 *
 * Identifiers increase by one, so that comparing them orders requests without relying on a clock.
 *
 * @internal
 */
export function createControlRequestTable(): ControlRequestTable {
  let lastId = 0;
  const open = new Map<number, ControlRequest>();
  const openStatusRequests = new Map<string, number>();

  function updateOpenCount(request: ControlRequest, change: number): void {
    if (request.kind !== 'status') return;
    openStatusRequests.set(request.member, countOpen(request.member) + change);
  }

  function countOpen(member: string): number {
    return openStatusRequests.get(member) ?? 0;
  }

  function add(draft: Omit<ControlRequest, 'questionId'>): ControlRequest {
    lastId += 1;
    const request = { ...draft, questionId: lastId };
    open.set(lastId, request);
    updateOpenCount(request, 1);
    return request;
  }

  function take(questionId: number): ControlRequest | undefined {
    const request = open.get(questionId);
    if (!request) return undefined;
    open.delete(questionId);
    updateOpenCount(request, -1);
    return request;
  }

  function takeSentBy(time: number): ControlRequest[] {
    const taken: ControlRequest[] = [];
    for (const request of open.values()) {
      if (request.sentAt > time) break;
      taken.push(request);
    }
    taken.forEach(({ questionId }) => take(questionId));
    return taken;
  }

  function getOldestSentAt(): number | undefined {
    const oldest = open.values().next();
    return oldest.done ? undefined : oldest.value.sentAt;
  }

  return {
    peekNextId: () => lastId + 1,
    add,
    take,
    takeSentBy,
    getOldestSentAt,
    countOpen,
  };
}
