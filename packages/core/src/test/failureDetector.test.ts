import { beforeEach, describe, expect, it } from 'vitest';
import { createFailureDetector } from '../index';
import type { FailureEvent, MemberRun } from '../index';

let detector: ReturnType<typeof createFailureDetector>;
let now: number;
let statement: number;

beforeEach(() => {
  detector = createFailureDetector();
  now = 0;
  statement = 0;
});

/** Records a run that ends 10 ms after the one before; a new statement unless one is given. */
function run(
  memberId: string,
  outcome: MemberRun['outcome'],
  changes: Partial<MemberRun> = {},
): FailureEvent[] {
  now += 10;
  statement += 1;
  const isPrimary = memberId === 'primary';
  const defaults = { statement, sentAt: now - 2, now, isPrimary, memberCount: 3 };
  return detector.recordRun({ memberId, outcome, ...defaults, ...changes });
}

/** Runs a statement that fails at `memberId` and then has this outcome at another member. */
function runAndRepeat(memberId: string, otherId: string, outcome: MemberRun['outcome']) {
  const events = run(memberId, 'failed');
  return [...events, ...run(otherId, outcome, { statement })];
}

const repeatCalls = <Value>(count: number, call: (index: number) => Value[]): Value[] =>
  Array.from({ length: count }, (_, index) => call(index)).flat();

const getStatus = (memberId: string, canRepeat = true) =>
  detector.getStatus(memberId, { now, canRepeat });

/** Ejects `a` by failures of statements that are completed elsewhere. */
const ejectMember = () => repeatCalls(5, () => runAndRepeat('a', 'b', 'completed'));

describe('a replica that fails its runs', () => {
  it.each(['failed', 'lost'] as const)('is ejected after five runs that are %s', (outcome) => {
    const events = repeatCalls(5, () => [...run('b', 'completed'), ...run('a', outcome)]);
    expect(events).toMatchObject([
      { type: 'ejected', memberId: 'a', failureRate: 1, runs: 5, milliseconds: 500 },
    ]);
    expect([getStatus('a'), getStatus('b')]).toEqual(['ejected', 'available']);
  });

  it('is ejected if it fails two runs of five', () => {
    // Guards against a rule that only sees a replica that fails most of its runs.
    const events = repeatCalls(30, (index) => {
      now -= 8;
      return [
        ...run('b', 'completed'),
        ...run('a', index % 5 < 2 ? 'failed' : 'completed', { statement: -index }),
      ];
    });
    expect(events).toMatchObject([{ type: 'ejected', memberId: 'a' }]);
  });

  it('stays if its failures are too old to tell anything', () => {
    repeatCalls(4, () => [...run('b', 'completed'), ...run('a', 'failed')]);
    now += 11_000;
    expect([...run('b', 'completed'), ...run('a', 'failed')]).toEqual([]);
  });

  it('stays if it has always failed that part of its runs', () => {
    // Guards against ejecting a member for failures that its callers are used to.
    const runOften = (otherIds: string[]) =>
      repeatCalls(400, (index) => {
        now -= 8;
        const others = otherIds.flatMap((memberId) => run(memberId, 'completed'));
        return [...others, ...run('a', index % 4 === 0 ? 'failed' : 'completed')];
      });
    expect(runOften([])).toEqual([]);
    expect(runOften(['b'])).toEqual([]);
  });

  it('stays if it is the primary', () => {
    const events = repeatCalls(20, () => [...run('b', 'completed'), ...run('primary', 'failed')]);
    expect(events).toEqual([]);
  });

  it('stays if no other member has run anything', () => {
    expect(repeatCalls(20, () => run('a', 'failed'))).toEqual([]);
  });

  it('is ejected beside another one only if the group has four members', () => {
    ejectMember();
    const failB = (memberCount: number) =>
      repeatCalls(8, () => [
        ...run('primary', 'completed'),
        ...run('b', 'failed', { memberCount }),
      ]);
    now += 400;
    expect(failB(3)).toEqual([]);
    expect(failB(4)).toMatchObject([{ type: 'ejected', memberId: 'b' }]);
  });

  it('is readmitted as it becomes the primary', () => {
    ejectMember();
    expect(run('a', 'failed', { isPrimary: true })).toMatchObject([{ cause: 'promoted' }]);
  });
});

