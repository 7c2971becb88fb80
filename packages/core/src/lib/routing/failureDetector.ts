import {
  addCounts,
  computeFailureRate,
  COMPARISON_MILLISECONDS,
  createRecentCounts,
  createRunWindow,
} from './runWindow';
import type { RecordedRun, RunCounts, RunWindow } from './runWindow';

/** Outcome of one run of a statement at a member. @public */
export interface MemberRun {
  memberId: string;
  /** Number of the statement, the same for all of its runs and different for each statement. */
  statement: number;
  /**
   * - `failed`: the member answered with a failure.
   * - `lost`: the connection broke, or no answer came within the time limit.
   */
  outcome: 'completed' | 'failed' | 'lost';
  /** When the run was sent, in milliseconds. */
  sentAt: number;
  now: number;
  /** Whether the member is considered the primary, which is never ejected. */
  isPrimary: boolean;
  /** Number of members of the group. */
  memberCount: number;
}

/**
 * Whether a member can be sent reads.
 *
 * - `trial`: a single read may test it.
 * - `ejected`: it gets no read that another member can run.
 *
 * @public
 */
export type MemberStatus = 'available' | 'trial' | 'ejected';

/** A member that was ejected or readmitted. @public */
export type FailureEvent = {
  memberId: string;
  /** Failure rate of the member's latest runs, between 0 and 1. */
  failureRate: number;
  /** Failure rate of the latest runs at all members. */
  groupFailureRate: number;
  /** Number of latest runs at the member. */
  runs: number;
} & (
  | { type: 'ejected'; milliseconds: number; consecutive: number }
  | { type: 'readmitted'; cause: ReadmissionCause }
);

/** @public */
export type ReadmissionCause =
  /** Its trial runs were completed. */
  | 'trialsCompleted'
  /** What had failed there failed at another member too. */
  | 'failedElsewhere'
  /** The other members fail as well. */
  | 'allMembersFail'
  /** It is the primary now. */
  | 'promoted';

/** State of one member, for metrics. @public */
export interface MemberFailures {
  memberId: string;
  failureRate: number;
  isEjected: boolean;
  /** Ejections since the start of the process. */
  ejections: number;
}

/** @public */
export interface FailureDetector {
  /** Records a run; returns the ejections and readmissions that follow from it. */
  recordRun: (run: MemberRun) => FailureEvent[];
  /** @param canRepeat - whether the read can be repeated at another member if its run fails. */
  getStatus: (memberId: string, options: { now: number; canRepeat: boolean }) => MemberStatus;
  /** Reserves the one trial run that a member may have at a time; false if it is taken. */
  tryBeginTrial: (memberId: string, now: number) => boolean;
  endTrial: (memberId: string) => void;
  /** Forgets a member that has restarted or is gone. */
  removeMember: (memberId: string) => void;
  listMembers: (now: number) => MemberFailures[];
}

interface Ejection {
  since: number;
  until: number;
  /** The failed runs that led to it. */
  causes: Set<RecordedRun>;
  /** Number of causes below which it is revoked. */
  requiredCauses: number;
  hasTrialRunning: boolean;
  completedTrials: number;
}

interface MemberState {
  window: RunWindow;
  ejection: Ejection | undefined;
  consecutive: number;
  readmittedAt: number;
  ejections: number;
}

/** With fewer failures, a few statements that fail by themselves could eject a member. */
const MINIMUM_FAILURES = 5;

/** A member above this failure rate is ejected if the others fail at most half as often. */
const HIGH_FAILURE_RATE = 0.5;
const HIGH_RATE_RATIO = 2;

/** Lower rates need a clearer difference from the other members and from the member's own past. */
const RAISED_FAILURE_RATE = 0.2;
const RAISED_RATE_RATIO = 3;

/** A false positive takes a member out for the shortest time; a lasting fault soon costs little. */
const SHORTEST_EJECTION_MILLISECONDS = 500;
const LONGEST_EJECTION_MILLISECONDS = 8_000;

/** Trial runs in a row that readmit a member. */
const REQUIRED_TRIALS = 3;

/**
 * Time after which a member that no read has tested also gets reads that cannot be repeated. Without
 * it, a member whose callers only open transactions would stay ejected.
 */
const TRIAL_WAIT_MILLISECONDS = 1_000;

/** At most this part of a group is ejected. */
const MAXIMUM_EJECTED_FRACTION = 0.5;

/**
 * Detects replicas that fail the statements sent to them, from the outcomes of their runs.
 *
 * Intended for a replica that fails each statement within 2 ms while its health check is good.
 * Such a replica looks idle and fast, and attracts the reads of all instances: in 7.4 s, 1,885 to 1,987
 * statements failed there. Each instance decides alone and after few runs, so a member is ejected for
 * 0.5 s first, and failures are compared with the runs at the other members: a statement that fails
 * everywhere is at fault itself.
 *
 * @public
 */
