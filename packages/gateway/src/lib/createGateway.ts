import { createReturnCredits } from '@wisterialift/core';
import type { LimitTolerance } from '@wisterialift/core';
import { createClockComparison } from '@wisterialift/pooling';
import type { Logger } from '@wisterialift/telemetry';
import type { GatewayConfiguration } from './configuration/gatewayConfiguration';
import type { IsLoadControlEnabled, LoadControl } from './configuration/loadControls';
import { createActiveConfiguration } from './configuration/activeConfiguration';
import { createConfigurationCheck } from './configuration/configurationCheck';
import { createKeyRefusals } from './configuration/keyRefusals';
import { createDirectoryCache } from './directory/directoryCache';
import type { StatementRunner } from './groups/statementRunner';
import type { MemberFailureCounts } from './groups/failureEjection';
import { createGroupRouter } from './groups/groupRouter';
import type { GroupRouter, RouterLimits } from './groups/groupRouter';
import type { ConcurrencyReport } from './groups/memberConcurrency';
import type { WaitStatistics } from './groups/waitStatistics';
import { createTeamLimits } from './limits/teamLimits';
import type { LimitCounters } from './limits/teamLimiter';
import type { Mechanism, IsMechanismEnabled } from './mechanisms';
import type { CallerAcceptor, CallerLink } from './ports/callerPort';
import type { Clock } from './ports/clock';
import type { InstanceRegistry, RelayTransport } from './ports/instancePort';
import type {
  ConfigurationPort,
  DirectoryPort,
  PromotionOrderClient,
  MemberRegisterStore,
  PromotionStore,
} from './ports/platformPort';
import type { UpstreamDriver } from './ports/upstreamPort';
import { createHolderRefusals } from './relay/holderRefusals';
import { createHolderSelector } from './relay/holderSelector';
import { createIndirectProbe } from './relay/indirectProbe';
import type { PeerLink } from './relay/peerLink';
import { createPrimaryRoute } from './relay/primaryRoute';
import { createRelayedGroup } from './relay/relayedGroup';
import { createRelayService } from './relay/relayService';
import { createConfigurationSynchronizer } from './relay/configurationSynchronizer';
import { createCallerSession } from './sessions/callerSession';
import type { AnswerSample, CallerSession } from './sessions/callerSession';

/** Grace periods of shutdowns, directory outages and leaving members, in milliseconds. @public */
export interface GatewayTimes {
  /** Time between the request to stop and the forced end of the process. */
  stopGracePeriodMilliseconds: number;
  /**
   * Time for which a member is kept after its entry is missing from the directory; covers the
   * return of lapsed entries after an outage.
   */
  missingMemberRetentionMilliseconds: number;
  /** Time after which a leaving member must not receive new statements. */
  leavingGracePeriodMilliseconds: number;
}

/** Identity, limits and platform services of one instance. @public */
export interface GatewayOptions {
  instance: string;
  dataCentre: string;
  times: GatewayTimes;
  clock: Clock;
  logger: Logger;
  driver: UpstreamDriver;
  directory: DirectoryPort;
  configuration: ConfigurationPort;
  store: PromotionStore;
  memberRegisters: MemberRegisterStore;
  orders: PromotionOrderClient;
  registry: InstanceRegistry;
  transport: RelayTransport;
  /** By how much the rate limits of teams may be exceeded. */
  limitTolerance: LimitTolerance;
  /** Returns a uniform number in [0, 1), used for jitter. */
  random: () => number;
  /** Mechanisms disabled for an experiment. */
  disabledMechanisms?: ReadonlySet<Mechanism>;
  /** Load controls that the deployment enables; none if omitted. */
  loadControls?: ReadonlySet<LoadControl>;
  onAnswered: (sample: AnswerSample) => void;
}

