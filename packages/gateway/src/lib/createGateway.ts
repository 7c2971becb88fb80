import type { Logger } from '@wisterialift/telemetry';
import type { GatewayConfiguration } from './configuration/gatewayConfiguration';
import { createConfigurationBook } from './configuration/configurationBook';
import { createDirectoryBook } from './directory/directoryBook';
import type { GroupAccess } from './groups/groupAccess';
import { createGroupTask } from './groups/groupTask';
import type { GroupTask } from './groups/groupTask';
import type { Mechanism, UsesMechanism } from './mechanisms';
import type { CallerAcceptor } from './ports/callerPort';
import type { Clock } from './ports/clock';
import type { InstanceRegistry, RelayTransport } from './ports/instancePort';
import type {
  ConfigurationPort,
  DirectoryPort,
  PromotionOrders,
  PromotionStore,
} from './ports/platformPort';
import type { UpstreamDriver } from './ports/upstreamPort';
import { createHolderBook } from './relay/holderBook';
import { createRelayedGroup } from './relay/relayedGroup';
import { createRelayService } from './relay/relayService';
import { createCallerSession } from './sessions/callerSession';
import type { AnswerSample, CallerSession } from './sessions/callerSession';

/** Times of a planned stop and of the directory, in milliseconds. @public */
export interface GatewayTimes {
  /** Time between the request to stop and the end of the process by force. */
  stopGrace: number;
  /** Time after the directory's return in which entries that lapsed meanwhile are back. */
  missingGrace: number;
  /** Time after which a member that leaves may be reached by no new statement. */
  leavingBound: number;
}

/** @public */
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
  orders: PromotionOrders;
  registry: InstanceRegistry;
  transport: RelayTransport;
  /** Uniform in [0, 1); spreads what instances would otherwise do at the same moment. */
  random: () => number;
  /** Mechanisms that an experiment leaves out. */
  without?: ReadonlySet<Mechanism>;
  onAnswered: (sample: AnswerSample) => void;
}

/** What one instance does between callers and groups. @public */
export interface Gateway {
  acceptCaller: CallerAcceptor;
  /** Whether new callers should be sent here. */
  isReady: () => boolean;
  /**
   * Ends sessions between their transactions; resolves once the last has ended.
   *
   * @param stopAccepting - called once new callers are sent elsewhere.
   */
  drain: (stopAccepting: () => void) => Promise<void>;
  counters: () => Record<string, GroupTask['counters']>;
  sessionCount: () => number;
  close: () => void;
}

/**
 * Time from the request to stop until idle sessions are ended. The balancer asks each second and
 * takes two refusals; before that, a session that is ended would come back to this instance.
 */
const BALANCER_NOTICE_MILLISECONDS = 2_200;

/** Part of the grace in which an open transaction may still end by itself. */
const TRANSACTION_SHARE = 0.55;

/**
 * Part of the grace after which the process goes, whatever is still open. Sessions that came before
 * the listener closed may have a statement in work until then.
 */
const LAST_SHARE = 0.95;

/** How often a stop looks for sessions that can be ended, some of which have come meanwhile. */
const DRAIN_STEP_MILLISECONDS = 50;

/** Time after a statement to a member in which the directory is followed closely. */
const DIRECTORY_NEEDED_MILLISECONDS = 30_000;

/**
 * Time for a fresh look at the directory before the first statement; a quarter of a second until it is
 * noticed that one is needed, and a call. Without an answer of the store it goes by what it knows.
 */
const FRESH_WAIT_MILLISECONDS = 600;
const FRESH_STEP_MILLISECONDS = 20;

/** How often the clocks are compared to notice a suspension. */
const CLOCK_CHECK_MILLISECONDS = 250;

/** Difference between the clocks that a suspension or a step of the time of day makes. */
const CLOCK_DRIFT_MILLISECONDS = 100;

