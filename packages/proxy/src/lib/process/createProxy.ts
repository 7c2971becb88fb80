import { performance } from 'node:perf_hooks';
import { createPeerClient, createPeerServer } from '@wisterialift/peer';
import { PlatformError, createPlatformClient } from '@wisterialift/platform';
import type { ConfigurationObject, Instance, Settings } from '@wisterialift/schema';
import type { Logger } from '@wisterialift/telemetry';
import { AdministrationError } from '../administration/administrationError';
import type {
  AdministrationSources,
  InstanceState,
  InstanceStatus,
} from '../administration/administrationSources';
import { createAdministrationServer } from '../administration/createAdministrationServer';
import { createConfigurationTask } from '../configuration/configurationTask';
import { createStatementPath } from '../statements/statementPath';
import type { GroupPrimary, StatementPath } from '../statements/statementPath';
import type { ProxyKeys } from './readKeys';
import { createConfigurationRecorder } from './recordConfiguration';
import { createDecisionRecorder } from './recordDecision';
import { createRequestMeter } from './requestMeter';

/** @public */
export interface ProxyOptions {
  settings: Settings;
  logger: Logger;
  /** Keys of TLS towards callers and of mutual TLS between instances; in the clear without them. */
  keys: ProxyKeys;
}

/** One instance: every task of the process. @public */
export interface Proxy {
  start: () => Promise<void>;
  /** Stops gracefully; resolves when nothing is left. Further calls wait for the first. */
  drain: () => Promise<void>;
  /** Uses other keys for connections to come; those that cannot be used are logged and left out. */
  replaceKeys: (keys: ProxyKeys) => void;
  /** Resolves once a drain has ended, whoever asked for it. */
  drained: Promise<void>;
}

const PEER_DEADLINE_MILLISECONDS = 1_000;
const BYTES_PER_MEGABYTE = 1_048_576;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Composes the tasks of an instance: statements, configuration, peers and administration.
 *
 * Callers are accepted from the first configuration on; administration answers at once, so that an
 * operator sees an instance that still waits for it.
 *
 * @public
 */
export function createProxy(options: ProxyOptions): Proxy {
  const { settings, logger } = options;
  const { name: instanceName } = settings.instance;
  const startedAt = performance.now();
  const decisions = createDecisionRecorder({ logger });
  const meter = createRequestMeter();
  const platform = createPlatformClient(settings.platform);
  const peers = createPeerClient({
    deadlineMilliseconds: PEER_DEADLINE_MILLISECONDS,
    tls: options.keys.peers,
  });
  let { keys } = options;
  let state: InstanceState = 'starting';
  let path: StatementPath | undefined;
  let draining: Promise<void> | undefined;
  let markDrained = (): void => undefined;
  const drained = new Promise<void>((resolve) => {
    markDrained = resolve;
  });

  const configurationTask = createConfigurationTask({
    settings,
    platform,
    peers,
    random: Math.random,
    now: () => performance.now(),
    onConfiguration,
    onInstances,
    onPrimaryPublished: (published) => path?.onPrimaryPublished(published),
    record: createConfigurationRecorder({ logger }),
  });
  const peerServer = createPeerServer({
    host: settings.peers.host,
    port: settings.peers.port,
    handlers: configurationTask.peerHandlers,
    tls: options.keys.peers,
  });
  const administration = createAdministrationServer({
    settings,
    sources: createSources(),
    onFault: (error) => logger.error('administrationFault', { error }),
  });

  function onConfiguration({ configuration }: ConfigurationObject): void {
    meter.setLevels(configuration.serviceLevels);
    if (path) path.applyConfiguration(configuration);
    else openPath(configuration);
  }

  function openPath(configuration: ConfigurationObject['configuration']): void {
    const opened = createStatementPath({
      settings,
      configuration,
      callerTls: keys.callers,
      random: Math.random,
      record: decisions.record,
      observe: meter.observe,
      onPrimaryPromoted,
    });
    path = opened;
    opened.applyInstances(liveNames(configurationTask.instances()));
    opened.listen().then(
      ({ host, port }) => {
        if (state === 'starting') state = 'serving';
        logger.info('callersAccepted', { host, port });
      },
      (error: Error) => {
        logger.error('callersNotAccepted', { error });
        void drain();
      },
    );
  }

  function onPrimaryPromoted({ group, term, primary }: GroupPrimary): void {
    const groupObject = { group, term, primary, promotedBy: instanceName };
    void configurationTask.publishPrimary(groupObject);
  }

  /** An operator drains an instance by marking it in the platform's list. */
  function onInstances(instances: Instance[]): void {
    path?.applyInstances(liveNames(instances));
    const self = instances.find(({ name }) => name === instanceName);
    if (self?.state === 'leaving') void drain();
  }

  async function start(): Promise<void> {
    const peerPort = await peerServer.start();
    const { host, port } = await administration.listen();
    configurationTask.start({
      peerAddress: `${settings.peers.host}:${peerPort}`,
      administrationAddress: `${host}:${port}`,
    });
    logger.info('instanceStarted', { peerPort, administrationPort: port });
  }

  function drain(): Promise<void> {
    draining ??= drainOnce();
    return draining;
  }

  /**
   * Callers' requests and transactions end first; the peers and the platform hear of the leaving at
   * the start, so that no other instance counts on this one meanwhile.
   */
  async function drainOnce(): Promise<void> {
    state = 'draining';
    logger.info('drainStarted');
    await Promise.all([configurationTask.announceLeaving(), path?.drain()]);
    await path?.stop();
    await configurationTask.stop();
    await Promise.all([peerServer.stop(), administration.close()]);
    peers.close();
    platform.close();
    logger.info('drainFinished');
    markDrained();
  }

  function replaceKeys(next: ProxyKeys): void {
    try {
      if (next.peers) {
        peerServer.replaceKeys(next.peers);
        peers.replaceKeys(next.peers);
      }
      if (next.callers) path?.applyCallerTls(next.callers);
      keys = next;
      logger.info('keysReplaced');
    } catch (error) {
      logger.error('keysNotReplaced', { error: error as Error });
    }
  }

  function status(): InstanceStatus {
    return {
      instance: settings.instance,
      state,
      configurationNumber: configurationTask.current()?.number ?? 0,
      uptimeSeconds: Math.round((performance.now() - startedAt) / MILLISECONDS_PER_SECOND),
      residentMegabytes: Math.round(process.memoryUsage.rss() / BYTES_PER_MEGABYTE),
      callerConnections: path?.connectionCounts().callers ?? 0,
      groups: path?.views() ?? [],
      reads: decisions.readCounts(),
    };
  }

  async function drainInstance(instance: Instance): Promise<void> {
    try {
      await platform.registerInstance({ ...instance, state: 'leaving' });
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      const message = `the platform did not take the mark: ${error.message}`;
      throw new AdministrationError('platformUnavailable', message);
    }
  }

  function createSources(): AdministrationSources {
    return {
      status,
      configuration: configurationTask.current,
      submitPatch: configurationTask.submitPatch,
      findPatch: configurationTask.findPatch,
      history: configurationTask.history,
      instances: configurationTask.instances,
      drainInstance,
      burn: () => ({ instance: instanceName, series: meter.burnSeries() }),
      latencies: meter.latencies,
    };
  }

  return { start, drain, replaceKeys, drained };
}

function liveNames(instances: readonly Instance[]): string[] {
  return instances.filter(({ state }) => state === 'live').map(({ name }) => name);
}
