import { createHeap } from './heap';
import { createServiceStatistics } from './serviceStatistics';

/** Request properties used for scheduling; times in milliseconds. @public */
export interface QueuedRequest {
  requestId: string;
  caller: string;
  /** Share of the service relative to other callers. */
  weight: number;
  /** Requests of one caller are taken in descending priority. */
  priority: number;
  deadlineAt: number;
  arrivedAt: number;
}

/**
 * Result of an offer.
 *
 * `evicted` is the queued request that was removed to make room; `retryAfterMilliseconds` applies to
 * the rejected or evicted request.
 *
 * @public
 */
export type AdmissionResult<T> =
  | { accepted: true; evicted?: T; retryAfterMilliseconds?: number }
  | { accepted: false; retryAfterMilliseconds: number };

/** @public */
export interface AdmissionQueueOptions {
  /** Maximum number of queued requests. */
  capacity: number;
}

/** @public */
export interface AdmissionQueue<T extends QueuedRequest> {
  /**
   * Enqueues a request, or rejects it with a retry delay. An `evicted` request must still be answered.
   */
  offer: (request: T, now: number) => AdmissionResult<T>;
  /** Requeues a request that was taken but not run, ahead of its caller's requests of equal priority. */
  requeue: (request: T) => void;
  /**
   * Removes and returns the next request to run. Requests for which `isEligible` is false keep
   * their position.
   */
  takeNext: (now: number, isEligible?: (request: T) => boolean) => T | undefined;
  /** Removes and returns the requests that can no longer complete by their deadline. */
  expire: (now: number) => T[];
  remove: (requestId: string) => T | undefined;
  length: () => number;
  /**
   * Time in milliseconds after which `expire` removes the request with the earliest deadline; undefined
   * if empty.
   */
  findNextExpiry: () => number | undefined;
  /** @param milliseconds - service time of a completed request. */
  recordCompletion: (milliseconds: number, now: number) => void;
  /** Estimated time until the queue has drained, in whole milliseconds between 10 and 5,000. */
  estimateRetryAfter: (now: number) => number;
}

interface Entry<T> {
  request: T;
  sequence: number;
  isQueued: boolean;
}

interface CallerQueue<T> {
  caller: string;
  weight: number;
  /** Virtual time at which the caller's next request starts; callers are served in this order. */
  virtualStartTime: number;
  length: number;
  /** Highest priority first, then oldest first; may contain removed entries. */
  byServiceOrder: ReturnType<typeof createHeap<Entry<T>>>;
  /** Lowest priority first, then newest first; may contain removed entries. */
  byEvictionOrder: ReturnType<typeof createHeap<Entry<T>>>;
  isScheduled: boolean;
  /** Breaks ties of virtual start time in scheduling order. */
  scheduleSequence: number;
}

const MINIMUM_RETRY_AFTER_MILLISECONDS = 10;
const MAXIMUM_RETRY_AFTER_MILLISECONDS = 5_000;
/** A heap is rebuilt when its size exceeds the number of queued entries by this factor. */
const COMPACTION_FACTOR = 2;
const COMPACTION_MINIMUM = 64;
/** Maximum part of a request's time limit reserved for its execution. */
const MAXIMUM_SERVICE_TIME_FRACTION = 0.5;

/**
 * Creates a bounded, deadline-aware queue with weighted fair queueing between callers.
 *
 * Uses start-time fair queueing. Priority applies only within a caller, because a caller chooses the
 * kind of a request and thereby its priority: across callers, one could push out the others. A full
 * queue evicts from the caller with the most requests per weight.
 *
 * @example
 * ```ts
 * const queue = createAdmissionQueue({ capacity: 1_000 });
 * const offer = queue.offer(request, now);
 * if (!offer.accepted) refuse(request, offer.retryAfterMilliseconds);
 * ```
 * @public
 */