export function createFailureDetector(): FailureDetector {
  const members = new Map<string, MemberState>();
  /** Failed runs in the windows, by statement. */
  const failedRuns = new Map<number, RecordedRun[]>();
  /** Failed statements that ran at a second member; counted as failures if they failed there. */
  const comparisons = createRecentCounts();

  function forgetFailure(run: RecordedRun): void {
    const others = (failedRuns.get(run.statement) ?? []).filter((other) => other !== run);
    if (others.length > 0) failedRuns.set(run.statement, others);
    else failedRuns.delete(run.statement);
  }

  function findOrCreate(memberId: string): MemberState {
    const known = members.get(memberId);
    if (known) return known;
    const state: MemberState = {
      window: createRunWindow((run) => run.hasFailed && forgetFailure(run)),
      ejection: undefined,
      consecutive: 0,
      readmittedAt: -Infinity,
      ejections: 0,
    };
    members.set(memberId, state);
    return state;
  }

  /** Whether most recent failed statements failed at a second member as well. */
  const isUsuallyStatementFault = (now: number) =>
    computeFailureRate(comparisons.sum(now)) > HIGH_FAILURE_RATE;

  /** Failures without a comparison count only while most of the compared ones are the member's. */
  function createCounter(now: number): (runs: readonly RecordedRun[]) => RunCounts {
    const ignoresUncompared = isUsuallyStatementFault(now);
    const isCounted = ({ isExcused, hasFailed, isCompared }: RecordedRun) =>
      !isExcused && !(hasFailed && !isCompared && ignoresUncompared);
    return (runs) => {
      const counted = runs.filter(isCounted);
      return { runs: counted.length, failures: counted.filter((run) => run.hasFailed).length };
    };
  }

  /** Compares a run with the failed runs of the same statement at other members. */
  function compareWithOthers(run: RecordedRun): FailureEvent[] {
    const others = (failedRuns.get(run.statement) ?? []).filter(
      ({ memberId }) => memberId !== run.memberId,
    );
    if (others.length === 0) return [];
    const isStatementFault = run.hasFailed;
    comparisons.add(run.at, { runs: 1, failures: isStatementFault ? 1 : 0 });
    Object.assign(run, { isCompared: true, isExcused: isStatementFault });
    return others.flatMap((other) => {
      Object.assign(other, { isCompared: true, isExcused: other.isExcused || isStatementFault });
      return isStatementFault ? revokeCause(other, run.at) : [];
    });
  }

  /** Takes back an ejection whose causes were the fault of the statements. */
  function revokeCause(run: RecordedRun, now: number): FailureEvent[] {
    const state = members.get(run.memberId);
    const { ejection } = state ?? {};
    if (!state || !ejection?.causes.delete(run)) return [];
    if (ejection.causes.size >= ejection.requiredCauses) return [];
    state.consecutive -= 1;
    if (ejection.requiredCauses === MINIMUM_FAILURES) {
      return [readmit(run.memberId, state, { now, cause: 'failedElsewhere' })];
    }
    Object.assign(ejection, { until: now });
    return [];
  }

  function describe(memberId: string, { window }: MemberState, now: number) {
    const count = createCounter(now);
    const own = count(window.list(now));
    const all = [...members.values()].map((state) => count(state.window.list(now)));
    return {
      memberId,
      failureRate: computeFailureRate(own),
      groupFailureRate: computeFailureRate(addCounts(all)),
      runs: own.runs,
    };
  }

  function readmit(
    memberId: string,
    state: MemberState,
    { now, cause }: { now: number; cause: ReadmissionCause },
  ): FailureEvent {
    const event = { type: 'readmitted', cause, ...describe(memberId, state, now) } as const;
    Object.assign(state, { ejection: undefined, readmittedAt: now });
    // The failures that led to the ejection must not lead to the next one.
    state.window.clear();
    return event;
  }

  function eject(
    memberId: string,
    state: MemberState,
    { now, causes }: { now: number; causes: RecordedRun[] },
  ): FailureEvent {
    const isAfterTrial = state.ejection !== undefined;
    const isFirst = !isAfterTrial && now - state.readmittedAt > COMPARISON_MILLISECONDS;
    const consecutive = isFirst ? 1 : state.consecutive + 1;
    const milliseconds = computeEjectionTime(consecutive);
    const ejection: Ejection = {
      since: now,
      until: now + milliseconds,
      causes: new Set(causes),
      requiredCauses: isAfterTrial ? 1 : MINIMUM_FAILURES,
      hasTrialRunning: false,
      completedTrials: 0,
    };
    Object.assign(state, { ejection, consecutive, ejections: state.ejections + 1 });
    return { type: 'ejected', milliseconds, consecutive, ...describe(memberId, state, now) };
  }

  /** Counts the runs of the other members since the first failure at this one. */
  function countOthers(memberId: string, { now, since }: { now: number; since: number }) {
    const count = createCounter(now);
    const others = [...members].filter(([otherId]) => otherId !== memberId);
    return addCounts(others.map(([, { window }]) => count(window.list(now, since))));
  }

  const isCeilingReached = (memberCount: number) => {
    const ejected = [...members.values()].filter(({ ejection }) => ejection).length;
    return ejected >= Math.floor(memberCount * MAXIMUM_EJECTED_FRACTION);
  };

  function ejectIfFailing(
    state: MemberState,
    { memberId, memberCount, now }: MemberRun,
  ): FailureEvent[] {
    const runs = state.window.list(now);
    const causes = runs.filter(({ hasFailed, isExcused }) => hasFailed && !isExcused);
    if (causes.length < MINIMUM_FAILURES || isCeilingReached(memberCount)) return [];
    const own = createCounter(now)(runs);
    const others = countOthers(memberId, { now, since: causes[0]!.at });
    if (!isFailing({ own, others, preceding: state.window.countPreceding(now) })) return [];
    return [eject(memberId, state, { now, causes })];
  }

  /** Ends all ejections if each member that has run something since fails as well. */
  function readmitIfAllFail(now: number): FailureEvent[] {
    const ejected = [...members].filter(([, { ejection }]) => ejection);
    return ejected.flatMap(([memberId, state]) => {
      const { since } = state.ejection!;
      const count = createCounter(now);
      const others = [...members.values()]
        .filter(({ ejection }) => !ejection)
        .map(({ window }) => count(window.list(now, since)))
        .filter(({ runs }) => runs > 0);
      const doAllFail = others.every((counts) => computeFailureRate(counts) > HIGH_FAILURE_RATE);
      if (!doAllFail || addCounts(others).failures < MINIMUM_FAILURES) return [];
      return [readmit(memberId, state, { now, cause: 'allMembersFail' })];
    });
  }

  /** Handles a run at an ejected member; one that was sent before the trial time gives no information. */
  function recordTrial(state: MemberState, run: RecordedRun, { sentAt, now }: MemberRun) {
    const ejection = state.ejection!;
    if (sentAt < ejection.until || run.isExcused) return [];
    if (run.hasFailed) {
      const isUnclear = !run.isCompared && isUsuallyStatementFault(now);
      return isUnclear ? [] : [eject(run.memberId, state, { now, causes: [run] })];
    }
    ejection.completedTrials += 1;
    if (ejection.completedTrials < REQUIRED_TRIALS) return [];
    return [readmit(run.memberId, state, { now, cause: 'trialsCompleted' })];
  }

  function recordRun(input: MemberRun): FailureEvent[] {
    const { memberId, statement, outcome, now, isPrimary } = input;
    const state = findOrCreate(memberId);
    const hasFailed = outcome !== 'completed';
    const run = { memberId, statement, at: now, hasFailed, isExcused: false, isCompared: false };
    const events = compareWithOthers(run);
    state.window.add(run);
    if (hasFailed) failedRuns.set(statement, [...(failedRuns.get(statement) ?? []), run]);
    if (isPrimary && state.ejection) {
      return [...events, readmit(memberId, state, { now, cause: 'promoted' })];
    }
    if (state.ejection) return [...events, ...recordTrial(state, run, input)];
    if (!hasFailed) return events;
    const ejections = isPrimary ? [] : ejectIfFailing(state, input);
    return [...events, ...ejections, ...readmitIfAllFail(now)];
  }

  function getStatus(
    memberId: string,
    { now, canRepeat }: { now: number; canRepeat: boolean },
  ): MemberStatus {
    const ejection = members.get(memberId)?.ejection;
    if (!ejection) return 'available';
    const trialAt = canRepeat ? ejection.until : ejection.until + TRIAL_WAIT_MILLISECONDS;
    return now < trialAt || ejection.hasTrialRunning ? 'ejected' : 'trial';
  }

  return {
    recordRun,
    getStatus,
    tryBeginTrial: (memberId, now) => {
      const ejection = members.get(memberId)?.ejection;
      if (!ejection) return true;
      if (now < ejection.until || ejection.hasTrialRunning) return false;
      ejection.hasTrialRunning = true;
      return true;
    },
    endTrial: (memberId) => {
      const ejection = members.get(memberId)?.ejection;
      if (ejection) ejection.hasTrialRunning = false;
    },
    removeMember: (memberId) => {
      members.get(memberId)?.window.clear();
      members.delete(memberId);
    },
    listMembers: (now) =>
      [...members].map(([memberId, state]) => ({
        memberId,
        failureRate: describe(memberId, state, now).failureRate,
        isEjected: state.ejection !== undefined,
        ejections: state.ejections,
      })),
  };
}

function computeEjectionTime(consecutive: number): number {
  const milliseconds = SHORTEST_EJECTION_MILLISECONDS * 2 ** (consecutive - 1);
  return Math.min(LONGEST_EJECTION_MILLISECONDS, milliseconds);
}

/** Without any run at another member, there is nothing to compare a failure rate with. */
function isFailing({
  own,
  others,
  preceding,
}: {
  own: RunCounts;
  others: RunCounts;
  preceding: RunCounts;
}): boolean {
  if (own.failures < MINIMUM_FAILURES || others.runs === 0) return false;
  const rate = computeFailureRate(own);
  const othersRate = computeFailureRate(others);
  if (rate > HIGH_FAILURE_RATE && rate >= HIGH_RATE_RATIO * othersRate) return true;
  const usualRate = Math.max(othersRate, computeFailureRate(preceding));
  return rate > RAISED_FAILURE_RATE && rate >= RAISED_RATE_RATIO * usualRate;
}
