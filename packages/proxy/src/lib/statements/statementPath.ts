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
import type { Configuration, Settings } from '@wisterialift/schema';
import { callerError } from './caller/callerErrors';
import { createCallerTask, type CallerTask } from './caller/callerTask';
import type { GroupServices, RequestObservation, Retirement } from './caller/callerTypes';
import { createGroupTask, type GroupTask } from './group/groupTask';
import { checkGroup, checkLogin, findCaller } from './caller/loginCheck';
import { createPreparedDescriptions } from './caller/preparedDescriptions';
import type { UpstreamConnectionCount } from './group/upstreamMembers';

/** A decision of a group's engine, for the log and the counts. @public */
export interface GroupRecord {
  group: string;
  record: EngineRecord;
}

/** The primary of a group from a term on. @public */
export interface GroupPrimary {
  group: string;
  term: number;
  primary: string;
}

/** @public */
export interface StatementPathOptions {
  settings: Settings;
  configuration: Configuration;
  /** Uniform random numbers in [0, 1). */
  random: () => number;
  record: (record: GroupRecord) => void;
  observe: (observation: RequestObservation) => void;
  /** An engine of this instance has promoted a primary. */
  onPrimaryPromoted: (promoted: GroupPrimary) => void;
  /** Keys of `settings.tls.callers`; without them callers connect in the clear alone. */
  callerTls?: CallerTls | undefined;
  /** Changes to the engines' limits, for tests and trials. */
  policy?: Partial<EnginePolicy>;
}

/** Connections of this instance. @public */
export interface ConnectionCounts {
  callers: number;
  upstreams: UpstreamConnectionCount[];
}

/** The way of statements from callers to databases and back. @public */
export interface StatementPath {
  /** Starts to accept callers. */
  listen: () => Promise<ListenerAddress>;
  /**
   * Takes other keys for the callers to come.
   *
   * @throws Error of the TLS library where the keys cannot be used; the present ones stay.
   */
  applyCallerTls: (tls: CallerTls) => void;
  /** Takes a new configuration, also for the connections that are open. */
  applyConfiguration: (configuration: Configuration) => void;
  /** @param names - instances that the platform's list shows as live. */
  applyInstances: (names: string[]) => void;
  /** Another instance has published a primary. */
  onPrimaryPublished: (published: GroupPrimary) => void;
  views: () => GroupEngineView[];
  connectionCounts: () => ConnectionCounts;
  /**
   * Stops gracefully: accepts no more callers, lets requests and transactions end, closes connections
   * as they become idle. Resolves when none is left, or after `limits.drainMilliseconds`.
   */
  drain: () => Promise<void>;
  /** Closes everything at once. */
  stop: () => Promise<void>;
}

interface RunningGroup extends GroupServices {
  task: GroupTask;
}

const STOPPING: SqlError = callerError(
  'notRun',
  'Not run: this proxy is stopping; connect again, retry after 0 ms',
);

/** While it stops, an instance serves connections that are busy for this long before it sends them on. */
const DRAINING: Retirement = { reason: STOPPING, graceMilliseconds: 1_000 };

const POLL_MILLISECONDS = 20;

/**
 * Creates the path of statements: a listener, a task for each caller connection and one for each
 * group.
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
  const retiredGroups = new Set<GroupTask>();
  const callers = new Set<CallerTask>();
  let { configuration } = options;
  let liveInstances: string[] = [settings.instance.name];
  let isDraining = false;

  const listener = createCallerListener({
    ...settings.callers,
    maximumPacketBytes,
    tls: options.callerTls,
    authenticate: (login) => checkLogin(login, { configuration, openConnections }),
    onConnection,
  });

  function openConnections(caller: string): number {
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
      configuration: () => configuration,
      findGroup: (group) => groups.get(group),
      maximumPacketBytes,
      clock,
      observe: options.observe,
      onClosed: () => callers.delete(task),
    });
    callers.add(task);
    if (isDraining) task.retire(DRAINING);
  }

  function startGroup(group: string): void {
    const upstreamGroup = configuration.groups[group];
    if (!upstreamGroup) return;
    const task = createGroupTask({
      group,
      upstreamGroup,
      instance: settings.instance,
      policy: policyOf(options),
      clock,
      random: options.random,
      record: (record) => options.record({ group, record }),
      onPrimaryPromoted: (promotion) => options.onPrimaryPromoted({ group, ...promotion }),
    });
    groups.set(group, { task, port: task.port, descriptions: createPreparedDescriptions() });
    tellInstances(task);
  }

  function tellInstances(task: GroupTask): void {
    task.port.post({ type: 'engineEvent', event: { type: 'instancesChanged', liveInstances } });
  }

  /** A group that left the configuration ends what it has begun. */
  function retireGroup(group: string, { task }: RunningGroup): void {
    groups.delete(group);
    retiredGroups.add(task);
    void waitUntil(() => task.openCount() === 0, settings.limits.drainMilliseconds).then(() => {
      task.stop();
      retiredGroups.delete(task);
    });
  }

  function applyGroups(): void {
    [...groups].forEach(([group, running]) => {
      const upstreamGroup = configuration.groups[group];
      if (!upstreamGroup) retireGroup(group, running);
      else running.port.post({ type: 'upstreamGroupChanged', upstreamGroup });
    });
    Object.keys(configuration.groups)
      .filter((group) => !groups.has(group))
      .forEach(startGroup);
  }

  function applyCallers(): void {
    callers.forEach((task) => {
      const refusal = refusalOf(task);
      if (refusal) task.retire({ reason: refusal, graceMilliseconds: 0 });
    });
  }

  function refusalOf({ caller, group }: CallerTask): SqlError | undefined {
    if (!findCaller(configuration, caller)) {
      return callerError(
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
      applyCallers();
    },
    applyInstances: (names) => {
      liveInstances = names;
      groups.forEach(({ task }) => tellInstances(task));
    },
    onPrimaryPublished: ({ group, term, primary }) => {
      const event = { type: 'primaryPublished', term, primary } as const;
      groups.get(group)?.port.post({ type: 'engineEvent', event });
    },
    views: () => [...groups.values()].map(({ task }) => task.view()),
    connectionCounts: () => ({
      callers: callers.size,
      upstreams: [...groups.values()].flatMap(({ task }) => task.connectionCounts()),
    }),
    drain: async () => {
      isDraining = true;
      listener.stopAccepting();
      groups.forEach(({ port }) => {
        port.post({ type: 'engineEvent', event: { type: 'drainStarted' } });
      });
      callers.forEach((task) => task.retire(DRAINING));
      await waitUntil(() => callers.size === 0, settings.limits.drainMilliseconds);
    },
    stop: async () => {
      listener.stopAccepting();
      callers.forEach((task) => task.destroy());
      await waitUntil(() => callers.size === 0, settings.limits.drainMilliseconds);
      [...[...groups.values()].map(({ task }) => task), ...retiredGroups].forEach((task) =>
        task.stop(),
      );
      groups.clear();
    },
  };
}

function policyOf({ settings, policy }: StatementPathOptions): EnginePolicy {
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

/** Resolves when the condition holds, or after the time limit. */
async function waitUntil(condition: () => boolean, limitMilliseconds: number): Promise<void> {
  const giveUpAt = performance.now() + limitMilliseconds;
  while (!condition() && performance.now() < giveUpAt) {
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MILLISECONDS);
    });
  }
}
