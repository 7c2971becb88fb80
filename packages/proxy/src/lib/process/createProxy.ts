import { performance } from 'node:perf_hooks';
import type { EstablishedMemberSets } from '@wisterialift/core';
import { createPeerClient, createPeerServer } from '@wisterialift/peer';
import { PlatformError, createPlatformClient } from '@wisterialift/platform';
import type { ConfigurationObject, Instance, Settings } from '@wisterialift/schema';
import type { Logger } from '@wisterialift/telemetry';
import { AdministrationError } from '../administration/administrationError';
import type {
  AdministrationBackend,
  InstanceState,
  InstanceStatus,
} from '../administration/administrationBackend';
import { createAdministrationServer } from '../administration/createAdministrationServer';
import { createConfigurationTask } from '../configuration/configurationTask';
import { createStatementPath } from '../statements/statementPath';
import type { GroupPrimary, StatementPath } from '../statements/statementPath';
import type { TlsKeys } from './readTlsKeys';
import { createConfigurationRecorder } from './configurationRecorder';
import { createDecisionRecorder } from './decisionRecorder';
import { createRequestMetrics } from './requestMetrics';

/** @public */
export interface ProxyOptions {
  settings: Settings;
  logger: Logger;
  /**
   * TLS keys for callers and mutual-TLS keys for peers; connections without keys are unencrypted.
   */
  keys: TlsKeys;
}

/** One proxy instance with all its tasks. @public */
export interface Proxy {
  start: () => Promise<void>;
  /** Shuts down gracefully and resolves when done. Repeated calls return the same promise. */
  drain: () => Promise<void>;
  /** Uses new keys for later connections; logs an error if they cannot be used. */
  replaceKeys: (keys: TlsKeys) => void;
  /**
   * Resolves when a drain has ended, whether it was requested by a signal, an operator or an error.
   */
  drained: Promise<void>;
}

const PEER_TIMEOUT_MILLISECONDS = 1_000;
const BYTES_PER_MEGABYTE = 1_048_576;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Composes the tasks of an instance: statements, configuration, peers and administration.
 *
 * Callers are accepted after the first configuration. The administration API is available before,
 * so that an instance that waits for its configuration is visible to operators.
 *
 * @public
 */
export function createProxy(options: ProxyOptions): Proxy {
  const { settings, logger } = options;
  const { name: instanceName } = settings.instance;
  const startedAt = performance.now();
  const decisions = createDecisionRecorder({ logger });
  const metrics = createRequestMetrics();
  const platform = createPlatformClient(settings.platform);
  const peers = createPeerClient({
    deadlineMilliseconds: PEER_TIMEOUT_MILLISECONDS,
    tls: options.keys.peers,
  });
  let { keys } = options;
  let state: InstanceState = 'starting';
  let path: StatementPath | undefined;
  let draining: Promise<void> | undefined;
  let resolveDrained = (): void => undefined;
  const drained = new Promise<void>((resolve) => {
    resolveDrained = resolve;
  });

  const configurationTask = createConfigurationTask({
    settings,
    platform,
    peers,
    getEstablishedMemberSets,
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
    backend: createBackend(),
    onUnexpectedError: (error) => logger.error('administrationFault', { error }),
  });

  function onConfiguration({ configuration }: ConfigurationObject): void {
    metrics.setServiceLevels(configuration.serviceLevels);
    if (path) path.applyConfiguration(configuration);
    else startStatementPath(configuration);
  }

  function startStatementPath(configuration: ConfigurationObject['configuration']): void {
    const opened = createStatementPath({
      settings,
      configuration,
      callerTls: keys.callers,
      random: Math.random,
      record: decisions.record,
      observe: metrics.observe,
      onPrimaryPromoted,
    });
    path = opened;
    opened.applyInstances(listLiveNames(configurationTask.instances()));
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

  function getEstablishedMemberSets(): EstablishedMemberSets {
    const views = path?.views() ?? [];
    return Object.fromEntries(
      views.flatMap(({ group, establishedMemberSet: number }) =>
        number === undefined ? [] : [[group, number]],
      ),
    );
  }

  function onPrimaryPromoted({ group, term, primary }: GroupPrimary): void {
    const groupObject = { group, term, primary, promotedBy: instanceName };
    void configurationTask.publishPrimary(groupObject);
  }

  /** Drains when an operator has marked this instance as leaving in the platform's list. */
  function onInstances(instances: Instance[]): void {
    path?.applyInstances(listLiveNames(instances));
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
   * Announces the leaving at the start, so that no other instance relies on this one, and stops the
   * other tasks after the requests and transactions of callers have ended.
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
    resolveDrained();
  }

  function replaceKeys(next: TlsKeys): void {
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
      const message = `the platform did not mark the instance as leaving: ${error.message}`;
      throw new AdministrationError('platformUnavailable', message);
    }
  }

  function createBackend(): AdministrationBackend {
    return {
      status,
      configuration: configurationTask.current,
      submitPatch: configurationTask.submitPatch,
      findPatch: configurationTask.findPatch,
      history: configurationTask.history,
      instances: configurationTask.instances,
      drainInstance,
      burn: () => ({ instance: instanceName, series: metrics.burnSeries() }),
      latencies: metrics.latencies,
    };
  }

  return { start, drain, replaceKeys, drained };
}

function listLiveNames(instances: readonly Instance[]): string[] {
  return instances.filter(({ state }) => state === 'live').map(({ name }) => name);
}
