import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createClockComparison, createReplicationTracker } from '../index';
import type { MemberObservation } from '../index';

const MAXIMUM_AGE = 500;
const PRIMARY = 'db-1';
const REPLICA = 'db-2';

/** A step of the time of day by this much is noticed whatever short suspensions came before it. */
const NOTICED_MILLISECONDS = 300;

const milliseconds = (min: number, max: number) => fc.integer({ min, max });

const command = fc.oneof(
  { weight: 4, arbitrary: fc.record({ type: fc.constant('pass'), by: milliseconds(1, 200) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('suspend'), by: milliseconds(1, 120) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('suspend'), by: milliseconds(1, 5_000) }) },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('stepForward'), by: milliseconds(0, 8_000) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('stepBack'), by: milliseconds(0, 8_000) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('suspendAndStepBack'), by: milliseconds(1, 5_000) }),
  },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('request'), by: fc.constant(0) }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('answer'), by: milliseconds(0, 9) }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('read'), by: fc.constant(0) }) },
);

type CommandType = 'pass' | 'suspend' | 'stepForward' | 'stepBack' | 'suspendAndStepBack';

/** A group's observations at an instance whose clocks the test moves. */
function createObserver() {
  const now = { true: 0, monotonic: 0, wall: 0 };
  const readClocks = () => ({ monotonic: now.monotonic, wall: now.wall });
  const comparison = createClockComparison(readClocks());
  const tracker = createReplicationTracker();
  const inFlight: MemberObservation[] = [];
  /** True times of requests; their index is that of the position in the answer. */
  const requestTimes: number[] = [];
  const agesFound: number[] = [];

  function checkClocks(): void {
    if (comparison.findDisagreement(readClocks()) !== undefined) tracker.discardAges();
  }

  function suspend(by: number): void {
    now.true += by;
    now.wall += by;
  }

  /** Checks before as well: no clock shows a suspension that a step takes back entirely. */
  function step(by: number, suspendedFor = 0): void {
    checkClocks();
    suspend(suspendedFor);
    now.wall += by;
    checkClocks();
  }

  function request(): void {
    const index = requestTimes.push(now.true) - 1;
    const position = { term: 1, index };
    const base = { requestedAt: readClocks(), term: 1, position, applied: position };
    for (const memberId of [PRIMARY, REPLICA]) {
      const requestSequenceNumber = tracker.takeNextSequenceNumber();
      inFlight.push({ ...base, memberId, requestSequenceNumber, isPrimary: memberId === PRIMARY });
    }
  }

  function answer(index: number): void {
    const [observation] = inFlight.splice(index % Math.max(1, inFlight.length), 1);
    if (observation) tracker.observe(observation);
  }

  function read(): void {
    checkClocks();
    const limit = { now: readClocks(), maximumAge: MAXIMUM_AGE };
    const reply = tracker.getLatestObservation(REPLICA);
    const found = [
      tracker.findFloor(limit)?.position,
      reply && tracker.isRecent(reply, limit) ? reply.position : undefined,
    ];
    for (const position of found) {
      if (position) agesFound.push(now.true - requestTimes[position.index]!);
    }
  }

  const handlers: Record<CommandType | 'request' | 'answer' | 'read', (by: number) => void> = {
    pass: (by) => {
      suspend(by);
      now.monotonic += by;
    },
    suspend,
    stepForward: (by) => step(by + NOTICED_MILLISECONDS),
    stepBack: (by) => step(-by - NOTICED_MILLISECONDS),
    suspendAndStepBack: (by) => step(-by - NOTICED_MILLISECONDS, by),
    request,
    answer,
    read,
  };
  return { handlers, agesFound };
}

describe('positions and replies, after suspensions and steps that some clock shows', () => {
  it('are never older than a read accepts', () => {
    // Guards against stale reads after an order of events that no other test names.
    let found = 0;
    fc.assert(
      fc.property(fc.array(command, { minLength: 10, maxLength: 60 }), (commands) => {
        const { handlers, agesFound } = createObserver();
        for (const { type, by } of commands) handlers[type](by);
        found += agesFound.length;
        expect(Math.max(0, ...agesFound)).toBeLessThanOrEqual(MAXIMUM_AGE);
      }),
      { seed: 20_260_101, numRuns: 3_000 },
    );
    expect(found).toBeGreaterThan(1_000);
  });
});
