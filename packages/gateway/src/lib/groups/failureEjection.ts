import { createFailureDetector, createRetryBudget } from '@wisterialift/core';
import type { FailureEvent, MemberFailures, MemberRun, MemberStatus } from '@wisterialift/core';
import type { UpstreamAnswer, UpstreamCommand } from '@wisterialift/pooling';
import type { GroupContext, SequencedTime } from './groupContext';
import type { Member } from './member';
import type { StatementRequest } from './statementRequest';

/** A command that was sent to a member, and its outcome. */
export interface SentCommand {
  request: StatementRequest;
  command: Pick<UpstreamCommand, 'type'>;
  sentStamp: SequencedTime;
  outcome:
    { type: 'answered'; answer: UpstreamAnswer } | { type: 'lost'; cause: 'timeout' | 'broken' };
}

/** Failures of one member as this instance has seen them. @public */
export interface MemberFailureCounts extends MemberFailures {
  /** Reads that failed at the member and were repeated at another one. */
  repeatedReads: number;
  /** Reads that failed at the member and were not repeated because the budget was spent. */
  budgetExhausted: number;
  /** Reads sent to the member during its ejection because no other member could run them. */
  lastResortReads: number;
}

/** Keeps reads away from replicas that fail them, and limits the repetition of failed reads. */
export interface FailureEjection {
  /** Records the outcome of a read, or of the start of a transaction. */
  recordRun: (member: Member, sent: SentCommand) => void;
  /** @param canRepeat - whether the read can be repeated at another member if it fails. */
  getStatus: (member: Member, canRepeat: boolean) => MemberStatus;
  /** Reserves the trial run of a member; false if another read has it. */
  tryBeginTrial: (member: Member) => boolean;
  endTrial: (member: Member) => void;
  /** Counts a read that is sent to an ejected member because no other can run it. */
  recordLastResort: (member: Member) => void;
  /** Credits the budget of repeated reads with a new read. */
  recordRead: () => void;
  /** Whether the budget allows to repeat a read that failed at the member; spends it if so. */
  tryRepeat: (member: Member) => boolean;
  /** Forgets a member that has restarted or is gone. */
  removeMember: (memberId: string) => void;
  listMembers: () => MemberFailureCounts[];
}

/** Repeated reads add at most a tenth to the load, also if every read fails. */
const REPEAT_BUDGET = { retryRatio: 0.1, minimumTokens: 5 };

/**
 * Part of its time limit that a read without an answer must have had at the member to count as lost.
 * A read that waited elsewhere for most of its time may run out of it at a healthy member.
 */
const MINIMUM_TIME_FRACTION = 0.5;

const DISABLED: FailureEjection = {
  recordRun: () => undefined,
  getStatus: () => 'available',
  tryBeginTrial: () => true,
  endTrial: () => undefined,
  recordLastResort: () => undefined,
  recordRead: () => undefined,
  tryRepeat: () => false,
  removeMember: () => undefined,
  listMembers: () => [],
};

type Counts = Omit<MemberFailureCounts, keyof MemberFailures>;

export function createFailureEjection(
  context: Pick<
    GroupContext,
    'group' | 'members' | 'primaryTracker' | 'clock' | 'logger' | 'isLoadControlEnabled'
  >,
): FailureEjection {
  const { group, members, primaryTracker, clock, logger } = context;
  if (!context.isLoadControlEnabled('failureEjection')) return DISABLED;
  const detector = createFailureDetector();
  const budget = createRetryBudget(REPEAT_BUDGET);
  const countsByMember = new Map<string, Counts>();

  const getCounts = (memberId: string): Counts =>
    countsByMember.get(memberId) ?? { repeatedReads: 0, budgetExhausted: 0, lastResortReads: 0 };

  function count(memberId: string, name: keyof Counts): void {
    const counts = getCounts(memberId);
    countsByMember.set(memberId, { ...counts, [name]: counts[name] + 1 });
  }

  function recordRun(member: Member, sent: SentCommand): void {
    const { memberId } = member.entry;
    const outcome = classifyOutcome(sent, clock.now());
    // The connections of a member that restarted or is gone have been closed by this instance.
    if (!outcome || members.get(memberId) !== member) return;
    const events = detector.recordRun({
      memberId,
      outcome,
      statement: sent.request.arrivalStamp.sequence,
      sentAt: sent.sentStamp.at,
      now: clock.now(),
      isPrimary: member === primaryTracker.find(),
      memberCount: members.size,
    });
    events.forEach(logEvent);
  }

  function logEvent({ type, failureRate, groupFailureRate, ...fields }: FailureEvent): void {
    const rates = {
      failureRate: roundRate(failureRate),
      groupFailureRate: roundRate(groupFailureRate),
    };
    const name = type === 'ejected' ? 'memberEjected' : 'memberReadmitted';
    logger.warn(name, { group, ...fields, ...rates });
  }

  return {
    recordRun,
    getStatus: (member, canRepeat) => {
      if (member === primaryTracker.find()) return 'available';
      return detector.getStatus(member.entry.memberId, { now: clock.now(), canRepeat });
    },
    tryBeginTrial: ({ entry }) => detector.tryBeginTrial(entry.memberId, clock.now()),
    endTrial: ({ entry }) => detector.endTrial(entry.memberId),
    recordLastResort: ({ entry }) => count(entry.memberId, 'lastResortReads'),
    recordRead: () => budget.recordFirstAttempt(clock.now()),
    tryRepeat: ({ entry }) => {
      const isAllowed = budget.trySpendRetry(clock.now());
      count(entry.memberId, isAllowed ? 'repeatedReads' : 'budgetExhausted');
      return isAllowed;
    },
    removeMember: (memberId) => {
      detector.removeMember(memberId);
      countsByMember.delete(memberId);
    },
    listMembers: () =>
      detector
        .listMembers(clock.now())
        .map((failures) => ({ ...failures, ...getCounts(failures.memberId) })),
  };
}

/** Classifies a run; undefined if it gives no information about the member. */
function classifyOutcome(
  { request, command, sentStamp, outcome }: SentCommand,
  now: number,
): MemberRun['outcome'] | undefined {
  if (outcome.type === 'lost') {
    const timeAtMember = now - sentStamp.at;
    const hadTime = timeAtMember >= request.route.timeout * MINIMUM_TIME_FRACTION;
    return outcome.cause === 'broken' || hadTime ? 'lost' : undefined;
  }
  const { answer } = outcome;
  if (answer.outcome === 'refused') return answer.reason === 'failed' ? 'failed' : undefined;
  // A member that fails each statement still begins transactions.
  return command.type === 'begin' ? undefined : 'completed';
}

function roundRate(rate: number): number {
  return Math.round(rate * 1_000) / 1_000;
}
