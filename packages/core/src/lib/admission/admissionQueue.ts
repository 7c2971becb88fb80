import { createHeap } from './heap';
import { createServiceEstimate } from './serviceEstimate';

/** What the queue needs to know of a request; times in milliseconds. @public */
export interface QueuedRequest {
  requestId: string;
  caller: string;
  /** Share of a full queue relative to other callers. */
  weight: number;
  /** Higher goes first among the requests of one caller. */
  priority: number;
  deadlineAt: number;
  arrivedAt: number;
}

/** @public */
export type AdmissionOffer<T> =
  | { accepted: true; evicted?: T; retryAfterMilliseconds?: number }
  | { accepted: false; retryAfterMilliseconds: number };

/** @public */
export interface AdmissionQueueOptions {
  /** Requests that may wait at the same time. */
  capacity: number;
}

/** @public */
export interface AdmissionQueue<T extends QueuedRequest> {
  /**
   * Puts a request into the queue, or refuses it at once with when to come back. The request that
   * had to leave for it, if any, is returned as `evicted` and needs its final answer.
   */
  offer: (request: T, now: number) => AdmissionOffer<T>;
  /** Puts a request back that was taken and not run; it is neither refused nor counted again. */
  putBack: (request: T) => void;
  /**
   * Takes the request to run next. Requests that `isEligible` refuses keep their place; each costs
   * one call of it.
   */
  takeNext: (now: number, isEligible?: (request: T) => boolean) => T | undefined;
  /** Takes out every request that can no longer be served by its deadline. */
  expire: (now: number) => T[];
  remove: (requestId: string) => T | undefined;
  length: () => number;
  /** When `expire` has something to return at the latest; undefined while the queue is empty. */
  nextDeadline: () => number | undefined;
  /** @param milliseconds - service time of a request that was taken before. */
  recordCompletion: (milliseconds: number, now: number) => void;
  /** Whole milliseconds after which the present queue should have drained. */
  retryAfter: (now: number) => number;
}

interface Entry<T> {
  request: T;
  sequence: number;
  isQueued: boolean;
}

interface CallerQueue<T> {
  caller: string;
  weight: number;
  /** Virtual time at which the caller's last taken request would have ended at its share. */
  virtualFinish: number;
  length: number;
  /** Highest priority first, then oldest first; removed entries leave when they surface. */
  byService: ReturnType<typeof createHeap<Entry<T>>>;
  /** Lowest priority first, then newest first. */
  byEviction: ReturnType<typeof createHeap<Entry<T>>>;
  isScheduled: boolean;
  /** Breaks ties of virtual time in the order of scheduling. */
  scheduledSequence: number;
}

const MINIMUM_RETRY_AFTER_MILLISECONDS = 10;
const MAXIMUM_RETRY_AFTER_MILLISECONDS = 5_000;
/** Heaps are rebuilt without removed entries once these outnumber the queued ones by this factor. */
const COMPACTION_FACTOR = 2;
const COMPACTION_MINIMUM = 64;
/** Part of a request's whole time that the service estimate may claim at most. */
const MAXIMUM_ALLOWANCE_SHARE = 0.5;