/** Routes statements of callers to the members of their groups. @public */
export interface Gateway {
  acceptCaller: CallerAcceptor;
  /** Whether the instance can accept new callers. */
  isReady: () => boolean;
  /**
   * Ends each session once it has no open transaction. Aborts the transactions that are still open
   * after 55 % of the stop grace period. Resolves once all sessions and relayed statements have
   * ended, or shortly before the period ends.
   *
   * @param stopAccepting - called once the load balancer no longer sends new callers.
   */
  drain: (stopAccepting: () => void) => Promise<void>;
  getCounters: () => Record<string, GroupRouter['counters']>;
  /** Returns the failures of members by group; empty unless failing members are ejected. */
  listMemberFailures: () => Record<string, MemberFailureCounts[]>;
  /** Connections opened and closed by this instance, by group, member and cause. */
  getConnectionCounts: () => Record<string, ReturnType<GroupRouter['getConnectionCounts']>>;
  /** Operations of this instance's callers that their teams' limits admitted and refused, by team. */
  getLimitCounters: () => ReadonlyMap<string, LimitCounters>;
  /** Describes the adaptive limits of concurrent statements, by group; for metrics. */
  reportConcurrency: () => Record<string, ConcurrencyReport[]>;
  /** Waits for admission by group; empty unless the control `fairOrder` is enabled. */
  getWaitStatistics: () => Record<string, WaitStatistics>;
  countSessions: () => number;
  close: () => void;
}

/** Covers two failed health checks; a session ended earlier would reconnect to this instance. */
const LOAD_BALANCER_DELAY_MILLISECONDS = 2_200;

/** Fraction of the stop grace period after which open transactions are aborted. */
const TRANSACTION_ABORT_GRACE_FRACTION = 0.55;

/**
 * Fraction of the stop grace period after which draining ends. Until then, sessions that arrived before
 * the listener closed may have a statement running.
 */
const DRAIN_END_GRACE_FRACTION = 0.95;

const DRAIN_POLL_INTERVAL_MILLISECONDS = 50;

/** Time after a statement was run in which changes at the store are requested promptly. */
const PROMPT_DURATION_MILLISECONDS = 30_000;

/** Limit of the wait for a fresh state; after it, statements run with what is known. */
const REFRESH_TIMEOUT_MILLISECONDS = 600;
const REFRESH_POLL_MILLISECONDS = 20;

const CLOCK_CHECK_INTERVAL_MILLISECONDS = 250;

/** Interval at which other instances are told whether this one follows the configuration promptly. */
const CURRENCY_CHECK_INTERVAL_MILLISECONDS = 250;

/** Lateness of a clock check that indicates a pause of the process. */
const PAUSE_THRESHOLD_MILLISECONDS = 100;

