import { computeAgeUpperBound, isDirectoryValid } from '@wisterialift/pooling';
import type { ClockReadings } from '@wisterialift/pooling';
import type { PromotionStore } from '../ports/platformPort';
import { createRecordObserver } from '../promotion/recordObserver';
import type { GroupContext } from './groupContext';
import { isKnownToAllInstances } from './member';
import type { Member } from './member';

/**
 * Decides when the word of a group's only listed member is enough for a read or a commit.
 *
 * A member that joined may be promoted while an instance does not know it yet. Two conditions rule
 * that out: the group's promotion record names the sole member, so that a promotion fences it or
 * waits until all instances know the others; and the directory snapshot of this instance is recent.
 */
export interface SoleMemberGuard {
  hasOtherMembers: (member: Member) => boolean;
  /** Looks for a sole member; to be called regularly. */
  checkMembers: () => void;
  /** Records that a commit requested at `requestedAt` was seen to be replicated. */
  recordReplication: (requestedAt: number) => void;
  /**
   * Whether every commit that was acknowledged is known to be held by a member besides the primary;
   * false if some may rest on a sole member, or while the store does not answer.
   */
  isEveryCommitReplicated: () => Promise<boolean>;
  /** Whether this instance has seen that no commit rests on a sole member any more. */
  isReplicationProven: () => boolean;
  /** Whether the primary is the group's only member and cannot be relied on alone at present. */
  isBlocked: () => boolean;
  /** Why statements are refused while `isBlocked`; undefined if they are not. */
  describeRefusal: () => string | undefined;
  /** Waits until the member can be relied on alone; false at the deadline or if others are listed. */
  waitForPermit: (options: PermitOptions) => Promise<boolean>;
}

export interface PermitOptions {
  member: Member;
  /** Term that the member leads. */
  term: number;
  deadlineAt: number;
}

export interface SoleMemberGuardOptions {
  instance: string;
  store: PromotionStore;
  /** The directory includes every change accepted before this time; undefined if unknown. */
  getDirectoryCompleteAt: () => ClockReadings | undefined;
  /** @throws Error if the store does not answer. */
  refreshDirectory: () => Promise<void>;
}

/** Interval at which waiting statements check the directory again. */
const CHECK_INTERVAL_MILLISECONDS = 50;

/** Pause after a permit was not obtained; each try costs calls to the store. */
const RETRY_DELAY_MILLISECONDS = 500;

/**
 * Time for which a member is alone before a permit is obtained ahead of the first statement that
 * needs it. Members that start together join within a few seconds.
 */
const PREPARATION_DELAY_MILLISECONDS = 5_000;

/** A permit that was not checked for longer than this is obtained anew, as after a suspension. */
const MAXIMUM_CHECK_AGE_MILLISECONDS = 1_500;

/** The sole member that the promotion record names, and the term that it led then. */
interface Permit {
  memberId: string;
  term: number;
  /** When the member was last seen to be the only one, in a recent directory. */
  checkedAt: ClockReadings;
}