/** Creates the tasks of one instance. @public */
export function createGateway(options: GatewayOptions): Gateway {
  const { clock, logger, registry, times, transport } = options;
  const groups = new Map<string, GroupTask>();
  const accesses = new Map<string, GroupAccess>();
  const sessions = new Set<CallerSession>();
  const book = createConfigurationBook({ clock, onAdopted: handleAdopted });
  const directory = createDirectoryBook(clock);
  let neededUntil = -Infinity;
  let isDraining = false;
  let drift = driftOf(clock);

  const uses: UsesMechanism = (mechanism) => !options.without?.has(mechanism);

  // Clocks are compared before each statement, so that none is placed by ages from before a suspension.
  const relay = createRelayService({
    book,
    findGroup: (group) => {
      checkClocks();
      return groups.get(group);
    },
    freshenDirectory,
    clock,
    logger,
  });
  const holders = createHolderBook({
    ...options,
    uses,
    onShared: () => transport.listen(relay.accept),
  });

  const stopClockChecks = clock.every(CLOCK_CHECK_MILLISECONDS, checkClocks);
  registry.follow(holders.updateInstances);
  options.configuration.follow(book.adopt);
  options.directory.follow({
    onChange: (entries, age) => {
      directory.adopt(entries, age);
      for (const [group, task] of groups) task.updateMembers(directory.entriesOf(group));
    },
    // An instance that sends nothing to members itself needs to know of none at once.
    isPrompt: () => groups.size === 0 || isDirectoryNeeded(),
  });

  function isDirectoryNeeded(): boolean {
    return clock.now() < neededUntil || [...groups.keys()].some(holders.isHolder);
  }

  /**
   * An instance that takes over from a holder knows the members by a list that may be ten seconds old;
   * it would send statements to one that has been leaving for longer than it may be used.
   */
  async function freshenDirectory(): Promise<void> {
    neededUntil = clock.now() + DIRECTORY_NEEDED_MILLISECONDS;
    const until = clock.now() + FRESH_WAIT_MILLISECONDS;
    while (!directory.isFresh() && clock.now() < until) await clock.pause(FRESH_STEP_MILLISECONDS);
  }

  function handleAdopted(next: GatewayConfiguration, former: number | undefined): void {
    logger.info('configurationAdopted', {
      version: next.version,
      former,
      routes: next.routes.size,
    });
    for (const limits of next.groups.values()) {
      holders.updateLimits(limits.name, limits.maximumConnections);
      const task = groups.get(limits.name);
      if (task) task.updateLimits(limits);
      else openGroup(limits.name, limits);
    }
  }

  function openGroup(group: string, limits: { name: string; maximumConnections: number }): void {
    const task = createGroupTask({
      ...options,
      group,
      limits,
      uses,
      isHolder: () => holders.isHolder(group),
      countSharers: () => holders.countSharers(group),
      areInstancesKnown: holders.isKnown,
      missingGrace: times.missingGrace,
      leavingBound: times.leavingBound,
    });
    groups.set(group, task);
    const access = createRelayedGroup({
      group,
      local: task,
      holders,
      book,
      freshenDirectory,
      clock,
      random: options.random,
      logger,
    });
    accesses.set(group, access);
    if (directory.isKnown()) task.updateMembers(directory.entriesOf(group));
  }

  /**
   * Positions are remembered with the steady time at which they were seen. It stands still while the
   * machine is suspended, so that an old position would pass for a fresh one; the time of day goes on.
   */
  function checkClocks(): void {
    const present = driftOf(clock);
    const change = Math.abs(present - drift);
    drift = present;
    if (change < CLOCK_DRIFT_MILLISECONDS) return;
    logger.warn('clocksDisagree', { changeMilliseconds: Math.round(change) });
    for (const task of groups.values()) task.forgetAges();
  }

  const acceptCaller: CallerAcceptor = (link) => {
    const session = createCallerSession({
      link,
      clock,
      logger,
      book,
      findGroup: (group) => {
        checkClocks();
        return accesses.get(group);
      },
      onEnd: () => sessions.delete(session),
      onAnswered: options.onAnswered,
    });
    sessions.add(session);
    return session.events;
  };

  function isReady(): boolean {
    if (isDraining || !book.current() || !directory.isKnown() || !holders.isKnown()) return false;
    return [...groups.values()].some((task) => task.isUsable());
  }

  async function drain(stopAccepting: () => void): Promise<void> {
    const startedAt = clock.now();
    const elapsed = () => clock.now() - startedAt;
    isDraining = true;
    logger.info('drainStarted', { sessions: sessions.size, relayed: relay.load() });
    relay.leave();
    let isAccepting = true;
    const hasWork = () => isAccepting || sessions.size > 0 || relay.load() > 0;
    while (elapsed() < times.stopGrace * LAST_SHARE && hasWork()) {
      if (elapsed() >= BALANCER_NOTICE_MILLISECONDS) {
        if (isAccepting) stopAccepting();
        isAccepting = false;
        for (const session of [...sessions]) session.drain();
      }
      if (elapsed() >= times.stopGrace * TRANSACTION_SHARE) {
        for (const session of [...sessions]) session.abandonTransaction();
        relay.abandonTransactions();
      }
      await clock.pause(DRAIN_STEP_MILLISECONDS);
    }
    logger.info('drainEnded', { sessions: sessions.size });
  }

  return {
    acceptCaller,
    isReady,
    drain,
    counters: () => Object.fromEntries([...groups].map(([group, task]) => [group, task.counters])),
    sessionCount: () => sessions.size,
    close: () => {
      stopClockChecks();
      holders.close();
      transport.close();
      for (const task of groups.values()) task.close();
    },
  };
}

function driftOf(clock: Clock): number {
  const { steady, wall } = clock.readings();
  return wall - steady;
}