/** Creates the gateway of one instance and starts following its platform services. @public */
export function createGateway(options: GatewayOptions): Gateway {
  const { clock, logger, registry, times, transport } = options;
  /** Run statements over this instance's own connections. */
  const localGroups = new Map<string, GroupRouter>();
  /** Relay statements to the holders of a group's connections. */
  const relayedGroups = new Map<string, StatementRunner>();
  const sessions = new Set<CallerSession>();
  /** Connections of callers that are open, also after their sessions have ended. */
  const links = new Set<CallerLink>();
  const configuration = createActiveConfiguration({
    clock,
    onAdopted: handleConfigurationChange,
  });
  const synchronizer = createConfigurationSynchronizer({ configuration, clock, logger });
  const keyRefusals = createKeyRefusals(clock);
  const configurationCheck = createConfigurationCheck({
    port: options.configuration,
    configuration,
    keyRefusals,
    askOtherInstance: askHolderForConfiguration,
    clock,
    logger,
  });
  const cache = createDirectoryCache(clock);
  let statementsRunUntil = -Infinity;
  let isDraining = false;
  let isTakingVersion = false;
  let wasConfigurationCurrent = false;
  const clockComparison = createClockComparison(clock.readClocks());
  let clockCheckedAt = clock.now();

  const isMechanismEnabled: IsMechanismEnabled = (mechanism) =>
    !options.disabledMechanisms?.has(mechanism);

  const isLoadControlEnabled: IsLoadControlEnabled = (control) =>
    options.loadControls?.has(control) ?? false;

  const returnCredits = isLoadControlEnabled('retryGuidance') ? createReturnCredits() : undefined;

  /** Its rate limit in operations per second, or 1 without one and for callers without a team. */
  function findTeamWeight(team: string | undefined): number {
    const limit =
      team === undefined ? undefined : configuration.get()?.teams?.byName.get(team)?.limit;
    return limit && limit.rate > 0 ? limit.rate : 1;
  }

  const holders = createHolderSelector({
    ...options,
    isMechanismEnabled,
    onVersion: handlePeerVersion,
    onHoldersAssigned: () => listenToInstances(),
  });
  const limits = createTeamLimits({
    ...options,
    configuration,
    findLink: holders.findLink,
  });
  // Clocks are checked before each statement: after a suspension, old positions would look fresh.
  const relay = createRelayService({
    configuration,
    findRunner: (group) => {
      checkClockDrift();
      return localGroups.get(group);
    },
    waitForFreshState,
    grantPermits: limits.grantPermits,
    findPrimaryDataCentre: isLoadControlEnabled('primaryHolder')
      ? (group) => localGroups.get(group)?.findPrimaryDataCentre()
      : undefined,
    isConfigurationCurrent: options.configuration.isCurrent,
    clock,
    logger,
  });
  const stopCurrencyChecks = clock.runEvery(CURRENCY_CHECK_INTERVAL_MILLISECONDS, () => {
    const isCurrent = options.configuration.isCurrent();
    if (isCurrent === wasConfigurationCurrent) return;
    wasConfigurationCurrent = isCurrent;
    relay.announceConfiguration();
  });
  const stopClockChecks = clock.runEvery(CLOCK_CHECK_INTERVAL_MILLISECONDS, () => {
    checkClockDrift();
    checkForPause();
  });
  registry.registerInstance((instances, listing) => {
    limits.updateInstances(instances, listing);
    holders.updateInstances(instances);
    listenIfAllocator();
  });
  options.configuration.subscribe({
    onChange: configuration.adopt,
    isPrompt: needsPromptChanges,
    isInformed: holders.isInformed,
  });
  options.directory.subscribe({
    onChange: (entries, freshness) => {
      cache.update(entries, freshness);
      updateGroups();
    },
    onUnchanged: cache.confirm,
    onLost: cache.recordLoss,
    isPrompt: needsPromptChanges,
  });

  /** Updates every group, then throws if one of them could not be updated. */
  function updateGroups(): void {
    const errors: Error[] = [];
    for (const [group, router] of localGroups) {
      try {
        router.updateMembers(cache.getEntries(group));
      } catch (error) {
        logger.error('membersNotUpdated', { group, error: error as Error });
        errors.push(error as Error);
      }
    }
    if (errors[0]) throw errors[0];
  }

  /**
   * Whether this instance sends statements to members. One that only relays them can learn of changes
   * later: the holders of the connections check the directory and the configuration version.
   */
  function needsPromptChanges(): boolean {
    if (localGroups.size === 0 || clock.now() < statementsRunUntil) return true;
    return [...localGroups.keys()].some(holders.isHolder);
  }

  /**
   * Waits for a fresh directory and configuration before a statement is run. What an instance knows
   * that only relayed statements may be seconds old: it may list a member as available after its
   * leaving grace period, or have a route that was dropped.
   */
  async function waitForFreshState(): Promise<void> {
    statementsRunUntil = clock.now() + PROMPT_DURATION_MILLISECONDS;
    const until = clock.now() + REFRESH_TIMEOUT_MILLISECONDS;
    const isFresh = () => cache.isFresh() && options.configuration.isFresh();
    while (!isFresh() && clock.now() < until) await clock.sleep(REFRESH_POLL_MILLISECONDS);
  }

  async function askHolderForConfiguration(): Promise<void> {
    const link = selectAnyLink();
    if (link) await synchronizer.updateFrom(link);
  }

  /**
   * Takes over a newer version of another instance. One that follows the store itself receives it from
   * there, unless the store does not answer it.
   */
  function handlePeerVersion(link: PeerLink, version: number): void {
    if (isTakingVersion || !configuration.get() || version <= configuration.getVersion()) return;
    isTakingVersion = true;
    const taking = options.configuration.isFresh()
      ? synchronizer.synchronize(link, version)
      : synchronizer.take(link);
    void taking.finally(() => {
      isTakingVersion = false;
    });
  }

  function selectAnyLink(): PeerLink | undefined {
    for (const group of localGroups.keys()) {
      const link = holders.selectLink(group);
      if (link) return link;
    }
    return undefined;
  }

  function handleConfigurationChange(
    next: GatewayConfiguration,
    former: GatewayConfiguration | undefined,
  ): void {
    logger.info('configurationAdopted', {
      version: next.version,
      former: former?.version,
      routes: next.routes.size,
    });
    for (const group of next.groups.values()) {
      holders.updateLimits(group.name, group.maximumConnections);
      const router = localGroups.get(group.name);
      const routerLimits = { ...group, shortestGoal: findShortestGoal(next, group.name) };
      if (router) router.updateLimits(routerLimits);
      else openGroup(group.name, routerLimits);
    }
    keyRefusals.update(next, former);
    for (const session of [...sessions]) session.checkKey();
    relay.announceConfiguration();
    listenIfAllocator();
  }

  /** Other instances ask an allocator for permits. */
  function listenIfAllocator(): void {
    if (limits.isAllocator()) listenToInstances();
  }

  function listenToInstances(): void {
    transport.listen(relay.accept);
  }

  function openGroup(group: string, groupLimits: RouterLimits): void {
    const router = createGroupRouter({
      ...options,
      group,
      limits: groupLimits,
      isMechanismEnabled,
      isLoadControlEnabled,
      returnCredits,
      findTeamWeight,
      isHolder: () => holders.isHolder(group),
      hasOtherHolders: () => holders.hasOtherHolders(group),
      probeIndirectly: createIndirectProbe({ group, holders, clock }),
      countConnectedInstances: () => holders.countConnectedInstances(group),
      countHoldersIn: (dataCentre) => holders.countHoldersIn(group, dataCentre),
      areInstancesKnown: holders.isReady,
      missingMemberRetentionMilliseconds: times.missingMemberRetentionMilliseconds,
      leavingGracePeriodMilliseconds: times.leavingGracePeriodMilliseconds,
      getDirectoryCompleteAt: cache.getCompleteAt,
      getDirectoryOutageEnd: cache.getOutageEnd,
      refreshDirectory: options.directory.refresh,
    });
    localGroups.set(group, router);
    const { dataCentre } = options;
    const runner = createRelayedGroup({
      group,
      local: router,
      holders,
      primaryRoute: isLoadControlEnabled('primaryHolder')
        ? createPrimaryRoute({ group, dataCentre, local: router, holders, clock, logger })
        : undefined,
      configuration,
      synchronizer,
      waitForFreshState,
      clock,
      random: options.random,
      logger,
      holderRefusals: returnCredits && createHolderRefusals({ clock, random: options.random }),
      instance: options.instance,
    });
    relayedGroups.set(group, runner);
    if (cache.isLoaded()) router.updateMembers(cache.getEntries(group));
  }

  /**
   * Discards position ages after a suspension. The monotonic clock stops during one, so old
   * positions would look fresh; the time of day continues.
   */
  function checkClockDrift(): void {
    const change = clockComparison.findDisagreement(clock.readClocks());
    if (change === undefined) return;
    logger.warn('clocksDisagree', { changeMilliseconds: Math.round(change) });
    for (const router of localGroups.values()) {
      router.discardAges();
      router.discardLatencySamples();
    }
    limits.clearPermits();
  }

  /**
   * Discards the latencies of statements in progress after a pause in which both clocks continued,
   * such as a stopped process. Answers that arrived meanwhile would look delayed by the member.
   */
  function checkForPause(): void {
    const elapsed = clock.now() - clockCheckedAt;
    clockCheckedAt = clock.now();
    if (elapsed < CLOCK_CHECK_INTERVAL_MILLISECONDS + PAUSE_THRESHOLD_MILLISECONDS) return;
    for (const router of localGroups.values()) router.discardLatencySamples();
  }

  const acceptCaller: CallerAcceptor = (link) => {
    const session = createCallerSession({
      link,
      clock,
      logger,
      configuration,
      checkForNewerConfiguration: configurationCheck.checkFor,
      findRunner: (group) => {
        checkClockDrift();
        return relayedGroups.get(group);
      },
      requestPermit: limits.requestPermit,
      onEnd: () => sessions.delete(session),
      onAnswered: options.onAnswered,
    });
    sessions.add(session);
    links.add(link);
    const onDisconnect = () => {
      links.delete(link);
      session.events.onDisconnect();
    };
    return { ...session.events, onDisconnect };
  };

  function isReady(): boolean {
    if (isDraining || !configuration.get() || !cache.isLoaded() || !holders.isReady()) return false;
    return [...localGroups.values()].some((router) => router.isUsable());
  }

  /** A session ends with its last answer, which its caller may still be reading. */
  function hasUnsentData(): boolean {
    return transport.hasUnsentData() || [...links].some((link) => link.hasUnsentData());
  }

  async function drain(stopAccepting: () => void): Promise<void> {
    const startedAt = clock.now();
    const elapsed = () => clock.now() - startedAt;
    isDraining = true;
    logger.info('drainStarted', { sessions: sessions.size, relayed: relay.countActiveWork() });
    relay.announceDrain();
    let isAccepting = true;
    const hasWork = () =>
      isAccepting || sessions.size > 0 || relay.countActiveWork() > 0 || hasUnsentData();
    while (elapsed() < times.stopGracePeriodMilliseconds * DRAIN_END_GRACE_FRACTION && hasWork()) {
      if (elapsed() >= LOAD_BALANCER_DELAY_MILLISECONDS) {
        if (isAccepting) stopAccepting();
        isAccepting = false;
        for (const session of [...sessions]) session.drain();
      }
      if (elapsed() >= times.stopGracePeriodMilliseconds * TRANSACTION_ABORT_GRACE_FRACTION) {
        for (const session of [...sessions]) session.abortTransaction();
        relay.abortTransactions();
      }
      await clock.sleep(DRAIN_POLL_INTERVAL_MILLISECONDS);
    }
    logger.info('drainEnded', { sessions: sessions.size });
  }

  return {
    acceptCaller,
    isReady,
    drain,
    getCounters: () =>
      Object.fromEntries([...localGroups].map(([group, router]) => [group, router.counters])),
    listMemberFailures: () =>
      Object.fromEntries(
        [...localGroups].map(([group, router]) => [group, router.listMemberFailures()]),
      ),
    getConnectionCounts: () =>
      Object.fromEntries(
        [...localGroups].map(([group, router]) => [group, router.getConnectionCounts()]),
      ),
    getLimitCounters: limits.getCounters,
    reportConcurrency: () =>
      Object.fromEntries(
        [...localGroups].map(([group, router]) => [group, router.reportConcurrency()]),
      ),
    getWaitStatistics: () =>
      Object.fromEntries([...localGroups].map(([group, router]) => [group, router.waitStatistics])),
    countSessions: () => sessions.size,
    close: () => {
      stopClockChecks();
      stopCurrencyChecks();
      holders.close();
      transport.close();
      for (const router of localGroups.values()) router.close();
    },
  };
}

/** Returns the shortest latency goal of a group's routes; `Infinity` if it has none. */
function findShortestGoal({ routes }: GatewayConfiguration, group: string): number {
  const goals = [...routes.values()].filter((route) => route.group === group);
  return Math.min(...goals.map(({ goal }) => goal));
}