export function createSoleMemberGuard(
  context: GroupContext,
  options: SoleMemberGuardOptions,
): SoleMemberGuard {
  const { clock, counters, evidence, group, logger, members, primaryTracker } = context;
  const { instance, store, getDirectoryCompleteAt, refreshDirectory } = options;
  const recordObserver = createRecordObserver(clock);
  let permit: Permit | undefined;
  let isRequesting = false;
  let storeFailedUntil = -Infinity;
  let aloneSince: number | undefined;
  let hasBeenAlone = false;
  let isReplicationProven = false;

  const hasOtherMembers = ({ entry }: Member) =>
    [...members.keys()].some((memberId) => memberId !== entry.memberId);

  const isDirectoryRecent = () => isDirectoryValid(getDirectoryCompleteAt(), clock.readClocks());

  const isCheckRecent = ({ checkedAt }: Permit) =>
    computeAgeUpperBound(checkedAt, clock.readClocks()) <= MAXIMUM_CHECK_AGE_MILLISECONDS;

  const hasPermit = (memberId: string, term: number) =>
    permit?.memberId === memberId && permit.term === term && isCheckRecent(permit);

  /** Returns the primary if it is the only member. */
  function findSoleMember(): Member | undefined {
    const primary = primaryTracker.find();
    return primary && !hasOtherMembers(primary) ? primary : undefined;
  }

  function isBlocked(): boolean {
    const member = findSoleMember();
    if (!member) return false;
    if (!isDirectoryRecent()) return true;
    const isNamed = hasPermit(member.entry.memberId, evidence.getHighestTerm());
    return !isNamed && clock.now() < storeFailedUntil;
  }

  /** Returns the upper bound of the directory's age in milliseconds. */
  function getDirectoryAge(): number {
    const completeAt = getDirectoryCompleteAt();
    return completeAt ? Math.round(computeAgeUpperBound(completeAt, clock.readClocks())) : Infinity;
  }

  /**
   * Names the member in the promotion record, unless a promotion is claimed or another member is
   * listed. The directory is read after the record, so it lists every member whose promotion was
   * recorded before, and a promotion that is claimed later sees the name.
   */
  async function requestPermit(member: Member, term: number): Promise<void> {
    const { memberId } = member.entry;
    const stored = await store.read(group);
    if (stored && recordObserver.isHeld(stored)) return;
    if (!stored || stored.record.isClaimed || stored.record.soleMemberId !== memberId) {
      await refreshDirectory();
      if (hasOtherMembers(member)) return;
      const former = stored?.record ?? { holder: instance, token: 0 };
      const record = { ...former, isClaimed: false, soleMemberId: memberId };
      const replacement = { group, record, revision: stored?.revision };
      const { type: outcome } = await store.replace(replacement);
      logger.info('soleMemberNamed', { group, memberId, term, outcome });
      if (outcome !== 'replaced') return;
    }
    if (!isDirectoryRecent()) return;
    permit = { memberId, term, checkedAt: clock.readClocks() };
    hasBeenAlone = true;
  }

  /**
   * Drops the permit once another member is listed or may have been: the name may be taken off the
   * record then.
   */
  function checkPermit(): void {
    if (!permit) return;
    const isStillAlone = findSoleMember()?.entry.memberId === permit.memberId;
    if (isStillAlone && isDirectoryRecent() && isCheckRecent(permit)) {
      permit.checkedAt = clock.readClocks();
    } else {
      permit = undefined;
    }
  }

  async function tryRequestPermit(member: Member, term: number): Promise<void> {
    if (isRequesting || !isDirectoryRecent()) return;
    isRequesting = true;
    const { memberId } = member.entry;
    try {
      await requestPermit(member, term);
    } catch (error) {
      storeFailedUntil = clock.now() + RETRY_DELAY_MILLISECONDS;
      logger.warn('soleMemberNotNamed', { group, memberId, error: error as Error });
    }
    if (!hasPermit(memberId, term)) await clock.sleep(RETRY_DELAY_MILLISECONDS);
    isRequesting = false;
  }

  /** Takes the member's name off the promotion record once no commit rests on it alone. */
  async function releaseName(): Promise<void> {
    try {
      const stored = await store.read(group);
      if (!stored?.record.soleMemberId || stored.record.isClaimed) return;
      const record = { ...stored.record, soleMemberId: undefined };
      const { type: outcome } = await store.replace({ group, record, revision: stored.revision });
      const { soleMemberId: memberId } = stored.record;
      logger.info('soleMemberReleased', { group, memberId, outcome });
    } catch (error) {
      logger.warn('soleMemberNotReleased', { group, error: error as Error });
    }
  }

  function hasReplicaKnownToAll(now: number): boolean {
    const primary = primaryTracker.find();
    return [...members.values()].some(
      (member) => member !== primary && isKnownToAllInstances(member, now),
    );
  }

  /**
   * A commit requested after all instances knew another member is preceded in the log by all that
   * rested on the sole member.
   */
  function recordReplication(requestedAt: number): void {
    if (isReplicationProven) return;
    isReplicationProven = hasReplicaKnownToAll(requestedAt);
    if (!isReplicationProven || !hasBeenAlone) return;
    hasBeenAlone = false;
    void releaseName();
  }

  async function isEveryCommitReplicated(): Promise<boolean> {
    try {
      const askedAt = clock.now();
      const stored = await store.read(group);
      const isUnnamed = stored?.record.soleMemberId === undefined;
      // No instance names a member any more once all know a replica.
      if (isUnnamed && hasReplicaKnownToAll(askedAt)) isReplicationProven = true;
      return isUnnamed;
    } catch (error) {
      logger.warn('promotionRecordNotRead', { group, error: error as Error });
      return false;
    }
  }

  async function waitForPermit({ member, term, deadlineAt }: PermitOptions): Promise<boolean> {
    const { memberId } = member.entry;
    const canRely = () => hasPermit(memberId, term) && isDirectoryRecent();
    while (!hasOtherMembers(member) && !canRely()) {
      if (clock.now() >= deadlineAt) {
        recordUnconfirmed(memberId);
        return false;
      }
      if (!hasPermit(memberId, term)) void tryRequestPermit(member, term);
      await primaryTracker.waitForChange(CHECK_INTERVAL_MILLISECONDS);
    }
    return !hasOtherMembers(member);
  }

  function prepare(member: Member): void {
    isReplicationProven = false;
    const term = evidence.getHighestTerm();
    const isDue = clock.now() - aloneSince! >= PREPARATION_DELAY_MILLISECONDS;
    if (!isDue || term === 0 || hasPermit(member.entry.memberId, term)) return;
    void tryRequestPermit(member, term);
  }

  function recordUnconfirmed(memberId: string): void {
    counters.unconfirmedAlone += 1;
    const directoryAgeMilliseconds = getDirectoryAge();
    logger.warn('soleMemberUnconfirmed', { group, memberId, directoryAgeMilliseconds });
  }

  return {
    hasOtherMembers,
    checkMembers: () => {
      checkPermit();
      const member = findSoleMember();
      aloneSince = member && (aloneSince ?? clock.now());
      if (member) prepare(member);
    },
    recordReplication,
    isEveryCommitReplicated,
    // A replica that lapsed may have left another instance alone with the primary meanwhile.
    isReplicationProven: () => isReplicationProven && hasReplicaKnownToAll(clock.now()),
    isBlocked,
    describeRefusal: () => {
      const member = isBlocked() ? findSoleMember() : undefined;
      if (!member) return undefined;
      recordUnconfirmed(member.entry.memberId);
      const { memberId } = member.entry;
      return `only ${memberId} is listed, in a directory that is ${getDirectoryAge()} ms old`;
    },
    waitForPermit,
  };
}
