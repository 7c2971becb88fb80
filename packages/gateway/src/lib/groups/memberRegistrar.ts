import {
  assessPromotionCoverage,
  computeAgeUpperBound,
  createKnownMembers,
  createRecentListings,
  isDirectoryValid,
  isListingValid,
  isMemberListComplete,
  isSameLife,
  isSameListing,
  REGISTRATION_DELAY_MILLISECONDS,
  subtractMembers,
} from '@wisterialift/pooling';
import type {
  ClockReadings,
  MemberObservation,
  PromotionCoverage,
  PromotionCoverageOptions,
  RegisteredMember,
} from '@wisterialift/pooling';
import type { MemberRegisterStore } from '../ports/platformPort';
import { resolveWithTimeout } from '../timing/promiseTimeout';
import { createDepartureProbe } from './departureProbe';
import type { GroupContext } from './groupContext';
import type { Member } from './member';
import { toListedMember, toRegisteredMember, toStoredMember } from './registeredMember';
import { createRegisterSynchronizer } from './registerSynchronizer';

/**
 * Keeps the group's register of members that acknowledged commits may rest on.
 *
 * A member is registered once every instance that learns a position without the primary lists it; its
 * word counts alone from then on. A member that the directory no longer lists stays registered until no
 * instance counts its word and others are seen to hold what it confirmed.
 */
export interface MemberRegistrar {
  /**
   * Whether the member is known to be registered with a recent entry, so that its word counts: instances
   * that do not list it any more wait for it since its departure.
   */
  isRegistered: (memberId: string) => boolean;
  /** Returns the ids of members that departed so recently that other instances may count their word. */
  listRecentlyDepartedIds: () => string[];
  /**
   * Whether these are all members that any instance may know: all that this one does, departed ones that
   * are not settled included, by a recent directory or with two replicas at least.
   */
  isHeldByAll: (memberIds: readonly string[]) => boolean;
  /** Brings the register up to date; to be called regularly and after changes of the directory. */
  check: () => void;
  /** Takes an answer of a member into account. */
  observe: (observation: MemberObservation) => void;
  /**
   * Returns members of which all but one, taken together, hold every commit acknowledged so far;
   * undefined if unknown, because the register cannot be read or the directory is too old.
   */
  findRequired: () => Promise<RegisteredMember[] | undefined>;
  /** Decides by the register whether one of the members that were paused can be promoted. */
  assessPromotion: (
    options: Pick<PromotionCoverageOptions, 'paused' | 'isPrimaryResponsive'>,
  ) => PromotionCoverage;
  /** Whether a promotion waits for the departed member. */
  isAwaited: (member: RegisteredMember) => boolean;
  /** Reads the register again; false if the store does not answer. */
  refresh: () => Promise<boolean>;
}

export interface MemberRegistrarOptions {
  memberRegisters: MemberRegisterStore;
  isHolder: () => boolean;
  /** The directory includes every change accepted before this time; undefined if unknown. */
  getDirectoryCompleteAt: () => ClockReadings | undefined;
  /** Reads the directory again. @throws Error if the store does not answer. */
  refreshDirectory: () => Promise<void>;
}

/** Pause after the store did not answer. */
const RETRY_DELAY_MILLISECONDS = 500;

/** Holders of a commit that are taken for all by a directory of any age: the primary and two replicas. */
const MINIMUM_HOLDERS_BY_OLD_DIRECTORY = 3;

/** Limit of the wait for a directory that is too old; reads wait for it. */
const REFRESH_TIMEOUT_MILLISECONDS = 300;