describe('a statement that fails at every member', () => {
  it('ejects none, although it runs at one replica first', () => {
    expect(repeatCalls(50, () => runAndRepeat('a', 'b', 'failed'))).toEqual([]);
    expect(detector.listMembers(now)).toMatchObject([{ failureRate: 0 }, { failureRate: 0 }]);
  });

  it('ejects none once the budget of repeated reads is spent', () => {
    // Guards against blaming the replica that happens to get most of such statements.
    repeatCalls(5, () => runAndRepeat('a', 'b', 'failed'));
    const events = repeatCalls(50, () => [...run('a', 'failed'), ...run('b', 'completed')]);
    expect(events).toEqual([]);
  });

  it('ends the ejection that it has caused', () => {
    repeatCalls(5, () => [...run('b', 'completed'), ...run('a', 'failed')]);
    expect(getStatus('a')).toBe('ejected');
    expect(run('b', 'failed', { statement: 2 })).toMatchObject([{ cause: 'failedElsewhere' }]);
    expect(getStatus('a')).toBe('available');
  });

  it('does not prolong an ejection', () => {
    ejectMember();
    now += 500;
    run('b', 'failed');
    expect(run('a', 'failed', { statement })).toEqual([]);
    repeatCalls(12, () => runAndRepeat('b', 'primary', 'failed'));
    expect(run('a', 'failed')).toEqual([]);
    expect(getStatus('a')).toBe('trial');
  });

  it('takes back a longer ejection that it has caused', () => {
    ejectMember();
    now += 500;
    run('a', 'failed');
    run('b', 'failed', { statement });
    expect(getStatus('a')).toBe('trial');
  });
});

describe('a group whose members all fail', () => {
  it('keeps all of them', () => {
    const failAll = () => ['a', 'b', 'primary'].flatMap((memberId) => run(memberId, 'failed'));
    repeatCalls(10, () => ['a', 'b', 'primary'].flatMap((id) => run(id, 'completed')));
    now += 500;
    expect(repeatCalls(30, failAll)).toEqual([]);
  });

  it('keeps the one that fails first', () => {
    // Guards against a comparison with runs from before the failures.
    repeatCalls(10, () => ['a', 'b', 'primary'].flatMap((id) => run(id, 'completed')));
    expect(repeatCalls(8, () => run('a', 'failed'))).toEqual([]);
  });

  it('has its ejected replica back', () => {
    // Guards against too few members for the load while none of them is better.
    ejectMember();
    const events = repeatCalls(10, () => [...run('b', 'failed'), ...run('primary', 'failed')]);
    expect(events).toMatchObject([{ memberId: 'a', cause: 'allMembersFail' }]);
  });
});

describe('an ejected replica', () => {
  beforeEach(() => {
    ejectMember();
  });

  it('is tried by one read at a time after the ejection time', () => {
    expect(detector.tryBeginTrial('a', now)).toBe(false);
    now += 500;
    expect(getStatus('a')).toBe('trial');
    expect(detector.tryBeginTrial('a', now)).toBe(true);
    expect([getStatus('a'), detector.tryBeginTrial('a', now)]).toEqual(['ejected', false]);
    detector.endTrial('a');
    expect(getStatus('a')).toBe('trial');
  });

  it('is readmitted by three trial runs in a row, and not by its former failures ejected', () => {
    now += 500;
    const events = repeatCalls(3, () => run('a', 'completed'));
    expect(events).toMatchObject([{ type: 'readmitted', cause: 'trialsCompleted' }]);
    expect([...run('b', 'completed'), ...run('a', 'failed')]).toEqual([]);
  });

  it('is ejected for twice as long by each failed trial run, up to 8 s', () => {
    const times = repeatCalls(6, () => {
      now += 8_000;
      return [...run('a', 'completed'), ...run('a', 'failed')];
    });
    expect(times.map((event) => event.type === 'ejected' && event.milliseconds)).toEqual([
      1_000, 2_000, 4_000, 8_000, 8_000, 8_000,
    ]);
  });

  it('is not judged by runs that were sent before the trial time', () => {
    // Guards against late answers of a member that hung.
    now += 500;
    const sentAt = now - 600;
    expect(run('a', 'lost', { sentAt })).toEqual([]);
    expect(repeatCalls(3, () => run('a', 'completed', { sentAt }))).toEqual([]);
  });

  it('is ejected for longer if it fails again soon after its return, and not later', () => {
    now += 500;
    repeatCalls(3, () => run('a', 'completed'));
    expect(ejectMember()).toMatchObject([{ milliseconds: 1_000, consecutive: 2 }]);
    now += 1_000;
    repeatCalls(3, () => run('a', 'completed'));
    now += 11_000;
    expect(ejectMember()).toMatchObject([{ milliseconds: 500, consecutive: 1 }]);
  });

  it('gets reads that cannot be repeated if no read has tried it for a second', () => {
    // Guards against a replica that stays out because its callers only open transactions.
    now += 1_000;
    expect([getStatus('a', true), getStatus('a', false)]).toEqual(['trial', 'ejected']);
    now += 500;
    expect(getStatus('a', false)).toBe('trial');
  });

  it('is as good as new after a restart', () => {
    detector.removeMember('a');
    expect(getStatus('a')).toBe('available');
    expect(detector.listMembers(now).map(({ memberId }) => memberId)).toEqual(['b']);
  });
});
