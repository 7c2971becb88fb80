import {
  DEFAULT_ENGINE_POLICY,
  type EnginePolicy,
  type EngineRecord,
  type GroupEngineView,
} from '@wisterialift/core';
import {
  createCallerListener,
  type CallerConnection,
  type CallerLogin,
  type CallerTls,
  type ListenerAddress,
  type SqlError,
} from '@wisterialift/mysql';
import { lookUp, type Configuration, type Settings } from '@wisterialift/schema';
import { createCallerError } from './caller/callerErrors';
import { createCallerTask, type CallerTask } from './caller/callerTask';
import type { GroupServices, RequestObservation, GracefulCloseOptions } from './caller/callerTypes';
import { createGroupTask, type GroupTask } from './group/groupTask';
import { checkGroup, checkLogin, findCaller } from './caller/loginCheck';
import { createPreparedDescriptionCache } from './caller/preparedDescriptionCache';
import type { UpstreamConnectionCount } from './group/upstreamMembers';

/** An engine record of a group, for logs and metrics. @public */
export interface GroupRecord {
  group: string;
  record: EngineRecord;
}

/** The primary of a group as of a term. @public */
export interface GroupPrimary {
  group: string;
  term: number;
  primary: string;
}

/** @public */
export interface StatementPathOptions {
  settings: Settings;
  configuration: Configuration;
  /** Returns uniformly distributed numbers in [0, 1). */
  random: () => number;
  record: (record: GroupRecord) => void;
  observe: (observation: RequestObservation) => void;
  /** Called when this instance has promoted a primary. */
  onPrimaryPromoted: (promoted: GroupPrimary) => void;
  /** Keys of `settings.tls.callers`; if undefined, callers cannot use TLS. */
  callerTls?: CallerTls | undefined;
  /** Overrides of the engine policy, for tests and experiments. */
  policy?: Partial<EnginePolicy>;
}

/** Numbers of open connections of this instance. @public */
export interface ConnectionCounts {
  callers: number;
  upstreams: UpstreamConnectionCount[];
}

/** Accepts callers and forwards their statements to the databases. @public */
export interface StatementPath {
  /** Starts to accept callers; resolves with the address of the listener. */
  listen: () => Promise<ListenerAddress>;
  /**
   * Replaces the TLS keys for new caller connections.
   *
   * @throws Error of the TLS library if the keys are invalid; the previous keys stay in use.
   */
  applyCallerTls: (tls: CallerTls) => void;
  /** Applies a configuration, also to open connections. */
  applyConfiguration: (configuration: Configuration) => void;
  /** @param names - live instances according to the platform. */
  applyInstances: (names: string[]) => void;
  /** Call when another instance has published a primary. */
  onPrimaryPublished: (published: GroupPrimary) => void;
  views: () => GroupEngineView[];
  connectionCounts: () => ConnectionCounts;
  /**
   * Shuts down gracefully: stops accepting callers and closes each connection once its requests and
   * transactions have ended. Resolves when all are closed or after `limits.drainMilliseconds`.
   */
  drain: () => Promise<void>;
  /**
   * Stops accepting callers, closes their connections without waiting for requests, then stops the
   * groups.
   */
  stop: () => Promise<void>;
}

interface RunningGroup extends GroupServices {
  task: GroupTask;
}

const STOPPING_ERROR: SqlError = createCallerError(
  'notRun',
  'Not run: this proxy is stopping; connect again, retry after 0 ms',
);

/** Callers that keep sending statements during a shutdown are still served for this long. */
const DRAINING_CLOSE: GracefulCloseOptions = { reason: STOPPING_ERROR, graceMilliseconds: 1_000 };

const POLL_INTERVAL_MILLISECONDS = 20;

/**
 * Creates the listener for callers and the tasks of the configured groups. Each caller connection
 * gets a task of its own.
 *
 * @example
 * const path = createStatementPath({ settings, configuration, random: Math.random, ... });
 * const { port } = await path.listen();
 * @public
 */
