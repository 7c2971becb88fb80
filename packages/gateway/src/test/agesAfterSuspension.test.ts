import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { Position } from '@wisterialift/schema';
import { createProcessClock } from '../index';
import type { Clock } from '../index';
import { createDirectoryEntry, startTestGateway } from './testGateway';

/** Interval of the gateway's clock check. */
const CLOCK_CHECK_MILLISECONDS = 250;

const primaryEntry = createDirectoryEntry();

const replicaEntries = ['db-2', 'db-3'].map((memberId) =>
  createDirectoryEntry({ memberId, address: `${memberId}:1`, isPrimary: false }),
);

const memberIds = ['db-1', 'db-2', 'db-3'];

/** Reads may then go to the primary alone, and replicas answer status commands only. */
const entriesWithLeavingReplicas = [
  primaryEntry,
  ...replicaEntries.map((entry) => ({ ...entry, revision: 2, isLeaving: true })),
];

let gateway: ReturnType<typeof startTestGateway>;
/** Log end of all members. */
let position: Position;
/** Milliseconds by which the time of day is ahead of the timers. */
let wallLead: number;

/** A suspension, in which the monotonic clock stands still. */
function suspend(milliseconds: number): void {
  wallLead += milliseconds;
}

function stepTimeOfDay(milliseconds: number): void {
  wallLead += milliseconds;
}

/** Almost the age that reads accept, of the monotonic clock. */
async function passAlmostLimit(): Promise<void> {
  await vi.advanceTimersByTimeAsync(1_425);
}

/** More than that age, by a suspension too short for the clock check. */
async function passLimit(): Promise<void> {
  await passAlmostLimit();
  suspend(90);
}

/** Five suspensions, each too short for the clock check, that take 1.7 s with the time between them. */
async function suspendBetweenChecks(): Promise<void> {
  for (let check = 0; check < 5; check += 1) {
    suspend(90);
    await vi.advanceTimersByTimeAsync(CLOCK_CHECK_MILLISECONDS);
  }
}

/** A suspension that the time of day does not show, because it was stepped back meanwhile. */
async function suspendWithStepBack(): Promise<void> {
  suspend(5_000);
  stepTimeOfDay(-8_000);
}

function createSuspendableClock(): Clock {
  const clock = createProcessClock();
  return {
    ...clock,
    readClocks: () => {
      const { monotonic, wall } = clock.readClocks();
      return { monotonic, wall: wall + wallLead };
    },
  };
}

function start(): void {
  gateway = startTestGateway({
    clock: createSuspendableClock(),
    getPosition: () => position,
    changes: { consistency: 'boundedStaleness', maximumStaleness: 1_500 },
  });
  gateway.updateMembers([primaryEntry, ...replicaEntries]);
}

const countStatusCommands = () =>
  memberIds.reduce((count, memberId) => count + gateway.countCommands(memberId, 'status'), 0);

/** Sends a read to a member; it answers only when the test says so. */
async function forwardRead(id: string) {
  const session = gateway.openSession();
  session.read(id);
  await vi.advanceTimersByTimeAsync(10);
  return { session, statement: gateway.forwarded.find((statement) => statement.id === id) };
}

async function runRead(id: string): Promise<void> {
  const { statement } = await forwardRead(id);
  statement!.answer();
  await vi.advanceTimersByTimeAsync(0);
}

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  position = { term: 1, index: 1 };
  wallLead = 0;
  start();
});

afterEach(() => {
  gateway.close();
  vi.useRealTimers();
});

