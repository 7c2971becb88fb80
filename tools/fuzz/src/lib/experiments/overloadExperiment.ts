import { createAdmissionQueue, type QueuedRequest } from '@wisterialift/core';
import { createRandom } from '../simulation/random';
import { createScheduler } from '../simulation/scheduler';

/** @public */
export interface OverloadFigures {
  /** Requests answered by their deadline, for each second. */
  goodput: number;
  /** Share of the nine modest callers' requests that were answered by their deadline. */
  modestShare: number;
  /** Mean wait of a request until it was told that it is not served, in milliseconds. */
  refusalWait: number;
}

/** The part of a queue that the experiment needs; both ways offer it. */
interface WaitingLine {
  offer: (request: QueuedRequest, now: number) => QueuedRequest | undefined;
  take: (now: number) => QueuedRequest | undefined;
  expire: (now: number) => QueuedRequest[];
  complete: (milliseconds: number, now: number) => void;
}

const SLOTS = 5;
const SERVICE_MILLISECONDS = 10;
const CAPACITY_A_SECOND = (SLOTS * 1_000) / SERVICE_MILLISECONDS;
const DEADLINE_MILLISECONDS = 500;
const QUEUE_LENGTH = 1_000;
const RUN_MILLISECONDS = 30_000;
const MODEST_CALLERS = 9;
/** Part of the capacity that the modest callers ask for together. */
const MODEST_LOAD = 0.4;

const lines = {
  /** Baseline: first in, first out, bounded, without deadlines. */
  firstInFirstOut: (): WaitingLine => {
    const queue: QueuedRequest[] = [];
    return {
      offer: (request) => {
        if (queue.length >= QUEUE_LENGTH) return request;
        queue.push(request);
        return undefined;
      },
      take: () => queue.shift(),
      expire: () => [],
      complete: () => {},
    };
  },
  fairWithDeadlines: (): WaitingLine => {
    const queue = createAdmissionQueue({ capacity: QUEUE_LENGTH });
    return {
      offer: (request, now) => {
        const result = queue.offer(request, now);
        return result.accepted ? result.evicted : request;
      },
      take: (now) => queue.takeNext(now),
      expire: queue.expire,
      complete: queue.recordCompletion,
    };
  },
};

/**
 * Puts a load on one database of five slots: nine callers ask for 40% of its capacity together, a
 * tenth one for the rest of the load.
 *
 * @param load - requests in proportion to the capacity.
 * @public
 */
export function runOverload(way: keyof typeof lines, load: number, seed: number): OverloadFigures {
  const random = createRandom(seed);
  const scheduler = createScheduler();
  const line = lines[way]();
  const counts = { good: 0, modest: 0, modestGood: 0, refused: 0, refusalWait: 0 };
  let running = 0;
  let sequence = 0;

  const refuse = (request: QueuedRequest) => {
    counts.refused += 1;
    counts.refusalWait += scheduler.now() - request.arrivedAt;
  };

  const finish = (request: QueuedRequest, startedAt: number) => {
    running -= 1;
    line.complete(scheduler.now() - startedAt, scheduler.now());
    if (scheduler.now() <= request.deadlineAt) {
      counts.good += 1;
      if (request.caller !== 'greedy') counts.modestGood += 1;
    } else {
      refuse(request);
    }
    serve();
  };

  function serve() {
    line.expire(scheduler.now()).forEach(refuse);
    while (running < SLOTS) {
      const request = line.take(scheduler.now());
      if (!request) return;
      const startedAt = scheduler.now();
      running += 1;
      scheduler.after(random.exponential(SERVICE_MILLISECONDS), () => finish(request, startedAt));
    }
  }

  const arrive = (caller: string, ratePerSecond: number) => {
    scheduler.after(random.exponential(1_000 / ratePerSecond), () => {
      sequence += 1;
      const now = scheduler.now();
      const request = {
        requestId: String(sequence),
        caller,
        weight: 1,
        priority: 5,
        arrivedAt: now,
        deadlineAt: now + DEADLINE_MILLISECONDS,
      };
      if (caller !== 'greedy') counts.modest += 1;
      const turnedAway = line.offer(request, now);
      if (turnedAway) refuse(turnedAway);
      serve();
      arrive(caller, ratePerSecond);
    });
  };

  const modestRate = (CAPACITY_A_SECOND * MODEST_LOAD) / MODEST_CALLERS;
  for (let index = 0; index < MODEST_CALLERS; index += 1) arrive(`modest-${index}`, modestRate);
  arrive('greedy', CAPACITY_A_SECOND * (load - MODEST_LOAD));
  scheduler.runUntil(RUN_MILLISECONDS);
  return {
    goodput: Math.round((counts.good * 1_000) / RUN_MILLISECONDS),
    modestShare: round(counts.modestGood / counts.modest),
    refusalWait: Math.round(counts.refusalWait / Math.max(1, counts.refused)),
  };
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
