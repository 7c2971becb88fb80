import type { PausedReplica, PromotionCoverage, UpstreamCommand } from '@wisterialift/pooling';
import type { GroupContext } from '../groups/groupContext';
import type { Member } from '../groups/member';
import type { MemberRegistrar } from '../groups/memberRegistrar';
import { toRegisteredMember, toStoredMember } from '../groups/registeredMember';
import { sendMemberCommand } from '../groups/sendMemberCommand';
import type { FormerMemberReport, FormerMembers } from './formerMembers';

/** Checks that the members a promotion can pause hold every acknowledged commit. */
export interface CoverageCheck {
  /** Whether they will, by the register as it was read last; asks members that are not listed if need be. */
  canCover: (primary: Member | undefined) => Promise<boolean>;
  /** Whether they do; logs why not. */
  allowsPromotion: (primary: Member | undefined, paused: PausedMembers) => boolean;
  /** Pauses dropped members unless the listed replicas are enough. */
  pauseFormerMembers: (term: number, primary: Member | undefined) => Promise<FormerMemberReport[]>;
  /** Resumes dropped members. */
  resumeFormerMembers: () => Promise<void>;
}

/** Members that answered, or will before the order. */
export interface PausedMembers {
  replicas: readonly Member[];
  /** Dropped members; those that answer as primary are not paused. */
  former?: readonly FormerMemberReport[];
}

export interface CoverageCheckOptions {
  registrar: Pick<MemberRegistrar, 'assessPromotion' | 'isAwaited'>;
  formerMembers: Pick<FormerMembers, 'request'>;
  isSilent: (member: Member) => boolean;
  timeoutMilliseconds: number;
}

export function createCoverageCheck(
  context: GroupContext,
  { registrar, formerMembers, isSilent, timeoutMilliseconds }: CoverageCheckOptions,
): CoverageCheck {
  const { group, logger, members } = context;

  const isResponsive = (primary: Member | undefined) => primary !== undefined && !isSilent(primary);

  const isMissing = (member: Member) => member.missingSince !== undefined;

  const listReplicas = (primary: Member | undefined) =>
    [...members.values()].filter((member) => member !== primary);

  function assess(
    primary: Member | undefined,
    { replicas, former = [] }: PausedMembers,
  ): PromotionCoverage {
    const formerReplicas = former.filter(({ report }) => !report.isPrimary);
    return registrar.assessPromotion({
      paused: [
        ...replicas.map(toRegisteredMember),
        ...formerReplicas.map(({ entry }) => toStoredMember(entry)),
      ],
      isPrimaryResponsive: isResponsive(primary) || formerReplicas.length < former.length,
    });
  }

  function areListedEnough(primary: Member | undefined): boolean {
    const replicas = listReplicas(primary).filter((member) => !isMissing(member));
    return assess(primary, { replicas }).type === 'covered';
  }

  function allowsPromotion(primary: Member | undefined, paused: PausedMembers): boolean {
    const coverage = assess(primary, paused);
    if (coverage.type === 'covered') return true;
    const { memberIds } = coverage;
    if (coverage.type === 'givenUp') {
      logger.error('departedMembersGivenUp', { group, memberIds });
      return true;
    }
    const reason = 'members that may alone hold acknowledged commits are missing';
    logger.warn('promotionDeferred', { group, reason, memberIds });
    return false;
  }

  /** Sends a command to dropped members that a promotion waits for. */
  const requestFormerMembers = (
    command: Extract<UpstreamCommand, { type: 'status' | 'pause' | 'resume' }>,
  ) =>
    formerMembers.request(command, {
      isWanted: (entry) => registrar.isAwaited(toStoredMember(entry)),
      timeoutMilliseconds,
    });

  return {
    canCover: async (primary) => {
      if (areListedEnough(primary)) return true;
      const replicas = listReplicas(primary);
      const missing = replicas.filter(isMissing);
      const [former, ...reports] = await Promise.all([
        requestFormerMembers({ type: 'status' }),
        ...missing.map((member) =>
          sendMemberCommand(context, member, { type: 'status' }, timeoutMilliseconds),
        ),
      ]);
      const silent = missing.filter((_, index) => reports[index] === undefined);
      const answering = replicas.filter((member) => !silent.includes(member));
      return allowsPromotion(primary, { replicas: answering, former });
    },
    allowsPromotion,
    pauseFormerMembers: async (term, primary) =>
      areListedEnough(primary) ? [] : requestFormerMembers({ type: 'pause', term }),
    resumeFormerMembers: async () => {
      await requestFormerMembers({ type: 'resume' });
    },
  };
}

/** A member off the directory is no more promoted than a leaving one; one that leads was not paused. */
export function toPausedFormerReplicas({ entry, report }: FormerMemberReport): PausedReplica[] {
  if (report.isPrimary) return [];
  const { received, term } = report;
  const { memberId } = entry;
  const rank = { isLeaving: true, isRegistered: false, isPreferred: false };
  return [{ memberId, term, received, ...rank }];
}