/**
 * Creates a bounded queue that is fair between callers and knows deadlines.
 *
 * Callers share the service by weight (start-time fair queueing on virtual time), so that a greedy
 * caller waits behind itself. Priority orders the requests of one caller: kinds are named by the
 * callers themselves, so priority across callers would let one push out its rivals. A full queue
 * takes the place from the caller that holds most for its weight.
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
  const estimate = createServiceEstimate();
  const entries = new Map<string, Entry<T>>();
  const callers = new Map<string, CallerQueue<T>>();
  const schedule = createHeap<CallerQueue<T>>(
    (left, right) =>
      left.virtualFinish - right.virtualFinish || left.scheduledSequence - right.scheduledSequence,
  );
  const deadlines = createHeap<Entry<T>>(
    (left, right) => left.request.deadlineAt - right.request.deadlineAt,
  );
  let virtualNow = 0;
  let sequence = 0;
  let queuedWeight = 0;

  const nextSequence = () => {
    sequence += 1;
    return sequence;
  };

  const createCallerQueue = (request: T): CallerQueue<T> => ({
    caller: request.caller,
    weight: request.weight,
    virtualFinish: virtualNow,
    length: 0,
    byService: createHeap<Entry<T>>(compareForService),
    byEviction: createHeap<Entry<T>>((left, right) => compareForService(right, left)),
    isScheduled: false,
    scheduledSequence: 0,
  });

  const callerQueueOf = (request: T): CallerQueue<T> => {
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
    queue.scheduledSequence = nextSequence();
    // A caller that was away earns nothing for it: else it would hold the service for a long time.
    queue.virtualFinish = Math.max(queue.virtualFinish, virtualNow);
    schedule.push(queue);
  };

  const insert = (request: T, place: number) => {
    const entry: Entry<T> = { request, sequence: place, isQueued: true };
    const queue = callerQueueOf(request);
    entries.set(request.requestId, entry);
    if (queue.length === 0) {
      queue.weight = request.weight;
      queuedWeight += queue.weight;
    }
    queue.length += 1;
    queue.byService.push(entry);
    queue.byEviction.push(entry);
    deadlines.push(entry);
    scheduleCaller(queue.caller);
  };

  const compact = (heap: ReturnType<typeof createHeap<Entry<T>>>, queued: number) => {
    if (heap.size() < COMPACTION_MINIMUM) return;
    if (heap.size() > COMPACTION_FACTOR * queued) heap.retain(({ isQueued }) => isQueued);
  };

  const detach = ({ request: { requestId } }: Entry<T>): T => {
    const entry = entries.get(requestId)!;
    const queue = callers.get(entry.request.caller)!;
    entry.isQueued = false;
    entries.delete(requestId);
    queue.length -= 1;
    if (queue.length === 0) queuedWeight -= queue.weight;
    compact(queue.byService, queue.length);
    compact(queue.byEviction, queue.length);
    compact(deadlines, entries.size);
    return entry.request;
  };

  const latestStart = ({ deadlineAt, arrivedAt }: T): number => {
    // One slow spell must not make every later request look hopeless: without a completion the
    // estimate would never come down again. A fresh request always has a start in the future.
    const largestAllowance = (deadlineAt - arrivedAt) * MAXIMUM_ALLOWANCE_SHARE;
    return deadlineAt - Math.min(estimate.allowance(), largestAllowance);
  };

  const expectedWait = (request: T): number => {
    const queue = callers.get(request.caller);
    if (!queue || queue.length === 0) return 0;
    const turns = (queue.length * queuedWeight) / queue.weight;
    return turns * estimate.completionInterval();
  };

  const retryAfter = (): number =>
    Math.ceil(
      Math.min(
        Math.max(entries.size * estimate.completionInterval(), MINIMUM_RETRY_AFTER_MILLISECONDS),
        MAXIMUM_RETRY_AFTER_MILLISECONDS,
      ),
    );

  const lowestOf = (queue: CallerQueue<T> | undefined): Entry<T> | undefined => {
    if (!queue) return undefined;
    dropRemoved(queue.byEviction);
    return queue.byEviction.peek();
  };

  const largestCaller = (): CallerQueue<T> | undefined => {
    let largest: CallerQueue<T> | undefined;
    callers.forEach((queue) => {
      if (!largest || queue.length / queue.weight > largest.length / largest.weight) {
        largest = queue;
      }
    });
    return largest;
  };

  const findVictim = (request: T): Entry<T> | undefined => {
    const own = callers.get(request.caller);
    const largest = largestCaller();
    if (!largest) return undefined;
    const ownShare = ((own?.length ?? 0) + 1) / request.weight;
    if (largest !== own && ownShare <= (largest.length - 1) / largest.weight) {
      return lowestOf(largest);
    }
    const lowest = lowestOf(own);
    return lowest && lowest.request.priority < request.priority ? lowest : undefined;
  };

  const offer = (request: T, now: number): AdmissionOffer<T> => {
    // Waiting for a certain refusal would only cost the caller its time.
    if (now + expectedWait(request) > latestStart(request)) {
      return { accepted: false, retryAfterMilliseconds: retryAfter() };
    }
    if (entries.size < capacity) {
      insert(request, nextSequence());
      return { accepted: true };
    }
    const victim = findVictim(request);
    if (!victim) return { accepted: false, retryAfterMilliseconds: retryAfter() };
    const evicted = detach(victim);
    insert(request, nextSequence());
    return { accepted: true, evicted, retryAfterMilliseconds: retryAfter() };
  };

  const takeFromCaller = (
    queue: CallerQueue<T>,
    now: number,
    isEligible: (request: T) => boolean,
  ): T | undefined => {
    const passedOver: Entry<T>[] = [];
    let taken: T | undefined;
    while (taken === undefined) {
      dropRemoved(queue.byService);
      const entry = queue.byService.pop();
      if (!entry) break;
      if (now <= latestStart(entry.request) && isEligible(entry.request)) {
        taken = detach(entry);
      } else {
        passedOver.push(entry);
      }
    }
    passedOver.forEach((entry) => queue.byService.push(entry));
    return taken;
  };

  const takeNext = (now: number, isEligible: (request: T) => boolean = () => true) => {
    const passedOver: CallerQueue<T>[] = [];
    let taken: T | undefined;
    while (taken === undefined) {
      const queue = schedule.pop();
      if (!queue) break;
      queue.isScheduled = false;
      if (queue.length === 0) continue;
      taken = takeFromCaller(queue, now, isEligible);
      if (taken === undefined) {
        passedOver.push(queue);
      } else {
        virtualNow = Math.max(virtualNow, queue.virtualFinish);
        queue.virtualFinish += 1 / queue.weight;
        if (queue.length > 0) scheduleCaller(queue.caller);
      }
    }
    passedOver.forEach(({ caller }) => scheduleCaller(caller));
    return taken;
  };

  const expire = (now: number): T[] => {
    const expired: T[] = [];
    for (;;) {
      dropRemoved(deadlines);
      const entry = deadlines.peek();
      if (!entry || now <= latestStart(entry.request)) return expired;
      deadlines.pop();
      expired.push(detach(entry));
    }
  };

  const remove = (requestId: string) => {
    const entry = entries.get(requestId);
    return entry && detach(entry);
  };

  const nextDeadline = () => {
    dropRemoved(deadlines);
    const entry = deadlines.peek();
    return entry && latestStart(entry.request);
  };

  return {
    offer,
    putBack: (request) => insert(request, 0),
    takeNext,
    expire,
    remove,
    length: () => entries.size,
    nextDeadline,
    recordCompletion: (milliseconds, now) => {
      estimate.recordCompletion(milliseconds, now, entries.size > 0);
    },
    retryAfter,
  };
}

function compareForService<T extends QueuedRequest>(left: Entry<T>, right: Entry<T>): number {
  if (left.request.priority !== right.request.priority) {
    return right.request.priority - left.request.priority;
  }
  return left.sequence - right.sequence;
}

function dropRemoved<T>(heap: ReturnType<typeof createHeap<Entry<T>>>): void {
  while (heap.peek()?.isQueued === false) heap.pop();
}
