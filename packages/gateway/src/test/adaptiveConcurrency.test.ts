import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { UpstreamAnswer } from '@wisterialift/pooling';
import { createProcessClock } from '../index';
import { createAdaptiveConcurrency } from '../lib/groups/memberConcurrency';
import type { Clock, InstanceRegistry, LoadControl } from '../index';
import { createGatewayMetrics } from '../metrics';
import { createTestLogger, GROUP, noop } from './fixture';
import { createDirectoryEntry, startTestGateway } from './testGateway';

const ENABLED: ReadonlySet<LoadControl> = new Set(['adaptiveConcurrency']);

/** A member of which an instance runs 8 statements at the same time without the control. */
const entry = createDirectoryEntry({ slots: 5 });

/** Lists four instances that all keep connections, so that the floor is one statement. */
const listFourInstances: InstanceRegistry['registerInstance'] = (onChange) =>
  onChange(
    [1, 2, 3, 4].map((number) => ({
      instance: `instance-${number}`,
      dataCentre: 'zone-1',
      address: `instance-${number}:1`,
      weight: 1,
    })),
    { mayOthersLag: false },
  );

let gateway: ReturnType<typeof startTestGateway> | undefined;
/** Milliseconds by which the clocks are ahead of the timers. */
const clockLead = { monotonic: 0, wall: 0 };

function createSuspendableClock(): Clock {
  const clock = createProcessClock();
  return {
    ...clock,
    now: () => clock.now() + clockLead.monotonic,
    readClocks: () => {
      const { monotonic, wall } = clock.readClocks();
      return { monotonic: monotonic + clockLead.monotonic, wall: wall + clockLead.wall };
    },
  };
}

/** Starts a gateway with one member and 300 waiting writes. */
async function start({ loadControls }: { loadControls?: typeof ENABLED } = {}) {
  gateway = startTestGateway({
    loadControls,
    clock: createSuspendableClock(),
    maximumConnections: 80,
    registry: { registerInstance: listFourInstances, reportUnreachable: noop },
    changes: { timeout: 60_000, goal: 60_000 },
  });
  gateway.updateMembers([entry]);
  for (let index = 0; index < 300; index += 1) gateway.openSession().write(`write-${index}`);
  await vi.advanceTimersByTimeAsync(10);
  return gateway;
}

/** Number of statements that were answered. */
let answered = 0;

/** Answers all statements in progress, `rounds` times after the same time. */
async function answerStatements(rounds: number, milliseconds = 5): Promise<void> {
  const { forwarded } = gateway!;
  for (let round = 0; round < rounds; round += 1) {
    await vi.advanceTimersByTimeAsync(milliseconds);
    for (const { answer } of forwarded.slice(answered)) answer();
    answered = forwarded.length;
    await vi.advanceTimersByTimeAsync(0);
  }
}

const getReport = () => gateway!.gateway.reportConcurrency()[GROUP]![0];

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  Object.assign(clockLead, { monotonic: 0, wall: 0 });
  answered = 0;
});

afterEach(() => {
  gateway?.close();
  vi.useRealTimers();
});

