import {
  computeAgeUpperBound,
  createDepartedMembers,
  createRecentListings,
  DEPARTURE_SETTLING_MILLISECONDS,
  isDirectoryValid,
  isMemberListComplete,
  isSameLife,
  isSameListing,
  REGISTRATION_DELAY_MILLISECONDS,
  renewListing,
  subtractMembers,
} from '@wisterialift/pooling';
import type {
  ClockReadings,
  ListedMember,
  MemberObservation,
  MemberRegister,
  RegisteredMember,
} from '@wisterialift/pooling';
import type { MemberRegisterStore, StoredRecord } from '../ports/platformPort';
import { resolveWithTimeout } from '../timing/promiseTimeout';
import type { GroupContext } from './groupContext';
import type { Member } from './member';
import { sendMemberCommand } from './sendMemberCommand';

/**
 * Keeps the group's register of members that acknowledged commits may rest on.
 *
 * A member is registered once every instance that learns a position without the primary lists it; its
 * word counts alone from then on. A member that the directory no longer lists stays registered until no
 * instance counts its word and others are seen to hold what it confirmed.
 */
export interface MemberRegistrar {
  /** Whether the member is known to be registered with a recent entry, so that its word counts. */
  isRegistered: (memberId: string) => boolean;
  /** Whether these are all members that this instance knows, departed ones that are not settled included. */
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
  /**
   * Whether the logs of `answered`, taken together, hold every acknowledged commit, so that one of them
   * can be promoted. Commits that only departed members hold are given up once they have been away for
   * `DEPARTURE_SETTLING_MILLISECONDS`.
   */
  canPromoteFrom: (answered: readonly Member[]) => boolean;
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

/** Random delay, so that one instance registers a member and the others find it done. */
const MAXIMUM_JITTER_MILLISECONDS = 200;

/** Pause after the store did not answer. */
const RETRY_DELAY_MILLISECONDS = 500;

/** Tries to replace a register that other instances replace at the same time. */
const MAXIMUM_REPLACEMENTS = 3;

/** Limit of the wait for a directory that is too old; reads wait for it. */
const REFRESH_TIMEOUT_MILLISECONDS = 300;

const PROBE_INTERVAL_MILLISECONDS = 1_000;
const PROBE_TIMEOUT_MILLISECONDS = 400;

export function createMemberRegistrar(
  context: GroupContext,
  options: MemberRegistrarOptions,
): MemberRegistrar {
  const { clock, evidence, group, logger, members, primaryTracker, random } = context;
  const { memberRegisters, isHolder, getDirectoryCompleteAt } = options;
  const departures = createDepartedMembers({ settlingTime: DEPARTURE_SETTLING_MILLISECONDS });
  const recentListings = createRecentListings();
  /** The register as it was read last; it may have members removed since. */
  let register: MemberRegister | undefined;
  let registerRevision = -Infinity;
  /** Every change of the directory before this time was seen, except in the gaps. */
  let seenThrough: ClockReadings | undefined;
  let gapCount = 0;
  /** Gaps that had ended when the register was requested. */
  let coveredGapCount = 0;
  /** Members listed since this instance started, which others may have registered. */
  let knownLives: ListedMember[] = [];
  let isSynchronizing = false;
  let isProbing = false;
  let probedAt = -Infinity;
  let refreshedAt = -Infinity;

  const isDirectoryRecent = () => isDirectoryValid(getDirectoryCompleteAt(), clock.readClocks());

  const isListComplete = () => isMemberListComplete(getDirectoryCompleteAt(), clock.readClocks());

  const listPresent = () =>
    [...members.values()].filter(({ missingSince }) => missingSince === undefined);

  /** Whether members may have been registered since that this instance never listed. */
  const isRegisterOutdated = () => register === undefined || coveredGapCount < gapCount;

  /** A member is listed for the registration delay before it counts, so only a longer gap hides it. */
  function detectGap(): void {
    const completeAt = getDirectoryCompleteAt();
    const gap = seenThrough && completeAt ? computeAgeUpperBound(seenThrough, completeAt) : 0;
    if (gap >= REGISTRATION_DELAY_MILLISECONDS) gapCount += 1;
    seenThrough = completeAt;
  }

  function trackDepartures(): void {
    const present = listPresent().map(toListedMember);
    knownLives = knownLives.filter((life) => !present.some((other) => isSameLife(life, other)));
    knownLives.push(...present);
    const absent = subtractMembers(listKnown(), present);
    departures.retain(absent);
    const added = subtractMembers(absent, departures.list(), isSameListing);
    for (const member of added) departures.recordDeparture(member, clock.now());
    for (const life of knownLives) {
      if (present.some((other) => isSuccessor(other, life))) {
        departures.recordEnd(life, clock.now());
      }
    }
    // Statements usually show within this time what a probe would ask.
    if (added.length > 0) probedAt = clock.now();
  }

  function listKnown(): RegisteredMember[] {
    const registered = register?.members ?? [];
    const known = knownLives.map((life) => renewListing(life, registered));
    return [...known, ...subtractMembers(registered, known)];
  }

  /** Drops departed members that no acknowledged commit rests on any more. */
  function dropSettled(): void {
    const registered = register?.members ?? [];
    knownLives = knownLives.filter(
      (life) =>
        !departures.isSettled(life) || registered.some((member) => isSameLife(member, life)),
    );
  }

  const isListedForLong = ({ listedSince }: Member) =>
    clock.now() - listedSince >= REGISTRATION_DELAY_MILLISECONDS;

  const canRegister = (member: Member) => register === undefined || isListedForLong(member);

  const isNamed = (member: Member) =>
    register?.members.some((other) => isSameListing(other, toRegisteredMember(member))) ?? false;

  const needsSynchronization = () =>
    isDirectoryRecent() &&
    (isRegisterOutdated() ||
      listPresent().some((member) => !isNamed(member) && canRegister(member)) ||
      register?.members.some(departures.isRemovable));

  function check(): void {
    if (!isHolder() || members.size === 0) return;
    detectGap();
    recentListings.retain((memberId) => members.has(memberId));
    recentListings.record(listPresent().map(toListedMember), getDirectoryCompleteAt());
    trackDepartures();
    dropSettled();
    if (needsSynchronization() && !isSynchronizing) void synchronize();
    if (needsProbe()) void probe();
  }

  async function synchronize(): Promise<void> {
    isSynchronizing = true;
    try {
      // An instance that starts reads at once: its first reads may need the register.
      const isKnown = !isRegisterOutdated() || (await readStored()) !== undefined;
      if (isKnown && !needsSynchronization()) return;
      await clock.sleep(random() * MAXIMUM_JITTER_MILLISECONDS);
      for (let attempt = 0; attempt < MAXIMUM_REPLACEMENTS; attempt += 1) {
        const stored = await readStored();
        const isConflict = await replaceIfOutdated(stored);
        if (!isConflict) break;
      }
    } catch (error) {
      logger.warn('memberRegisterNotUpdated', { group, error: error as Error });
      await clock.sleep(RETRY_DELAY_MILLISECONDS);
    } finally {
      isSynchronizing = false;
    }
  }

  async function readStored(): Promise<StoredRecord<MemberRegister> | undefined> {
    const gaps = gapCount;
    const stored = await memberRegisters.read(group);
    coveredGapCount = gaps;
    if (stored) adopt(stored);
    return stored;
  }

  function adopt({ record, revision }: StoredRecord<MemberRegister>): void {
    if (revision < registerRevision) return;
    register = record;
    registerRevision = revision;
    trackDepartures();
    evidence.reevaluate();
  }

  /** @returns whether another instance replaced the register in the meantime. */
  async function replaceIfOutdated(
    stored: StoredRecord<MemberRegister> | undefined,
  ): Promise<boolean> {
    const registered = stored?.record.members ?? [];
    const findAdded = () => {
      // Commits of before the register may rest on departed members.
      const added = stored
        ? listPresent().filter(canRegister).map(toRegisteredMember)
        : listKnown().filter((member) => !departures.isSettled(member));
      return subtractMembers(added, registered, isSameListing).map(toStoredMember);
    };
    // Without the refresh, a member could be registered after its departure was tracked elsewhere.
    if (findAdded().length > 0) await options.refreshDirectory();
    if (!isDirectoryRecent()) return false;
    const added = findAdded();
    const removed = registered.filter(departures.isRemovable);
    if (added.length + removed.length === 0) return false;
    const next = { members: [...subtractMembers(registered, [...removed, ...added]), ...added] };
    const outcome = await memberRegisters.replace({
      group,
      record: next,
      revision: stored?.revision,
    });
    logger.info('membersRegistered', { group, added, removed, outcome: outcome.type });
    if (outcome.type === 'replaced') {
      adopt({ record: next, revision: outcome.revision });
    }
    return outcome.type === 'conflict';
  }

  function needsProbe(): boolean {
    if (isProbing || clock.now() - probedAt < PROBE_INTERVAL_MILLISECONDS) return false;
    if (listPresent().length < 2) return false;
    return departures.list().some(isCoverageMissing);
  }

  function isCoverageMissing(member: RegisteredMember): boolean {
    if (departures.isUncounted(member, clock.now())) return !departures.isRemovable(member);
    return !departures.isCovered(member);
  }

  /** Queries the primary and then the replicas, because statements have not shown the coverage. */
  async function probe(): Promise<void> {
    const primary = primaryTracker.find();
    if (!primary || primary.avoidUntil > clock.now()) return;
    isProbing = true;
    const query = (member: Member) =>
      sendMemberCommand(context, member, { type: 'status' }, PROBE_TIMEOUT_MILLISECONDS);
    const report = await query(primary);
    if (report?.isPrimary) {
      const replicas = listPresent().filter((member) => member !== primary);
      await Promise.all(replicas.map(query));
    }
    probedAt = clock.now();
    isProbing = false;
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
    if (isRegisterOutdated()) await refresh();
    if (isRegisterOutdated() || !isListComplete()) return undefined;
    return listRequired();
  }

  /** Returns the known members less those that are settled and not registered. */
  function listRequired(): RegisteredMember[] {
    const registered = register?.members ?? [];
    const isContained = (life: RegisteredMember) =>
      registered.some((member) => isSameLife(member, life));
    return listKnown().filter((life) => isContained(life) || !departures.isSettled(life));
  }

  function isHeldByAll(memberIds: readonly string[]): boolean {
    const present = [...members.values()];
    const holders = present.filter(({ entry }) => memberIds.includes(entry.memberId));
    const lives = present.map(toRegisteredMember);
    const all = [...lives, ...subtractMembers(listRequired(), lives)];
    return subtractMembers(all, holders.map(toRegisteredMember)).length === 0;
  }

  async function refresh(): Promise<boolean> {
    try {
      await readStored();
      return true;
    } catch (error) {
      logger.warn('memberRegisterNotRead', { group, error: error as Error });
      return false;
    }
  }

  function isRegistered(memberId: string): boolean {
    const member = members.get(memberId);
    if (!member || !register) return false;
    const now = clock.readClocks();
    return recentListings.isCounted(toListedMember(member), { register, now });
  }

  function canPromoteFrom(answered: readonly Member[]): boolean {
    if (!register) return true;
    const accounted = answered.map(toRegisteredMember);
    const unaccounted = subtractMembers(register.members, accounted).filter(
      (member) => !departures.isCovered(member),
    );
    // One of them may be the former primary: another registered member holds its commits.
    if (unaccounted.length <= 1) return true;
    const memberIds = unaccounted.map(({ memberId }) => memberId);
    const awaited = unaccounted.filter((member) => !departures.isUncounted(member, clock.now()));
    if (awaited.length > 1) {
      const reason = 'members that may alone hold acknowledged commits are missing';
      logger.warn('promotionDeferred', { group, reason, memberIds });
      return false;
    }
    logger.error('departedMembersGivenUp', { group, memberIds });
    return true;
  }

  return {
    isRegistered,
    isHeldByAll,
    check,
    observe: (observation) => {
      const member = members.get(observation.memberId);
      if (!member || member.missingSince !== undefined) return;
      departures.observe(observation, {
        isRegistered: isRegistered(observation.memberId),
        takeNextSequenceNumber: evidence.takeNextSequenceNumber,
      });
    },
    findRequired,
    refresh,
    canPromoteFrom,
  };
}

/** Leaves out what only this instance needs to know of a member. */
function toStoredMember({
  memberId,
  startedAt,
  createdRevision,
}: RegisteredMember): RegisteredMember {
  return {
    memberId,
    ...(startedAt !== undefined && { startedAt }),
    ...(createdRevision !== undefined && { createdRevision }),
  };
}

/** Whether a process can only have started after the other one ended. */
function isSuccessor(life: ListedMember, former: ListedMember): boolean {
  if (isSameLife(life, former)) return false;
  return life.memberId === former.memberId || life.address === former.address;
}

function toListedMember(member: Member): ListedMember {
  return { ...toRegisteredMember(member), address: member.entry.address };
}

/** Returns the life of a member's process that the directory lists. */
export function toRegisteredMember({ entry }: Member): RegisteredMember {
  return toStoredMember(entry);
}
