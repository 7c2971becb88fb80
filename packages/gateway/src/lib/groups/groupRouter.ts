import type { FindWeight, ReturnCredits } from '@wisterialift/core';
import {
  CLAIM_TAKEOVER_MILLISECONDS,
  computeConnectionShare,
  computeEvenShare,
  createReplicationTracker,
  MAXIMUM_CONNECTION_PART,
} from '@wisterialift/pooling';
import type { ClockReadings, UpstreamAnswer } from '@wisterialift/pooling';
import type { Logger } from '@wisterialift/telemetry';
import type { GroupLimits } from '../configuration/gatewayConfiguration';
import type { IsLoadControlEnabled } from '../configuration/loadControls';
import type { Clock } from '../ports/clock';
import type { IsMechanismEnabled } from '../mechanisms';
import { isSameProcess } from '../directory/directoryCache';
import type { CachedDirectoryEntry } from '../directory/directoryCache';
import type {
  MemberRegisterStore,
  PromotionOrderClient,
  PromotionStore,
} from '../ports/platformPort';
import type { UpstreamDriver } from '../ports/upstreamPort';
import { createFormerMembers } from '../promotion/formerMembers';
import { createPromotionController } from '../promotion/promotionController';
import { estimateRefusal } from './refusalEstimate';
import type { RefusalEstimate } from './refusalEstimate';
import { createReachMonitor } from './reachMonitor';
import type { ReachMonitor } from './reachMonitor';
import { createReadPositionRefresher } from './readPositionRefresher';
import { createEvidencePoller } from './evidencePoller';
import { createSequencedTime, describeLogEnds } from './groupContext';
import { createFailureEjection } from './failureEjection';
import type { MemberFailureCounts } from './failureEjection';
import type { StatementRunner } from './statementRunner';
import type { GroupContext, GroupCounters } from './groupContext';
import { createLeavingMemberPolicy } from './leavingMemberPolicy';
import { createMemberRegistrar } from './memberRegistrar';
import { isBehindSession } from './ownCommit';
import { backOffFromMember, createMember, describeLeavingTime } from './member';
import type { Member } from './member';
import { computeTargetDelay } from './memberConcurrency';
import type { ConcurrencyReport } from './memberConcurrency';
import { createPrimaryProbe } from './primaryProbe';
import type { ProbeIndirectly, ProbePrimary } from './primaryProbe';
import { createPrimaryTracker } from './primaryTracker';
import { createPrimaryVerifier } from './primaryVerifier';
import { createReadRouter } from './readRouter';
import { createReturnGuidance } from './returnGuidance';
import { createSoleMemberGuard } from './soleMemberGuard';
import { toCommand } from './statementRequest';
import type { StatementRequest } from './statementRequest';
import { createSupersededCommits } from './supersededCommits';
import { createTermDiscovery } from './termDiscovery';
import type { TermDiscovery } from './termDiscovery';
import { createTransactionOpener } from './transactionOpener';
import { createUpstreamPool } from './upstreamPool';
import type { ConnectionCount } from './connectionCounters';
import { createWaitStatistics } from './waitStatistics';
import type { WaitStatistics } from './waitStatistics';
import { createWriteRouter } from './writeRouter';

