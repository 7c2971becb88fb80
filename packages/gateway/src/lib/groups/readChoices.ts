import { orderMembersForRead } from '@wisterialift/pooling';
import type { RequiredLog } from '@wisterialift/pooling';
import { isAtMost } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import type { GroupContext } from './groupContext';
import type { Member } from './member';
import type { PrimaryProof } from './primaryProof';
import type { StatementRequest } from './statementRequest';

/** A member that could run a read. */
export interface ReadChoice {
  member: Member;
  /** Milliseconds until the member can show what the read must see. */
  wait: number;
  /** Whether it is believed to lag, and the read finds out whether it still does. */
  isTrial: boolean;
  isPrimary: boolean;
  /** Log that the read must see; undefined where only the primary can tell. */
  after: Position | undefined;
  /** Milliseconds until there is a connection. */
  delay: number;
}

/** Knows which members could run a read, by all that is believed of them. */
export interface ReadChoices {
  /**
   * The members that could run a read, the best first.
   *
   * @param full - members that had no room for this read.
   */
  choose: (request: StatementRequest, full: ReadonlySet<Member>) => ReadChoice[];
  /** Whether some member could run the read at once, as far as this instance knows. */
  hasIdle: (request: StatementRequest) => boolean;
  /** Whether a position is known that a replica could be asked for. */
  hasFloor: (request: StatementRequest) => boolean;
}

/** Kept from the stated age for the way of the question and unequal timers. */
export const STALENESS_MARGIN_MILLISECONDS = 60;

export function createReadChoices(context: GroupContext, proof: PrimaryProof): ReadChoices {
  const { belief, clock, evidence, leaving, members, uses } = context;

  function choose(request: StatementRequest, full: ReadonlySet<Member>): ReadChoice[] {
    const now = clock.now();
    const primary = belief.find();
    const required = requiredLog(request);
    const choices = [...members.values()]
      .filter((member) => (member === primary ? !proof.isStalled() : required !== undefined))
      .filter((member) => !full.has(member) && member.avoidUntil <= now)
      .filter((member) => !isLeavingReplica(member, primary) && leaving.mayTake(member))
      .map((member) => ({
        memberId: member.entry.memberId,
        member,
        isPrimary: member === primary,
        after: required?.position,
        latency: member.latency.current(now),
        isReserved: member === primary && uses('reservedPrimary'),
        load: member.gate.load(),
        capacity: member.gate.capacity(),
        delay: member.pool.delay(),
        ...expectLog(member, member === primary ? undefined : required, now),
      }));
    return orderMembersForRead(choices);
  }

  function isLeavingReplica(member: Member, primary: Member | undefined): boolean {
    if (member.missingSince !== undefined) return true;
    return member.entry.isLeaving && member !== primary;
  }

  /** Log that the read must see, or undefined where only the primary can tell. */
  function requiredLog({ route, session, arrived }: StatementRequest): RequiredLog | undefined {
    if (route.consistency === 'primary') return undefined;
    const maximumAge = route.maximumStaleness - STALENESS_MARGIN_MILLISECONDS;
    const floor = evidence.findFloor({ now: arrived.at, maximumAge });
    if (!floor) return undefined;
    const { lastCommit } = session;
    const needsOwn = route.consistency === 'readYourWrites' && lastCommit !== undefined;
    if (needsOwn && !isAtMost(lastCommit.position, floor.position)) return lastCommit;
    return { position: floor.position, seenAt: floor.askedAt };
  }

  /**
   * Time until a member has applied what the read needs, by its lag.
   *
   * Waiting for it within the caller's time serves reads that the primary alone would have no slots
   * for while all replicas lag beyond the stated age.
   */
  function expectLog(
    { lag }: Member,
    required: RequiredLog | undefined,
    now: number,
  ): Pick<ReadChoice, 'wait' | 'isTrial'> {
    const wait = lag.timeUntilApplied(required, now);
    const isTrial = wait > 0 && lag.mayBeTried(now) && uses('trialReads');
    return { wait: isTrial ? 0 : wait, isTrial };
  }

  const hasIdle = (request: StatementRequest) =>
    choose(request, new Set()).some(
      ({ member, wait, delay }) => wait === 0 && delay === 0 && member.gate.hasRoom(),
    );

  return { choose, hasIdle, hasFloor: (request) => requiredLog(request) !== undefined };
}
