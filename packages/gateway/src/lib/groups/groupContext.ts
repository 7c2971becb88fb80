import type {
  ClockReadings,
  MemberObservation,
  MemberReport,
  ReplicationTracker,
  UpstreamAnswer,
} from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import type { Logger } from '@wisterialift/telemetry';
import type { IsMechanismEnabled } from '../mechanisms';
import type { IsLoadControlEnabled } from '../configuration/loadControls';
import type { Clock } from '../ports/clock';
import type { UpstreamDriver } from '../ports/upstreamPort';
import type { FailureEjection } from './failureEjection';
import type { LeavingMemberPolicy } from './leavingMemberPolicy';
import { describeLeavingTime } from './member';
import type { Member } from './member';
import type { PrimaryTracker } from './primaryTracker';
import type { ReturnGuidance } from './returnGuidance';

/** State and services shared by the components of a group. */
export interface GroupContext {
  group: string;
  members: Map<string, Member>;
  evidence: ReplicationTracker;
  primaryTracker: PrimaryTracker;
  clock: Clock;
  logger: Logger;
  driver: UpstreamDriver;
  /** Reports a suspected failure of the primary to the promotion controller. */
  suspectPrimary: (cause: SuspicionCause, member: Member | undefined) => void;
  /** Passes on what a member's answer shows, after `evidence` has taken it into account. */
  reportObservation: (observation: MemberObservation) => void;
  counters: GroupCounters;
  leavingPolicy: LeavingMemberPolicy;
  failureEjection: FailureEjection;
  isMechanismEnabled: IsMechanismEnabled;
  isLoadControlEnabled: IsLoadControlEnabled;
  /** Only with the control `retryGuidance`. */
  returnGuidance?: ReturnGuidance;
  /** Returns a uniformly distributed number in [0, 1). */
  random: () => number;
}

/** Why the primary is suspected. */
export type SuspicionCause = 'unreachable' | 'silent' | 'absent' | 'leaving' | 'unconfirmed';

export interface GroupCounters {
  probes: number;
  /** Statements prepared on connections to members. */
  preparations: number;
  retries: number;
  refusals: number;
  promotions: number;
  relayed: number;
  /** Reads refused before their deadline while a member was idle. */
  refusedBesideIdle: number;
  /** Reads outside transactions answered by a replica. */
  replicaReads: number;
  /** Reads outside transactions answered by the primary. */
  primaryReads: number;
  /** Read positions found without the primary. */
  positionsFound: number;
  /** Searches for one that failed, because members that may hold acknowledged commits were silent. */
  positionsNotFound: number;
  /** Statements sent to a leaving member. */
  sentToLeaving: number;
  /** Statements refused on behalf of a holder that had stated to have no capacity. */
  refusedAtFirstInstance: number;
  /** Places in the order that were kept for refused statements. */
  returnCreditsGiven: number;
  /** Statements ordered by the arrival of a refused one. */
  returnCreditsUsed: number;
  /** Statements that a group's only member could not confirm because the directory was too old. */
  unconfirmedAlone: number;
  /** Statements that only the primary can run, sent to the holder in the primary's data centre. */
  sentToPrimaryHolder: number;
  /** Statements that only the primary can run and that took the usual path. */
  sentToNearHolder: number;
}

/** Sequence number and time of an event, used to order it relative to observations. */
export interface SequencedTime {
  sequence: number;
  /** Milliseconds of the monotonic clock. */
  at: number;
  /** Both clocks at that time, for ages that include suspensions. */
  readings: ClockReadings;
}

export function createSequencedTime({ evidence, clock }: GroupContext): SequencedTime {
  const readings = clock.readClocks();
  return { sequence: evidence.takeNextSequenceNumber(), at: readings.monotonic, readings };
}

/** Counts and logs a statement that is about to be sent, if the member is leaving. */
export function logIfLeaving(
  context: GroupContext,
  { entry }: Member,
  sent: { requestId: string; queuedAt: number },
): void {
  const { clock, counters, group, logger } = context;
  if (!entry.leavingSince) return;
  counters.sentToLeaving += 1;
  logger.info('sentToLeaving', {
    group,
    memberId: entry.memberId,
    requestId: sent.requestId,
    waitedMilliseconds: Math.round(clock.now() - sent.queuedAt),
    ...describeLeavingTime(entry.leavingSince, clock.readClocks()),
  });
}

/**
 * Describes the log end that each member last told, and how long ago it was asked, for the log: which
 * of them may hold acknowledged commits that the others lack.
 */
export function describeLogEnds({ clock, evidence, members }: GroupContext) {
  return [...members.keys()].map((memberId) => {
    const seen = evidence.getLatestObservation(memberId);
    const age = seen && Math.round(clock.now() - seen.requestedAt.monotonic);
    return { memberId, received: seen?.position, applied: seen?.applied, age };
  });
}

/** Records the log position that a member's answer shows. */
export function observeAnswer(
  context: GroupContext,
  member: Member,
  sentStamp: SequencedTime,
  { position }: UpstreamAnswer,
): void {
  const { primaryTracker, clock } = context;
  const { memberId } = member.entry;
  Object.assign(member, { answeredAt: clock.now(), failures: 0 });
  if (!position) return;
  recordReplicaLag(context, member, sentStamp, position);
  recordObservation(context, {
    memberId,
    requestSequenceNumber: sentStamp.sequence,
    requestedAt: sentStamp.readings,
    term: position.term,
    position,
    applied: position,
    isPrimary: primaryTracker.isConfirmed(memberId, position.term),
  });
}

function recordObservation(
  { evidence, reportObservation }: GroupContext,
  observation: MemberObservation,
): void {
  evidence.observe(observation);
  reportObservation(observation);
}

/** Records how far a member's applied log lags behind the primary. */
function recordReplicaLag(
  { clock, evidence }: GroupContext,
  member: Member,
  sentStamp: SequencedTime,
  applied: Position,
): void {
  const passedAt = evidence.findTimeObservedBeyond(applied);
  const lag = passedAt === undefined ? 0 : Math.max(0, sentStamp.at - passedAt);
  member.lag.observe({ applied, lag, now: clock.now() });
}

/** Records a member's status report. */
export function observeReport(
  context: GroupContext,
  member: Member,
  sentStamp: SequencedTime,
  { report, applied }: { report: MemberReport; applied: Position },
): void {
  const { primaryTracker } = context;
  const { memberId } = member.entry;
  if (report.isPrimary) primaryTracker.confirmPrimary(memberId, report.term);
  recordReplicaLag(context, member, sentStamp, applied);
  recordObservation(context, {
    memberId,
    requestSequenceNumber: sentStamp.sequence,
    requestedAt: sentStamp.readings,
    term: report.term,
    position: report.received,
    applied,
    isPrimary: report.isPrimary,
  });
}