describe('the answer of a replica from before a suspension', () => {
  /** Sends a read to the primary after a replica has answered and time has passed. */
  async function readFromPrimary(pass: () => Promise<void>, silentMembers = ['db-2', 'db-3']) {
    await runRead('first');
    await pass();
    gateway.updateMembers(entriesWithLeavingReplicas);
    silentMembers.forEach(gateway.silence);
    const { session, statement } = await forwardRead('second');
    expect(statement!.memberId).toBe('db-1');
    statement!.answer();
    await vi.advanceTimersByTimeAsync(0);
    return session.answers;
  }

  it('shows that the primary is current while it is within the stated age', async () => {
    const answers = await readFromPrimary(passAlmostLimit);
    expect(answers).toMatchObject([{ outcome: 'completed' }]);
  });

  it.each([
    ['after a long suspension', async () => suspend(5_000)],
    ['after a short suspension', passLimit],
    ['after short suspensions that add up', suspendBetweenChecks],
    ['if its age is unknown', suspendWithStepBack],
  ])('shows nothing about the primary %s', async (_, pass) => {
    // Guards against stale reads at a primary that was replaced during the suspension.
    const answers = await readFromPrimary(pass);
    expect(answers).toEqual([]);
  });

  it.each([
    ['a short suspension', passLimit],
    ['a long suspension', async () => suspend(5_000)],
  ])('is replaced after %s by a status query for each member, without a wait', async (_, pass) => {
    const before = countStatusCommands();
    const answers = await readFromPrimary(pass, []);
    expect(answers).toMatchObject([{ outcome: 'completed' }]);
    expect(countStatusCommands() - before).toBe(2 * memberIds.length);
  });
});

describe('the clock check', () => {
  it('adds up short suspensions', async () => {
    // Guards against permits of a team that are used late.
    await suspendBetweenChecks();
    expect(gateway.findLines('clocksDisagree')).toMatchObject([{}, {}]);
  });

  it('takes slow drift for no suspension', async () => {
    // Guards against reads that are asked for anew while nothing happened.
    for (let check = 0; check < 100; check += 1) {
      stepTimeOfDay(2);
      await vi.advanceTimersByTimeAsync(CLOCK_CHECK_MILLISECONDS);
    }
    expect(gateway.findLines('clocksDisagree')).toEqual([]);
  });
});

describe('the position that a replica must show', () => {
  it.each([
    ['a short suspension', passLimit],
    ['short suspensions that add up', suspendBetweenChecks],
    ['a suspension and a step of the time of day', suspendWithStepBack],
  ])('is not older than stated after %s', async (_, pass) => {
    // Guards against stale reads: ages that leave suspensions out.
    await runRead('first');
    position = { term: 1, index: 9 };
    await pass();
    const { statement } = await forwardRead('second');
    expect(statement!.after).toEqual({ term: 1, index: 9 });
  });

  it.each([
    ['a suspension', async () => suspend(5_000)],
    ['a suspension and a step of the time of day', suspendWithStepBack],
  ])('is not taken from an answer requested before %s', async (_, pass) => {
    // Guards against stale reads: the answer arrives after the older positions were discarded.
    gateway.holdAnswers('status');
    gateway.openSession().read('first');
    await vi.advanceTimersByTimeAsync(10);
    await pass();
    await vi.advanceTimersByTimeAsync(CLOCK_CHECK_MILLISECONDS);
    gateway.holdAnswers('pause');
    gateway.releaseAnswers();
    await vi.advanceTimersByTimeAsync(0);
    position = { term: 1, index: 9 };
    const { statement } = await forwardRead('second');
    expect(statement!.after).toEqual({ term: 1, index: 9 });
  });

  it('costs one status query for each member after a suspension', async () => {
    await runRead('first');
    suspend(5_000);
    const before = countStatusCommands();
    for (const id of ['second', 'third', 'fourth']) await runRead(id);
    expect(countStatusCommands() - before).toBe(memberIds.length);
  });

  it.each([
    ['before the stated age', passAlmostLimit],
    ['after a short step of the time of day', async () => stepTimeOfDay(-90)],
  ])('costs no status query %s', async (_, pass) => {
    await runRead('first');
    await pass();
    const before = countStatusCommands();
    await runRead('second');
    expect(countStatusCommands() - before).toBe(0);
  });
});