export function createAdmissionQueue<T extends QueuedRequest>({
  capacity,
}: AdmissionQueueOptions): AdmissionQueue<T> {
  const statistics = createServiceStatistics();
  const entries = new Map<string, Entry<T>>();
  const callers = new Map<string, CallerQueue<T>>();
  const schedule = createHeap<CallerQueue<T>>(
    (left, right) =>
      left.virtualStartTime - right.virtualStartTime ||
      left.scheduleSequence - right.scheduleSequence,
  );
  const deadlines = createHeap<Entry<T>>(
    (left, right) => left.request.deadlineAt - right.request.deadlineAt,
  );
  let virtualTime = 0;
  let sequence = 0;
  let activeWeight = 0;

  const nextSequence = () => {
    sequence += 1;
    return sequence;
  };

  const createCallerQueue = (request: T): CallerQueue<T> => ({
    caller: request.caller,
    weight: request.weight,
    virtualStartTime: virtualTime,
    length: 0,
    byServiceOrder: createHeap<Entry<T>>(compareForService),
    byEvictionOrder: createHeap<Entry<T>>((left, right) => compareForService(right, left)),
    isScheduled: false,
    scheduleSequence: 0,
  });

  const getOrCreateCallerQueue = (request: T): CallerQueue<T> => {
    const known = callers.get(request.caller);
    if (known) return known;
    const created = createCallerQueue(request);
    callers.set(request.caller, created);
    return created;
  };

  const scheduleCaller = (caller: string) => {
    const queue = callers.get(caller)!;
    if (queue.isScheduled) return;
    queue.isScheduled = true;
    queue.scheduleSequence = nextSequence();
    // Idle time earns no credit; otherwise a returning caller would monopolize the service.
    queue.virtualStartTime = Math.max(queue.virtualStartTime, virtualTime);
    schedule.push(queue);
  };

  const insert = (request: T, entrySequence: number) => {
    const entry: Entry<T> = { request, sequence: entrySequence, isQueued: true };
    const queue = getOrCreateCallerQueue(request);
    entries.set(request.requestId, entry);
    if (queue.length === 0) {
      queue.weight = request.weight;
      activeWeight += queue.weight;
    }
    queue.length += 1;
    queue.byServiceOrder.push(entry);
    queue.byEvictionOrder.push(entry);
    deadlines.push(entry);
    scheduleCaller(queue.caller);
  };

  const compact = (heap: ReturnType<typeof createHeap<Entry<T>>>, queued: number) => {
    if (heap.size() < COMPACTION_MINIMUM) return;
    if (heap.size() > COMPACTION_FACTOR * queued) heap.retain(({ isQueued }) => isQueued);
  };

  const removeEntry = ({ request: { requestId } }: Entry<T>): T => {
    const entry = entries.get(requestId)!;
    const queue = callers.get(entry.request.caller)!;
    entry.isQueued = false;
    entries.delete(requestId);
    queue.length -= 1;
    if (queue.length === 0) activeWeight -= queue.weight;
    compact(queue.byServiceOrder, queue.length);
    compact(queue.byEvictionOrder, queue.length);
    compact(deadlines, entries.size);
    return entry.request;
  };

  const computeLatestStart = ({ deadlineAt, arrivedAt }: T): number => {
    // The cap keeps new requests startable after slow completions; the estimate can only recover if
    // requests run.
    const maximumServiceTime = (deadlineAt - arrivedAt) * MAXIMUM_SERVICE_TIME_FRACTION;
    return deadlineAt - Math.min(statistics.estimateServiceTimeBound(), maximumServiceTime);
  };

  const estimateWait = (request: T): number => {
    const queue = callers.get(request.caller);
    if (!queue || queue.length === 0) return 0;
    const requestsAhead = (queue.length * activeWeight) / queue.weight;
    return requestsAhead * statistics.estimateCompletionInterval();
  };

  const estimateRetryAfter = (): number =>
    Math.ceil(
      Math.min(
        Math.max(
          entries.size * statistics.estimateCompletionInterval(),
          MINIMUM_RETRY_AFTER_MILLISECONDS,
        ),
        MAXIMUM_RETRY_AFTER_MILLISECONDS,
      ),
    );

  const peekEvictionCandidate = (queue: CallerQueue<T> | undefined): Entry<T> | undefined => {
    if (!queue) return undefined;
    popRemovedEntries(queue.byEvictionOrder);
    return queue.byEvictionOrder.peek();
  };

  const findLargestCaller = (): CallerQueue<T> | undefined => {
    let largest: CallerQueue<T> | undefined;
    callers.forEach((queue) => {
      if (!largest || queue.length / queue.weight > largest.length / largest.weight) {
        largest = queue;
      }
    });
    return largest;
  };

  const findEvictionCandidate = (request: T): Entry<T> | undefined => {
    const own = callers.get(request.caller);
    const largest = findLargestCaller();
    if (!largest) return undefined;
    const ownShare = ((own?.length ?? 0) + 1) / request.weight;
    if (largest !== own && ownShare <= (largest.length - 1) / largest.weight) {
      return peekEvictionCandidate(largest);
    }
    const lowest = peekEvictionCandidate(own);
    return lowest && lowest.request.priority < request.priority ? lowest : undefined;
  };

  const offer = (request: T, now: number): AdmissionResult<T> => {
    // Reject early if the request would expire in the queue.
    if (now + estimateWait(request) > computeLatestStart(request)) {
      return { accepted: false, retryAfterMilliseconds: estimateRetryAfter() };
    }
    if (entries.size < capacity) {
      insert(request, nextSequence());
      return { accepted: true };
    }
    const candidate = findEvictionCandidate(request);
    if (!candidate) return { accepted: false, retryAfterMilliseconds: estimateRetryAfter() };
    const evicted = removeEntry(candidate);
    insert(request, nextSequence());
    return { accepted: true, evicted, retryAfterMilliseconds: estimateRetryAfter() };
  };

  const takeFromCaller = (
    queue: CallerQueue<T>,
    now: number,
    isEligible: (request: T) => boolean,
  ): T | undefined => {
    const skippedEntries: Entry<T>[] = [];
    let taken: T | undefined;
    while (taken === undefined) {
      popRemovedEntries(queue.byServiceOrder);
      const entry = queue.byServiceOrder.pop();
      if (!entry) break;
      if (now <= computeLatestStart(entry.request) && isEligible(entry.request)) {
        taken = removeEntry(entry);
      } else {
        skippedEntries.push(entry);
      }
    }
    skippedEntries.forEach((entry) => queue.byServiceOrder.push(entry));
    return taken;
  };

  const takeNext = (now: number, isEligible: (request: T) => boolean = () => true) => {
    const skippedCallers: CallerQueue<T>[] = [];
    let taken: T | undefined;
    while (taken === undefined) {
      const queue = schedule.pop();
      if (!queue) break;
      queue.isScheduled = false;
      if (queue.length === 0) continue;
      taken = takeFromCaller(queue, now, isEligible);
      if (taken === undefined) {
        skippedCallers.push(queue);
      } else {
        virtualTime = Math.max(virtualTime, queue.virtualStartTime);
        queue.virtualStartTime += 1 / queue.weight;
        if (queue.length > 0) scheduleCaller(queue.caller);
      }
    }
    skippedCallers.forEach(({ caller }) => scheduleCaller(caller));
    return taken;
  };

  const expire = (now: number): T[] => {
    const expired: T[] = [];
    for (;;) {
      popRemovedEntries(deadlines);
      const entry = deadlines.peek();
      if (!entry || now <= computeLatestStart(entry.request)) return expired;
      deadlines.pop();
      expired.push(removeEntry(entry));
    }
  };

  const remove = (requestId: string) => {
    const entry = entries.get(requestId);
    return entry && removeEntry(entry);
  };

  const findNextExpiry = () => {
    popRemovedEntries(deadlines);
    const entry = deadlines.peek();
    return entry && computeLatestStart(entry.request);
  };

  return {
    offer,
    requeue: (request) => insert(request, 0),
    takeNext,
    expire,
    remove,
    length: () => entries.size,
    findNextExpiry,
    recordCompletion: (milliseconds, now) => {
      statistics.recordCompletion(milliseconds, now, entries.size > 0);
    },
    estimateRetryAfter,
  };
}

function compareForService<T extends QueuedRequest>(left: Entry<T>, right: Entry<T>): number {
  if (left.request.priority !== right.request.priority) {
    return right.request.priority - left.request.priority;
  }
  return left.sequence - right.sequence;
}

function popRemovedEntries<T>(heap: ReturnType<typeof createHeap<Entry<T>>>): void {
  while (heap.peek()?.isQueued === false) heap.pop();
}