/** Runs the statements of one group and promotes a new primary when necessary. */
export interface GroupRouter
  extends StatementRunner, Pick<ReachMonitor, 'isOutOfReach'>, Pick<TermDiscovery, 'discover'> {
  updateMembers: (entries: CachedDirectoryEntry[]) => void;
  updateLimits: (limits: RouterLimits) => void;
  /** Whether the group has members and a known primary. */
  isUsable: () => boolean;
  /** Discards age-based observations after the process was suspended. */
  discardAges: () => void;
  /** Returns the data centre of the member that this instance considers the primary. */
  findPrimaryDataCentre: () => string | undefined;
  /** Discards the latencies of statements in progress after the process was suspended. */
  discardLatencySamples: () => void;
  /** Probes the primary for another instance, which does not reach it. */
  probePrimary: ProbePrimary;
  /** Describes the members' concurrency limits; empty without `adaptiveConcurrency`. */
  reportConcurrency: () => ConcurrencyReport[];
  /** Estimates further refusals of statements like a refused one; see `estimateRefusal`. */
  estimateRefusal: (
    request: StatementRequest,
    access: 'read' | 'write',
  ) => RefusalEstimate | undefined;
  counters: GroupCounters;
  /** Failures by member; empty unless failing members are ejected. */
  listMemberFailures: () => MemberFailureCounts[];
  /** Connections opened and closed, by member and cause. */
  getConnectionCounts: () => (ConnectionCount & { memberId: string })[];
  /** Waits for admission; empty unless the control `fairOrder` is enabled. */
  waitStatistics: WaitStatistics;
  close: () => void;
}

/** What the configuration says about a group and the routes to it. @public */
export interface RouterLimits extends GroupLimits {
  /** Shortest latency goal of the group's routes, in milliseconds; `Infinity` if it has none. */
  shortestGoal: number;
}

/** @public */
export interface GroupRouterOptions {
  group: string;
  instance: string;
  dataCentre: string;
  limits: RouterLimits;
  driver: UpstreamDriver;
  store: PromotionStore;
  memberRegisters: MemberRegisterStore;
  orders: PromotionOrderClient;
  clock: Clock;
  /** Returns a uniformly distributed number in [0, 1). */
  random: () => number;
  logger: Logger;
  isMechanismEnabled: IsMechanismEnabled;
  isLoadControlEnabled: IsLoadControlEnabled;
  /** Credits of this instance; given with the control `retryGuidance`. */
  returnCredits?: ReturnCredits;
  /** Weight of a team in the fair order of waiting statements. */
  findTeamWeight: FindWeight;
  /** Whether this instance keeps connections to the members, for itself or for other instances. */
  isHolder: () => boolean;
  /** Whether other instances hold connections to the members, for this one as well. */
  hasOtherHolders: () => boolean;
  /** Asks other holders to probe a primary that this instance does not reach. */
  probeIndirectly: ProbeIndirectly;
  /** Number of instances that keep connections to the members, including this one. */
  countConnectedInstances: () => number;
  /** Number of those in a data centre; 0 if every instance connects for its own callers. */
  countHoldersIn: (dataCentre: string) => number;
  /** Whether the list of instances is known; until then each instance acts as a holder. */
  areInstancesKnown: () => boolean;
  /** Milliseconds for which a member's entry may be missing before the member is removed. */
  missingMemberRetentionMilliseconds: number;
  /** Milliseconds after which a leaving member is sent no new statements. */
  leavingGracePeriodMilliseconds: number;
  /** The directory includes every change accepted before this time; undefined if unknown. */
  getDirectoryCompleteAt: () => ClockReadings | undefined;
  /** When the last outage of the directory ended; `-Infinity` if there was none. */
  getDirectoryOutageEnd: () => number;
  /** Reads the directory again. @throws Error if the store does not answer. */
  refreshDirectory: () => Promise<void>;
}

/** With fewer connections, two open transactions could block all other statements. */
const MINIMUM_CONNECTIONS = 4;

const MAINTENANCE_INTERVAL_MILLISECONDS = 500;

/** Validity of a promotion claim, plus up to a second until the promotion takes effect. */
const MAXIMUM_PROMOTION_MILLISECONDS = CLAIM_TAKEOVER_MILLISECONDS + 1_000;

