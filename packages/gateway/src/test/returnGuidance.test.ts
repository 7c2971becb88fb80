import { createReturnCredits } from '@wisterialift/core';
import { createSessionState } from '@wisterialift/pooling';
import type { RequiredPosition } from '@wisterialift/pooling';
import { describe, expect, it } from 'vitest';
import { attemptCommand } from '../lib/groups/attemptCommand';
import type { GroupContext, GroupCounters } from '../lib/groups/groupContext';
import type { Member } from '../lib/groups/member';
import type { PrimaryVerifier } from '../lib/groups/primaryVerifier';
import { createReadCandidates } from '../lib/groups/readCandidates';
import { estimateRefusal } from '../lib/groups/refusalEstimate';
import { refuseTemporarily } from '../lib/groups/refusals';
import { createReturnGuidance } from '../lib/groups/returnGuidance';
import { parseReturnTime } from '../lib/groups/returnTime';
import type { StatementAdmission } from '../lib/groups/statementAdmission';
import type { StatementRequest } from '../lib/groups/statementRequest';
import type { Clock } from '../lib/ports/clock';
import { NoConnectionError } from '../lib/errors/noConnectionError';
import { createTestLogger, createTestRoute, createTestStamp, GROUP } from './fixture';

/** Creates a member with a queue of a given expected wait. */
function createMember(memberId: string, queue: { wait: number; lag: number }): Member {
  const admission: Partial<StatementAdmission> = {
    estimateWait: () => queue.wait,
    estimateInterval: () => 40,
    estimateExcessWait: () => Math.max(0, queue.wait - 125),
    countStatements: () => 0,
    calculateCapacity: () => 1,
  };
  const member = {
    entry: { memberId, isLeaving: false },
    admission,
    pool: { estimateOwnerDelay: () => 0 },
    latency: { getCurrent: () => 10 },
    lag: {
      estimateTimeUntilApplied: (required?: RequiredPosition) => {
        if (!required) return 0;
        return required.position.index > 1 ? 6_000 : queue.lag;
      },
      canTryRead: () => false,
      getLastObservation: () => ({ lag: queue.lag, age: 0 }),
    },
    avoidUntil: 0,
    missingSince: undefined,
  };
  return member as unknown as Member;
}

/** Creates a group with an overloaded primary and an idle replica that lags by 6 s. */
function createGroup({
  isEnabled = true,
  isFair = false,
  replicaLag = 6_000,
  isReplicaEjected = false,
} = {}) {
  const now = { value: 10_000 };
  const primary = createMember('db-1', { wait: 900, lag: 0 });
  const replica = createMember('db-2', { wait: 5, lag: replicaLag });
  const counters = { refusals: 0, returnCreditsGiven: 0, returnCreditsUsed: 0 };
  const lines: Record<string, unknown>[] = [];
  const base = {
    group: GROUP,
    clock: { now: () => now.value } as Clock,
    counters: counters as GroupCounters,
    random: () => 0,
  };
  const context = {
    ...base,
    logger: createTestLogger((event, fields) => lines.push({ event, ...fields })),
    members: new Map([primary, replica].map((member) => [member.entry.memberId, member])),
    primaryTracker: { find: () => primary },
    leavingPolicy: { canAccept: () => true, limitDeadline: (_: unknown, at: number) => at },
    failureEjection: {
      getStatus: (member: Member) =>
        isReplicaEjected && member === replica ? 'ejected' : 'available',
    },
    evidence: {
      getHighestTerm: () => 1,
      findFloor: () => ({
        position: { term: 1, index: 1 },
        requestedAt: { monotonic: 0, wall: 0 },
      }),
    },
    isMechanismEnabled: () => true,
    isLoadControlEnabled: (control: string) => isFair && control === 'fairOrder',
    returnGuidance: isEnabled
      ? createReturnGuidance(base, { instance: 'instance-1', credits: createReturnCredits() })
      : undefined,
  } as unknown as GroupContext;
  const verifier = { isStalled: () => false } as Partial<PrimaryVerifier> as PrimaryVerifier;
  const candidates = createReadCandidates(context, verifier);
  return { now, context, candidates, counters, lines, primary };
}

function createRequest(at: number, changes: Parameters<typeof createTestRoute>[0] = {}) {
  const request: StatementRequest = {
    id: 'q1',
    text: 'WRITE lamp-1 v1',
    session: { stateVersion: 0, lastCommit: undefined },
    sessionState: createSessionState(),
    team: 'team-1',
    route: createTestRoute(changes),
    configurationVersion: 1,
    arrivalStamp: createTestStamp(at),
    deadlineAt: at + 1_000,
  };
  return request;
}

const replicaRoute = { consistency: 'boundedStaleness', maximumStaleness: 1_500 } as const;

function toldTime(answer: ReturnType<typeof refuseTemporarily>): number | undefined {
  return answer.outcome === 'refused' ? parseReturnTime(answer.detail) : undefined;
}