export function createStatementPath(options: StatementPathOptions): StatementPath {
  const { settings } = options;
  const { maximumPacketBytes } = settings.limits;
  const clock = (): number => performance.now();
  const groups = new Map<string, RunningGroup>();
  const removedGroups = new Set<GroupTask>();
  const callers = new Set<CallerTask>();
  let { configuration } = options;
  let liveInstances: string[] = [settings.instance.name];
  let isDraining = false;

  const listener = createCallerListener({
    ...settings.callers,
    maximumPacketBytes,
    tls: options.callerTls,
    authenticate: (login) => checkLogin(login, { configuration, countConnections }),
    onConnection,
  });

  function countConnections(caller: string): number {
    let count = 0;
    callers.forEach((task) => {
      if (task.caller === caller) count += 1;
    });
    return count;
  }

  function onConnection(connection: CallerConnection, login: CallerLogin): void {
    const task = createCallerTask({
      connection,
      login,
      getConfiguration: () => configuration,
      findGroup: (group) => groups.get(group),
      maximumPacketBytes,
      clock,
      observe: options.observe,
      onClosed: () => callers.delete(task),
    });
    callers.add(task);
    if (isDraining) task.closeGracefully(DRAINING_CLOSE);
  }

  function startGroup(group: string): void {
    const upstreamGroup = lookUp(configuration.groups, group);
    if (!upstreamGroup) return;
    const task = createGroupTask({
      group,
      upstreamGroup,
      instance: settings.instance,
      policy: createPolicy(options),
      clock,
      readWallClock: () => Date.now(),
      random: options.random,
      record: (record) => options.record({ group, record }),
      onPrimaryPromoted: (promotion) => options.onPrimaryPromoted({ group, ...promotion }),
    });
    groups.set(group, {
      task,
      mailbox: task.mailbox,
      descriptions: createPreparedDescriptionCache(),
    });
    postInstances(task);
  }

  function postInstances(task: GroupTask): void {
    task.mailbox.post({ type: 'engineEvent', event: { type: 'instancesChanged', liveInstances } });
  }

  /**
   * Stops the task of a group after its open requests and transactions have ended, or after
   * `limits.drainMilliseconds`.
   */
  function removeGroup(group: string, { task }: RunningGroup): void {
    groups.delete(group);
    removedGroups.add(task);
    void waitUntil(() => task.countUnfinished() === 0, settings.limits.drainMilliseconds).then(
      () => {
        task.stop();
        removedGroups.delete(task);
      },
    );
  }

  function applyGroups(): void {
    [...groups].forEach(([group, running]) => {
      const upstreamGroup = lookUp(configuration.groups, group);
      if (!upstreamGroup) removeGroup(group, running);
      else running.mailbox.post({ type: 'upstreamGroupChanged', upstreamGroup });
    });
    Object.keys(configuration.groups)
      .filter((group) => !groups.has(group))
      .forEach(startGroup);
  }

  function closeRefusedCallers(): void {
    callers.forEach((task) => {
      const refusal = findRefusal(task);
      if (refusal) task.closeGracefully({ reason: refusal, graceMilliseconds: 0 });
    });
  }

  function findRefusal({ caller, group }: CallerTask): SqlError | undefined {
    if (!findCaller(configuration, caller)) {
      return createCallerError(
        'accessDenied',
        `Caller '${caller}' is no longer part of the configuration`,
      );
    }
    return group === undefined ? undefined : checkGroup(configuration, caller, group);
  }

  applyGroups();

  return {
    listen: () => listener.listen(),
    applyCallerTls: listener.useTls,
    applyConfiguration: (changed) => {
      configuration = changed;
      applyGroups();
      closeRefusedCallers();
    },
    applyInstances: (names) => {
      liveInstances = names;
      groups.forEach(({ task }) => postInstances(task));
    },
    onPrimaryPublished: ({ group, term, primary }) => {
      const event = { type: 'primaryPublished', term, primary } as const;
      groups.get(group)?.mailbox.post({ type: 'engineEvent', event });
    },
    views: () => [...groups.values()].map(({ task }) => task.getView()),
    connectionCounts: () => ({
      callers: callers.size,
      upstreams: [...groups.values()].flatMap(({ task }) => task.getConnectionCounts()),
    }),
    drain: async () => {
      isDraining = true;
      listener.stopAccepting();
      groups.forEach(({ mailbox }) => {
        mailbox.post({ type: 'engineEvent', event: { type: 'drainStarted' } });
      });
      callers.forEach((task) => task.closeGracefully(DRAINING_CLOSE));
      await waitUntil(() => callers.size === 0, settings.limits.drainMilliseconds);
    },
    stop: async () => {
      listener.stopAccepting();
      callers.forEach((task) => task.destroy());
      await waitUntil(() => callers.size === 0, settings.limits.drainMilliseconds);
      [...[...groups.values()].map(({ task }) => task), ...removedGroups].forEach((task) =>
        task.stop(),
      );
      groups.clear();
    },
  };
}

function createPolicy({ settings, policy }: StatementPathOptions): EnginePolicy {
  const { limits, failover } = settings;
  return {
    ...DEFAULT_ENGINE_POLICY,
    queueLength: limits.queueLength,
    retryShare: limits.retryShare,
    probeIntervalMilliseconds: failover.probeIntervalMilliseconds,
    idleProbeIntervalMilliseconds: failover.idleProbeIntervalMilliseconds,
    suspicionMilliseconds: failover.suspicionMilliseconds,
    ...policy,
  };
}

/** Resolves when the condition holds or the time limit has passed. */
async function waitUntil(condition: () => boolean, limitMilliseconds: number): Promise<void> {
  const deadlineAt = performance.now() + limitMilliseconds;
  while (!condition() && performance.now() < deadlineAt) {
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MILLISECONDS);
    });
  }
}
