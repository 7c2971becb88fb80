import type { GroupEvidence, MemberReport, UpstreamAnswer } from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import type { Logger } from '@wisterialift/telemetry';
import type { UsesMechanism } from '../mechanisms';
import type { Clock } from '../ports/clock';
import type { UpstreamDriver } from '../ports/upstreamPort';
import type { LeavingMembers } from './leavingMembers';
import { describeLeaving } from './member';
import type { Member } from './member';
import type { PrimaryBelief } from './primaryBelief';

/** What the parts of a group's task share. */
export interface GroupContext {
  group: string;
  members: Map<string, Member>;
  evidence: GroupEvidence;
  belief: PrimaryBelief;
  clock: Clock;
  logger: Logger;
  driver: UpstreamDriver;
  /** Something speaks against the primary; the promotion task looks into it. */
  suspectPrimary: (cause: SuspicionCause, member: Member | undefined) => void;
  counters: GroupCounters;
  leaving: LeavingMembers;
  uses: UsesMechanism;
  /** Uniform in [0, 1). */
  random: () => number;
}

/** Why the primary is looked at. */
export type SuspicionCause = 'unreachable' | 'silent' | 'absent' | 'leaving' | 'unconfirmed';

export interface GroupCounters {
  probes: number;
  retries: number;
  refusals: number;
  promotions: number;
  relayed: number;
  /** Reads that were refused with time left while a member could have run them at once. */
  refusedBesideIdle: number;
  /** Reads outside of transactions that a replica answered. */
  replicaReads: number;
  /** Such reads that the primary answered. */
  primaryReads: number;
  /** Statements that were sent to a member that leaves. */
  sentToLeaving: number;
}

/** When a question was sent, for the evidence in its answer. */
export interface AskedAt {
  sequence: number;
  at: number;
}

export function markAsked({ evidence, clock }: GroupContext): AskedAt {
  return { sequence: evidence.nextSequence(), at: clock.now() };
}

/** Notes a statement of a caller that is about to be sent to a member, if the member leaves. */
export function noteLeaving(
  context: GroupContext,
  { entry }: Member,
  sent: { requestId: string; placedAt: number },
): void {
  const { clock, counters, group, logger } = context;
  if (!entry.leavingSince) return;
  counters.sentToLeaving += 1;
  logger.info('sentToLeaving', {
    group,
    memberId: entry.memberId,
    requestId: sent.requestId,
    waitedMilliseconds: Math.round(clock.now() - sent.placedAt),
    ...describeLeaving(entry.leavingSince, clock.readings()),
  });
}

/** Records what an answer proves of the member that gave it. */
export function observeAnswer(
  context: GroupContext,
  member: Member,
  asked: AskedAt,
  { position }: UpstreamAnswer,
): void {
  const { evidence, belief, clock } = context;
  const { memberId } = member.entry;
  Object.assign(member, { answeredAt: clock.now(), failures: 0 });
  if (!position) return;
  observeApplied(context, member, asked, position);
  evidence.observe({
    memberId,
    askedSequence: asked.sequence,
    askedAt: asked.at,
    term: position.term,
    position,
    applied: position,
    isPrimary: belief.isProved(memberId, position.term),
  });
}

/** Records how far behind the primary a member's reads are. */
function observeApplied(
  { clock, evidence }: GroupContext,
  member: Member,
  asked: AskedAt,
  applied: Position,
): void {
  const passedAt = evidence.timeBeyond(applied);
  const lag = passedAt === undefined ? 0 : Math.max(0, asked.at - passedAt);
  member.lag.observe({ applied, lag, now: clock.now() });
}

/** Records what a member told of itself. */
export function observeReport(
  context: GroupContext,
  member: Member,
  asked: AskedAt,
  { report, applied }: { report: MemberReport; applied: Position },
): void {
  const { evidence, belief } = context;
  const { memberId } = member.entry;
  if (report.isPrimary) belief.provePrimary(memberId, report.term);
  observeApplied(context, member, asked, applied);
  evidence.observe({
    memberId,
    askedSequence: asked.sequence,
    askedAt: asked.at,
    term: report.term,
    position: report.received,
    applied,
    isPrimary: report.isPrimary,
  });
}