export function createMemberRegistrar(
  context: GroupContext,
  options: MemberRegistrarOptions,
): MemberRegistrar {
  const { clock, evidence, group, logger, members } = context;
  const { isHolder, getDirectoryCompleteAt } = options;
  const known = createKnownMembers();
  const { departures } = known;
  const recentListings = createRecentListings();
  const probe = createDepartureProbe(context, { departures, listPresent });
  const synchronizer = createRegisterSynchronizer(context, {
    ...options,
    isDirectoryRecent: () => isDirectoryValid(getDirectoryCompleteAt(), clock.readClocks()),
    needsUpdate,
    listAddable,
    isRemovable: departures.isRemovable,
    onRead: () => {
      trackDepartures();
      evidence.reevaluate();
    },
  });
  const { getRegister, isOutdated, refresh } = synchronizer;
  /** Every change of the directory before this time was seen, except in the gaps. */
  let seenThrough: ClockReadings | undefined;
  let refreshedAt = -Infinity;

  const isListComplete = () => isMemberListComplete(getDirectoryCompleteAt(), clock.readClocks());

  const listRegistered = () => getRegister()?.members ?? [];

  function listPresent(): Member[] {
    return [...members.values()].filter(({ missingSince }) => missingSince === undefined);
  }

  /** A member is listed for the registration delay before it counts, so only a longer gap hides it. */
  function detectGap(): void {
    const completeAt = getDirectoryCompleteAt();
    const gap = seenThrough && completeAt ? computeAgeUpperBound(seenThrough, completeAt) : 0;
    if (gap >= REGISTRATION_DELAY_MILLISECONDS) synchronizer.recordGap();
    seenThrough = completeAt;
  }

  function trackDepartures(): void {
    const state = { present: listPresent().map(toListedMember), register: getRegister() };
    if (known.update(state, clock.now())) probe.postpone();
  }

  const isListedForLong = ({ listedSince }: Member) =>
    clock.now() - listedSince >= REGISTRATION_DELAY_MILLISECONDS;

  const isNamed = (member: Member) =>
    listRegistered().some((other) => isSameListing(other, toRegisteredMember(member)));

  function needsUpdate(): boolean {
    const isMissing = (member: Member) => !isNamed(member) && isListedForLong(member);
    return listPresent().some(isMissing) || listRegistered().some(departures.isRemovable);
  }

  /** A new register names departed members as well: commits of before may rest on them. */
  function listAddable(isStored: boolean): RegisteredMember[] {
    return isStored
      ? listPresent().filter(isListedForLong).map(toRegisteredMember)
      : known.listRequired().map(toStoredMember);
  }

  function check(): void {
    if (!isHolder() || members.size === 0) return;
    detectGap();
    recentListings.retain((memberId) => members.has(memberId));
    recentListings.record(listPresent().map(toListedMember), getDirectoryCompleteAt());
    trackDepartures();
    known.dropSettled();
    void synchronizer.synchronize();
    probe.check();
  }

  async function tryRefreshDirectory(): Promise<void> {
    if (clock.now() < refreshedAt + RETRY_DELAY_MILLISECONDS) return;
    refreshedAt = clock.now();
    try {
      await resolveWithTimeout(clock, options.refreshDirectory(), REFRESH_TIMEOUT_MILLISECONDS);
    } catch (error) {
      logger.warn('directoryNotRefreshed', { group, error: error as Error });
    }
  }

  async function findRequired(): Promise<RegisteredMember[] | undefined> {
    if (!isListComplete()) await tryRefreshDirectory();
    if (isOutdated()) await refresh();
    if (isOutdated() || !isListComplete()) return undefined;
    return known.listRequired();
  }

  /** The retention of a missing member is longer than others wait for it if the machine is suspended. */
  const isListedRecently = (member: Member) =>
    member.missingSince === undefined ||
    recentListings.isRecent(toListedMember(member), clock.readClocks());

  /**
   * Members that joined since an old directory are unknown. If the primary and one replica are all that it
   * lists, a promotion may leave both out and start from the log of such a member.
   */
  const canBeAll = (holders: readonly Member[]) =>
    holders.length >= MINIMUM_HOLDERS_BY_OLD_DIRECTORY ||
    isListingValid(getDirectoryCompleteAt(), clock.readClocks());

  function isHeldByAll(memberIds: readonly string[]): boolean {
    const retained = [...members.values()];
    const holders = retained
      .filter(({ entry }) => memberIds.includes(entry.memberId))
      .filter(isListedRecently);
    if (!canBeAll(holders)) return false;
    const lives = retained.map(toRegisteredMember);
    const all = [...lives, ...subtractMembers(known.listRequired(), lives)];
    return subtractMembers(all, holders.map(toRegisteredMember)).length === 0;
  }

  function isRegistered(memberId: string): boolean {
    const member = members.get(memberId);
    const register = getRegister();
    if (!member || !register) return false;
    const now = clock.readClocks();
    return recentListings.isCounted(toListedMember(member), { register, now });
  }

  const listRecentlyDepartedIds = () =>
    departures
      .list()
      .filter((member) => !departures.isUncounted(member, clock.now()))
      .map(({ memberId }) => memberId);

  const assessPromotion: MemberRegistrar['assessPromotion'] = (pausedMembers) =>
    assessPromotionCoverage({
      ...pausedMembers,
      registered: listRegistered(),
      departures,
      now: clock.now(),
    });

  const isAwaited = (member: RegisteredMember) =>
    listRegistered().some((other) => isSameLife(other, member)) &&
    !departures.isTimedOut(member, clock.now());

  function observe(observation: MemberObservation): void {
    const { memberId } = observation;
    const member = members.get(memberId);
    if (!member || member.missingSince !== undefined) return;
    const { takeNextSequenceNumber } = evidence;
    departures.observe(observation, {
      observed: toRegisteredMember(member),
      isRegistered: isRegistered(memberId),
      takeNextSequenceNumber,
    });
  }

  return {
    isRegistered,
    listRecentlyDepartedIds,
    isHeldByAll,
    check,
    observe,
    findRequired,
    refresh,
    assessPromotion,
    isAwaited,
  };
}