function refuseRead({ context, candidates }: ReturnType<typeof createGroup>) {
  const read = createRequest(10_000, replicaRoute);
  return toldTime(refuseTemporarily(context, read, 'aborted', 'no', candidates.listQueues(read)));
}

describe('a return time', () => {
  it('of a write is the wait of the primary, not that of an idle replica', () => {
    // Guards against callers of an overloaded primary that were told 60 ms, the wait of a replica,
    // and used up their attempts within a fraction of a second.
    const { context, lines } = createGroup();
    const refuse = () => toldTime(refuseTemporarily(context, createRequest(10_000), 'busy', 'no'));
    expect([refuse(), refuse()]).toEqual([900, 940]);
    expect(lines[0]).toMatchObject({
      decidedBy: 'instance-1',
      expectedWaitMilliseconds: 900,
      returnMilliseconds: 900,
    });
  });

  it('of a read leaves out a replica that lags for longer', () => {
    expect(refuseRead(createGroup())).toBe(900);
  });

  it('of a read leaves out an ejected replica', () => {
    // Guards against a return after 50 ms because a member that gets no reads is idle.
    expect(refuseRead(createGroup({ replicaLag: 0, isReplicaEjected: true }))).toBe(900);
  });

  it('of a read is the wait of a replica that follows by then', () => {
    expect(refuseRead(createGroup({ replicaLag: 350 }))).toBe(350);
  });

  it('is the shortest wait of any member without the control, whose log lines are as before', () => {
    const { context, counters, lines } = createGroup({ isEnabled: false });
    const answer = refuseTemporarily(context, createRequest(10_000), 'busy', 'no');
    expect(answer).toMatchObject({ detail: 'no, come back in 50 ms' });
    expect(Object.keys(lines[0]!)).not.toContain('decidedBy');
    expect(Object.keys(lines[0]!)).not.toContain('returnMilliseconds');
    expect(counters.returnCreditsGiven).toBe(0);
  });
});

describe('a statement that returns at its time', () => {
  it('is ordered by the arrival of the refused one, once', () => {
    const { context, counters } = createGroup();
    const guidance = context.returnGuidance!;
    refuseTemporarily(context, createRequest(10_000), 'busy', 'no');
    const early = createRequest(10_899);
    const returned = createRequest(10_900);
    const orderingTimes = [early, returned, returned, createRequest(10_901)].map(
      guidance.findOrderingTime,
    );
    expect(orderingTimes).toEqual([10_899, 10_650, 10_650, 10_901]);
    expect(counters).toMatchObject({ returnCreditsGiven: 1, returnCreditsUsed: 1 });
  });
});

describe('a statement that queues at a member', () => {
  /** Returns the arrival times by which statements are queued after a refusal at 10,000. */
  async function queue(isEnabled: boolean, types: ('begin' | 'rollback')[]): Promise<number[]> {
    const { context, primary } = createGroup({ isEnabled });
    refuseTemporarily(context, createRequest(10_000), 'busy', 'no');
    const arrivals: number[] = [];
    primary.admission.requestAdmission = async ({ arrivedAt }) => {
      arrivals.push(arrivedAt);
      return 'tooLate';
    };
    primary.pool.acquire = () => Promise.reject(new NoConnectionError('no connection'));
    for (const type of types) {
      const request = createRequest(10_900);
      const command = type === 'begin' ? { type, isReadOnly: false } : { type };
      await attemptCommand(context, primary, { request, command, deadlineAt: 11_900 });
    }
    return arrivals;
  }

  it('is ordered by its credit, which no start of a transaction uses up', async () => {
    expect(await queue(true, ['begin', 'rollback', 'rollback'])).toEqual([10_650, 10_900]);
  });

  it('is ordered by its own arrival without the control', async () => {
    expect(await queue(false, ['rollback'])).toEqual([10_900]);
  });
});

describe('the estimate of further refusals', () => {
  function estimate(options: Parameters<typeof createGroup>[0], access: 'read' | 'write' = 'read') {
    const { context, candidates } = createGroup(options);
    const request = createRequest(10_000, { ...replicaRoute, consistency: 'readYourWrites' });
    // The replica applies the session's own commit later than the position that others require.
    request.session.lastCommit = { position: { term: 1, index: 9 }, seenAt: 0 };
    return estimateRefusal(context, candidates, { request, access });
  }

  it('is at most 100 ms, and applies only to the team in the fair order', () => {
    expect(estimate({})).toEqual({ milliseconds: 100, isTeamOnly: false });
    expect(estimate({ isFair: true })).toEqual({ milliseconds: 100, isTeamOnly: true });
  });

  it('is none while a replica can run the reads of other sessions', () => {
    // Guards against refusing for a holder what one of its replicas would run.
    expect(estimate({ replicaLag: 0 })).toBeUndefined();
    expect(estimate({ replicaLag: 0 }, 'write')).toMatchObject({ milliseconds: 100 });
  });

  it('is none without the control', () => {
    expect(estimate({ isEnabled: false })).toBeUndefined();
  });
});