export function createGroupRouter(options: GroupRouterOptions): GroupRouter {
  const {
    group,
    dataCentre,
    driver,
    clock,
    isHolder,
    countConnectedInstances,
    logger,
    missingMemberRetentionMilliseconds,
    isMechanismEnabled,
    isLoadControlEnabled,
  } = options;
  const members = new Map<string, Member>();
  const evidence = createReplicationTracker();
  const primaryTracker = createPrimaryTracker(members, clock);
  const leavingPolicy = createLeavingMemberPolicy({
    members,
    primaryTracker,
    clock,
    timeLimit: options.leavingGracePeriodMilliseconds,
  });
  const failureEjection = createFailureEjection({ ...options, members, primaryTracker });
  const counters: GroupCounters = {
    probes: 0,
    preparations: 0,
    retries: 0,
    refusals: 0,
    promotions: 0,
    relayed: 0,
    refusedBesideIdle: 0,
    replicaReads: 0,
    primaryReads: 0,
    positionsFound: 0,
    positionsNotFound: 0,
    sentToLeaving: 0,
    refusedAtFirstInstance: 0,
    returnCreditsGiven: 0,
    returnCreditsUsed: 0,
    unconfirmedAlone: 0,
    sentToPrimaryHolder: 0,
    sentToNearHolder: 0,
  };
  const waitStatistics = createWaitStatistics(clock);
  let { limits } = options;
  let onSuspicion: GroupContext['suspectPrimary'] = () => undefined;
  let onObservation: GroupContext['reportObservation'] = () => undefined;

  const context: GroupContext = {
    group,
    members,
    evidence,
    primaryTracker,
    clock,
    logger,
    driver,
    counters,
    leavingPolicy,
    failureEjection,
    isMechanismEnabled,
    isLoadControlEnabled,
    returnGuidance:
      options.returnCredits &&
      createReturnGuidance(
        { clock, counters, random: options.random },
        { instance: options.instance, credits: options.returnCredits },
      ),
    random: options.random,
    suspectPrimary: (cause, member) => onSuspicion(cause, member),
    reportObservation: (observation) => onObservation(observation),
  };
  const soleMemberGuard = createSoleMemberGuard(context, options);
  const registrar = createMemberRegistrar(context, options);
  onObservation = registrar.observe;
  const reachMonitor = createReachMonitor(context, options);
  const formerMembers = createFormerMembers(context);
  const promotion = createPromotionController(context, {
    ...options,
    formerMembers,
    soleMemberGuard,
    registrar,
    reachMonitor,
  });
  onSuspicion = promotion.reportSuspicion;
  const evidencePoller = createEvidencePoller(context);
  const primaryVerifier = createPrimaryVerifier(context, {
    poller: evidencePoller,
    soleMemberGuard,
    registrar,
  });
  const readPositions = createReadPositionRefresher(context, { guard: soleMemberGuard, registrar });
  const reads = createReadRouter(context, {
    verifier: primaryVerifier,
    soleMemberGuard,
    readPositions,
  });
  const probePrimary = createPrimaryProbe(context);
  const writes = createWriteRouter(context, {
    primaryVerifier,
    soleMemberGuard,
    supersededCommits: createSupersededCommits(context, {
      poller: evidencePoller,
      registrar,
      readTermStart: promotion.readTermStart,
      probePrimary,
    }),
  });
  const transactions = createTransactionOpener(context, {
    reads,
    writes,
    primaryVerifier,
    soleMemberGuard,
  });
  const stopMaintenance = clock.runEvery(MAINTENANCE_INTERVAL_MILLISECONDS, runMaintenance);

  async function read(request: StatementRequest): Promise<UpstreamAnswer> {
    const { answer, routed } = await reads.run(request, (after) => toCommand(request, after));
    if (routed) {
      routed.member.pool.release(routed.connection);
      counters[routed.isPrimary ? 'primaryReads' : 'replicaReads'] += 1;
    }
    return answer;
  }

  function updateMembers(entries: CachedDirectoryEntry[]): void {
    const listed = new Map(entries.map((entry) => [entry.memberId, entry]));
    const isFirstDirectory = members.size === 0;
    for (const entry of entries) addOrUpdate(entry, isFirstDirectory);
    for (const member of members.values()) {
      if (!listed.has(member.entry.memberId) && member.missingSince === undefined) {
        const { memberId } = member.entry;
        logger.warn('memberMissing', { group, memberId, logEnds: describeLogEnds(context) });
        member.missingSince = clock.now();
      }
    }
    registrar.check();
    primaryTracker.notifyChange();
    checkPrimaryIfHolder();
    prefetchReadPosition();
  }

  /** Queries a read position and opens connections early, so that the first reads do not wait. */
  function prefetchReadPosition(): void {
    const isNew = evidence.getHighestTerm() === 0 && members.size > 0;
    // Until the instance list is known, all instances would take connections meant for holders.
    const isKnownHolder = options.areInstancesKnown() && isHolder();
    if (isNew && isKnownHolder && isMechanismEnabled('lookingAhead')) void readPositions.refresh();
  }

  function addOrUpdate(entry: CachedDirectoryEntry, isFirstDirectory: boolean): void {
    const known = members.get(entry.memberId);
    if (known && isSameProcess(known.entry, entry)) {
      if (hasStatusChanged(known.entry, entry)) logger.info('memberChanged', describeEntry(entry));
      const isListedAgain = known.entry.createdRevision !== entry.createdRevision;
      const listedSince = isListedAgain ? clock.now() : known.listedSince;
      Object.assign(known, { entry, missingSince: undefined, listedSince });
      return;
    }
    if (known) restartMember(known, entry);
    else if (!isFirstDirectory && hasReplica()) ignoreDuringPromotions(entry);
    logger.info('memberAdded', describeEntry(entry));
    formerMembers.remove(entry);
    members.set(entry.memberId, openMember(entry));
  }

  function describeEntry({ leavingSince, ...entry }: CachedDirectoryEntry) {
    return { ...entry, ...describeLeavingTime(leavingSince, clock.readClocks()) };
  }

  /**
   * Discards the state of a member that restarted under the same id, whether or not its address
   * changed: its connections and prepared statements are gone, and it is not primary of any term.
   */
  function restartMember({ entry: former, pool }: Member, entry: CachedDirectoryEntry): void {
    const { memberId } = entry;
    logger.warn('memberRestarted', { group, memberId, former: former.startedAt });
    pool.close();
    failureEjection.removeMember(memberId);
    primaryTracker.discardConfirmations(memberId);
    ignoreDuringPromotions(entry);
  }

  /** Whether a member other than the primary is known, which may be promoted. */
  function hasReplica(): boolean {
    const primary = primaryTracker.find();
    return [...members.values()].some((member) => member !== primary);
  }

  /**
   * Ignores the member's confirmations for as long as a promotion may be pending that did not pause
   * the member, because it did not know the member or its present log.
   */
  function ignoreDuringPromotions({ memberId }: CachedDirectoryEntry): void {
    const validFrom = clock.now() + MAXIMUM_PROMOTION_MILLISECONDS;
    evidence.discardObservationsBefore(memberId, { validFrom });
  }

  function openMember(entry: CachedDirectoryEntry): Member {
    const pool = createUpstreamPool({
      driver,
      clock,
      logger,
      group,
      memberId: entry.memberId,
      address: entry.address,
      calculateFairShare: () => calculateFairShare(entry.memberId),
      maximumConnections: calculateMaximumConnections(limits),
      isHolder,
      isMechanismEnabled,
      isLoadControlEnabled,
      onUnpinned: () => members.get(entry.memberId)?.admission.admitWaiting(),
      onUnreachable: () => handleUnreachable(entry.memberId),
    });
    return createMember({
      entry,
      pool,
      isSameDataCentre: entry.dataCentre === dataCentre,
      clock,
      isMechanismEnabled,
      isLoadControlEnabled,
      group,
      logger,
      countConnectedInstances,
      getTargetDelay: () => computeTargetDelay(limits.shortestGoal),
      fairOrder: {
        findTeamWeight: options.findTeamWeight,
        statistics: waitStatistics,
        onDisplaced: (displacement) =>
          logger.warn('statementDisplaced', { group, memberId: entry.memberId, ...displacement }),
      },
    });
  }

  /** Returns how many connections this instance may keep to a member. */
  function calculateFairShare(memberId: string): number {
    const { maximumConnections } = limits;
    const holders = countConnectedInstances();
    const member = members.get(memberId);
    if (!member || !isLoadControlEnabled('primaryHolder')) {
      return computeEvenShare(maximumConnections, holders);
    }
    const { entry } = member;
    return computeConnectionShare({
      maximumConnections,
      holders,
      holdersNearMember: options.countHoldersIn(entry.dataCentre),
      isNearMember: entry.dataCentre === dataCentre && isHolder(),
      isPrimary: primaryTracker.find() === member,
    });
  }

  function handleUnreachable(memberId: string): void {
    const member = members.get(memberId);
    if (!member) return;
    backOffFromMember(member, clock.now());
    if (primaryTracker.find() === member) context.suspectPrimary('unreachable', member);
  }

  function runMaintenance(): void {
    for (const [memberId, member] of members) {
      member.pool.maintain();
      const missing = member.missingSince;
      if (missing !== undefined && clock.now() - missing > missingMemberRetentionMilliseconds) {
        logger.warn('memberGone', { group, memberId, logEnds: describeLogEnds(context) });
        members.delete(memberId);
        formerMembers.add(member.entry);
        evidence.removeMember(memberId);
        failureEjection.removeMember(memberId);
        member.pool.close();
      }
    }
    registrar.check();
    checkPrimaryIfHolder();
    if (isHolder()) soleMemberGuard.checkMembers();
  }

  /** Only holders check the primary: checks by all instances would exhaust connections. */
  function checkPrimaryIfHolder(): void {
    if (isHolder()) promotion.checkDirectory();
  }

  return {
    read,
    write: writes.write,
    openTransaction: transactions.open,
    createArrivalStamp: () => createSequencedTime(context),
    updateMembers,
    updateLimits: (next) => {
      limits = next;
      const maximum = calculateMaximumConnections(limits);
      for (const member of members.values()) member.pool.setMaximum(maximum);
    },
    isUsable: () => members.size > 0 && primaryTracker.find() !== undefined,
    isOutOfReach: (needs) => reachMonitor.isOutOfReach(needs) || isBehindSession(context, needs),
    discover: createTermDiscovery(context).discover,
    probePrimary,
    estimateRefusal: (request, access) => estimateRefusal(context, reads, { request, access }),
    discardAges: evidence.discardAges,
    findPrimaryDataCentre: () => primaryTracker.find()?.entry.dataCentre,
    discardLatencySamples: () => {
      for (const { concurrency } of members.values()) concurrency.discardSamples();
    },
    reportConcurrency: () =>
      [...members.values()].flatMap(({ concurrency }) => concurrency.report() ?? []),
    counters,
    listMemberFailures: failureEjection.listMembers,
    getConnectionCounts: () =>
      [...members].flatMap(([memberId, { pool }]) =>
        pool.listConnectionCounts().map((count) => ({ memberId, ...count })),
      ),
    waitStatistics,
    close: () => {
      stopMaintenance();
      evidencePoller.stop();
      promotion.close();
      reachMonitor.close();
      for (const member of members.values()) member.pool.close();
    },
  };
}

function calculateMaximumConnections({ maximumConnections }: GroupLimits): number {
  return Math.max(MINIMUM_CONNECTIONS, Math.floor(maximumConnections * MAXIMUM_CONNECTION_PART));
}

function hasStatusChanged(before: CachedDirectoryEntry, after: CachedDirectoryEntry): boolean {
  return before.isPrimary !== after.isPrimary || before.isLeaving !== after.isLeaving;
}