describe('the concurrency at a member', () => {
  it('is 1.5 statements a slot without the control', async () => {
    // Guards against an effect of the control where a deployment does not enable it.
    const { forwarded, gateway: instance, events } = await start();
    expect(forwarded).toHaveLength(8);
    await answerStatements(20);
    expect(forwarded).toHaveLength(168);
    expect(instance.reportConcurrency()).toEqual({ [GROUP]: [] });
    expect(events).not.toContain('concurrencyLimitChanged');
    expect(await renderMetrics()).not.toMatch(/^wisterialift_member_/mu);
  });

  it('starts at the floor and grows while statements wait', async () => {
    const { forwarded, findLines } = await start({ loadControls: ENABLED });
    expect(forwarded).toHaveLength(1);
    await answerStatements(40);
    expect(getReport()).toMatchObject({ memberId: 'db-1', limit: 8, busyAnswers: 0 });
    expect(findLines('concurrencyLimitChanged')[0]).toMatchObject({
      memberId: 'db-1',
      limit: 2,
      formerLimit: 1,
      targetDelayMilliseconds: 1_500,
    });
    expect(await renderMetrics()).toContain(
      `wisterialift_member_concurrency_limit{group="${GROUP}",member="db-1"} 8`,
    );
  });

  it('follows the shortest goal of the routes in a new configuration', async () => {
    const { findLines, updateRoute } = await start({ loadControls: ENABLED });
    updateRoute(2, { goal: 400 });
    await answerStatements(20);
    const [line] = findLines('concurrencyLimitChanged');
    expect(line).toMatchObject({ targetDelayMilliseconds: 10 });
  });

  it('starts again at the floor after the member restarted', async () => {
    // Guards against a limit that was learned from the former process of the member.
    const { updateMembers } = await start({ loadControls: ENABLED });
    await answerStatements(40);
    updateMembers([{ ...entry, startedAt: 2, revision: 2 }]);
    expect(getReport()).toEqual({
      memberId: 'db-1',
      limit: 1,
      queueDelayMilliseconds: undefined,
      busyAnswers: 0,
    });
  });

  it.each([
    ['the monotonic clock stopped', { monotonic: 0, wall: 5_000 }],
    ['both clocks continued', { monotonic: 5_000, wall: 5_000 }],
  ])('does not learn from a suspension in which %s', async (_case, lead) => {
    // Guards against taking the answers that waited for the process for a delay at the member.
    const { updateRoute } = await start({ loadControls: ENABLED });
    updateRoute(2, { goal: 400 });
    while (getReport()!.limit < 8) await answerStatements(1);
    Object.assign(clockLead, lead);
    // The statements in progress and the next 8 would be enough to shrink the limit.
    await answerStatements(2, 300);
    expect(getReport()).toMatchObject({ limit: 8, queueDelayMilliseconds: 0 });
  });
});

function renderMetrics(): Promise<string> {
  return createGatewayMetrics(gateway!.gateway, { getStoreCalls: () => [] }).render();
}

describe('the samples of the limit', () => {
  let now = 0;
  const lines: (Record<string, unknown> | undefined)[] = [];

  const createConcurrency = () =>
    createAdaptiveConcurrency({
      group: GROUP,
      memberId: 'db-1',
      slots: 4,
      ceiling: 16,
      countConnectedInstances: () => 4,
      getTargetDelay: () => 10,
      clock: { ...createProcessClock(), now: () => now },
      logger: createTestLogger((_event, fields) => lines.push(fields)),
    });

  /** Records statements that took 5 ms, one every 10 ms, until the time. */
  function completeUntil(
    concurrency: ReturnType<typeof createConcurrency>,
    until: number,
    answer: UpstreamAnswer = { outcome: 'completed', rows: [], signature: '', transaction: 'idle' },
  ): void {
    for (; now < until; now += 10) {
      const outcome = { type: 'answered', answer } as const;
      concurrency.recordOutcome({ sentAt: now - 5, outcome, statements: 99 });
    }
  }

  const refuse = (reason: 'busy' | 'failed'): UpstreamAnswer => ({
    outcome: 'refused',
    reason,
    detail: '',
    transaction: 'idle',
  });

  beforeEach(() => {
    now = 0;
    lines.length = 0;
  });

  it('exclude lost and failed statements and count busy answers', () => {
    // Guards against growth because a member fails statements at once or its connections break.
    const concurrency = createConcurrency();
    completeUntil(concurrency, 500, refuse('failed'));
    for (; now < 1_000; now += 10) {
      concurrency.recordOutcome({ sentAt: now - 5, outcome: { type: 'lost' }, statements: 99 });
    }
    expect(concurrency.getLimit()).toBe(1);
    completeUntil(concurrency, 2_000);
    const grown = concurrency.getLimit();
    completeUntil(concurrency, 2_020, refuse('busy'));
    expect(concurrency.getLimit()).toBe(Math.floor(grown * 0.7));
    expect(concurrency.report()).toMatchObject({ busyAnswers: 2 });
  });

  it('log a change by a factor of 2 at most once a second', () => {
    // Guards against a log that is filled by a limit that oscillates.
    const concurrency = createConcurrency();
    completeUntil(concurrency, 900);
    expect(lines.map((fields) => fields?.limit)).toEqual([2]);
    completeUntil(concurrency, 3_000);
    expect(concurrency.getLimit()).toBe(16);
    expect(lines.map((fields) => fields?.limit)).toEqual([2, 14]);
  });
});
