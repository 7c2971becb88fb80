import { describe, expect, it } from 'vitest';
import {
  createAdmissionQueue,
  createConnectionShare,
  createRetryBudget,
  createConcurrencyLimit,
  type QueuedRequest,
} from '../index';

const DEADLINE_MILLISECONDS = 1_000;

function createRequest(requestId: string, change: Partial<QueuedRequest> = {}): QueuedRequest {
  const arrivedAt = change.arrivedAt ?? 0;
  return {
    requestId,
    caller: 'a',
    weight: 1,
    priority: 5,
    arrivedAt,
    deadlineAt: arrivedAt + DEADLINE_MILLISECONDS,
    ...change,
  };
}

/** Offers `count` requests of one caller, named `<caller><number>`. */
function fill(
  queue: ReturnType<typeof createAdmissionQueue>,
  caller: string,
  count: number,
  change: Partial<QueuedRequest> = {},
) {
  return Array.from({ length: count }, (unused, index) =>
    queue.offer(createRequest(`${caller}${index}`, { caller, ...change }), 0),
  );
}

function takeAll(queue: ReturnType<typeof createAdmissionQueue>, now = 0): string[] {
  const taken: string[] = [];
  for (let next = queue.takeNext(now); next; next = queue.takeNext(now)) taken.push(next.requestId);
  return taken;
}

describe('admission queue', () => {
  it('shares the service between callers by weight, regardless of arrival order', () => {
    const queue = createAdmissionQueue({ capacity: 100 });
    fill(queue, 'a', 6);
    fill(queue, 'b', 2);
    fill(queue, 'c', 4, { weight: 2 });
    expect(takeAll(queue).join(' ')).toMatchInlineSnapshot(`"a0 b0 c0 c1 a1 b1 c2 c3 a2 a3 a4 a5"`);
  });

  it('orders the requests of one caller by priority without affecting other callers', () => {
    const queue = createAdmissionQueue({ capacity: 100 });
    fill(queue, 'a', 3, { priority: 9 });
    fill(queue, 'b', 1, { priority: 1 });
    queue.offer(createRequest('b-high', { caller: 'b', priority: 2 }), 0);
    expect(takeAll(queue)).toEqual(['a0', 'b-high', 'a1', 'b0', 'a2']);
  });

  it('evicts a request of the largest caller when the queue is full', () => {
    const queue = createAdmissionQueue({ capacity: 4 });
    fill(queue, 'a', 4);
    const offer = queue.offer(createRequest('b0', { caller: 'b' }), 0);
    expect(offer).toMatchObject({ accepted: true, evicted: { requestId: 'a3' } });
    expect(queue.offer(createRequest('a4'), 0)).toMatchObject({ accepted: false });
    const urgent = queue.offer(createRequest('a5', { priority: 6 }), 0);
    expect(urgent).toMatchObject({ accepted: true, evicted: { requestId: 'a2' } });
    expect(queue.length()).toBe(4);
  });

  it('does not start requests that cannot complete by their deadline and expires them', () => {
    const queue = createAdmissionQueue({ capacity: 10 });
    for (let time = 0; time < 100; time += 1) queue.recordCompletion(100, time);
    fill(queue, 'a', 1);
    expect(queue.findNextExpiry()).toBeCloseTo(900, 0);
    expect(queue.takeNext(950)).toBeUndefined();
    expect(queue.expire(950).map(({ requestId }) => requestId)).toEqual(['a0']);
    expect(queue.length()).toBe(0);
  });

  it('still starts new requests after completions slower than any deadline', () => {
    const queue = createAdmissionQueue({ capacity: 10 });
    for (let time = 0; time < 100; time += 1) queue.recordCompletion(60_000, time);
    expect(fill(queue, 'a', 1)).toEqual([{ accepted: true }]);
    expect(queue.takeNext(0)?.requestId).toBe('a0');
  });

  it('rejects requests that would expire in the queue, with a retry delay', () => {
    const queue = createAdmissionQueue({ capacity: 1_000 });
    fill(queue, 'seed', 1);
    for (let time = 0; time <= 400; time += 20) queue.recordCompletion(20, time);
    const refused = fill(queue, 'a', 200).filter(({ accepted }) => !accepted);
    expect(refused.length).toBeGreaterThan(140);
    expect(refused[0]!.retryAfterMilliseconds).toBeGreaterThan(300);
    expect(queue.offer(createRequest('b0', { caller: 'b' }), 0)).toEqual({ accepted: true });
  });

  it('keeps the position of ineligible requests and requeues a taken request first', () => {
    const queue = createAdmissionQueue({ capacity: 10 });
    fill(queue, 'a', 3);
    expect(queue.takeNext(0, ({ requestId }) => requestId === 'a1')?.requestId).toBe('a1');
    const taken = queue.takeNext(0)!;
    queue.requeue(taken);
    expect(takeAll(queue)).toEqual(['a0', 'a2']);
    expect(queue.remove('a0')).toBeUndefined();
  });
});

describe('retry budget', () => {
  it('limits retries during an outage to a ratio of the first attempts', () => {
    const budget = createRetryBudget({ retryRatio: 0.1, minimumTokens: 5 });
    let retries = 0;
    for (let now = 0; now < 1_000; now += 1) {
      budget.recordFirstAttempt(now);
      if (budget.trySpendRetry(now)) retries += 1;
    }
    expect(retries).toBeGreaterThan(95);
    expect(retries).toBeLessThan(107);
  });

  it('refills without traffic', () => {
    const budget = createRetryBudget({ retryRatio: 0.1, minimumTokens: 1 });
    expect([
      budget.trySpendRetry(0),
      budget.trySpendRetry(1),
      budget.trySpendRetry(10_001),
    ]).toEqual([true, false, true]);
  });
});

describe('connection share', () => {
  const limits = { connectionLimit: 30, reservedConnections: 2 };

  it('counts a new instance immediately and an unlisted one until its hold-down ends', () => {
    const share = createConnectionShare(limits);
    share.update(['p1', 'p2'], 'p1', 0);
    expect(share.compute(0)).toBe(1);
    expect(share.compute(3_000)).toBe(14);
    share.update(['p1', 'p2', 'p3', 'p4'], 'p1', 4_000);
    expect(share.compute(4_000)).toBe(7);
    share.update(['p1', 'p2'], 'p1', 5_000);
    expect([share.compute(5_000), share.compute(19_999), share.compute(20_000)]).toEqual([
      7, 7, 14,
    ]);
  });

  it('shrinks once per burst of refusals and recovers by one connection at a time', () => {
    const share = createConnectionShare(limits);
    share.update(['p1', 'p2'], 'p1', 0);
    [10_000, 10_001, 10_002].forEach((now) => share.recordRefusal(now));
    expect([10_003, 15_000, 20_000, 90_000].map((now) => share.compute(now))).toEqual([
      10, 11, 12, 14,
    ]);
  });
});

describe('concurrency limit', () => {
  it('grows to all slots without queueing and shrinks to the fair share with queueing', () => {
    const limit = createConcurrencyLimit({ slots: 6, instances: 3 });
    expect(limit.getLimit()).toBe(2);
    for (let count = 0; count < 100; count += 1) limit.recordCompletion(5, limit.getLimit());
    expect(limit.getLimit()).toBe(6);
    for (let count = 0; count < 100; count += 1) limit.recordCompletion(40, limit.getLimit());
    expect(limit.getLimit()).toBe(2);
    limit.update({ slots: 1, instances: 7 });
    expect(limit.getLimit()).toBe(1);
  });
});
