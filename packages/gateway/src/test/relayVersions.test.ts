import type { UpstreamAnswer } from '@wisterialift/pooling';
import { createSessionState } from '@wisterialift/pooling';
import { describe, expect, it } from 'vitest';
import { createActiveConfiguration } from '../lib/configuration/activeConfiguration';
import type { ActiveConfiguration } from '../lib/configuration/activeConfiguration';
import type { GatewayConfiguration, Route } from '../lib/configuration/gatewayConfiguration';
import type { GroupRouter } from '../lib/groups/groupRouter';
import type { StatementRequest } from '../lib/groups/statementRequest';
import { createTeamDirectory } from '../lib/configuration/gatewayConfiguration';
import { createProcessClock } from '../lib/ports/clock';
import type { RelayTransport } from '../lib/ports/instancePort';
import { createConfigurationSynchronizer } from '../lib/relay/configurationSynchronizer';
import { createPeerLink } from '../lib/relay/peerLink';
import { createRelayedGroup } from '../lib/relay/relayedGroup';
import { createRelayService } from '../lib/relay/relayService';
import { createTestLogger, createTestStamp } from './fixture';

const GROUP = 'group-1';
const clock = createProcessClock();
const noop = (): void => undefined;
const logger = createTestLogger(noop);

const createRoute = (group: string): Route => ({
  database: 'history',
  group,
  consistency: 'boundedStaleness',
  maximumStaleness: 1_500,
  timeout: 2_000,
  goal: 500,
  priority: 1,
});

function createConfiguration(version: number, group?: string): GatewayConfiguration {
  return {
    version,
    routes: new Map(group === undefined ? [] : [['history', createRoute(group)]]),
    groups: new Map([[GROUP, { name: GROUP, maximumConnections: 6 }]]),
    transactionIdle: 3_000,
  };
}

/** Creates a group that completes every read and records its configuration version. */
function createGroup(executedVersions: number[], onRun = noop): GroupRouter {
  const read = async ({ configurationVersion }: StatementRequest): Promise<UpstreamAnswer> => {
    executedVersions.push(configurationVersion);
    onRun();
    return { outcome: 'completed', rows: [], signature: 's', transaction: 'idle' };
  };
  const counters = { relayed: 0, refusals: 0 } as GroupRouter['counters'];
  const createArrivalStamp = () => createTestStamp(clock.now());
  const isOutOfReach = () => false;
  return {
    read,
    createArrivalStamp,
    counters,
    isOutOfReach,
  } as Partial<GroupRouter> as GroupRouter;
}

/** Creates a relaying instance and a holder with separate configurations. */
function createPair(
  relayInitialConfiguration: GatewayConfiguration,
  holderInitialConfiguration: GatewayConfiguration,
) {
  const executedVersions: number[] = [];
  const executionOrder: string[] = [];
  /** What each side learns while it waits for a fresh state. */
  const learned: { relay?: GatewayConfiguration; holder?: GatewayConfiguration } = {};
  let group: GroupRouter | undefined = createGroup(executedVersions);
  const local = createGroup(executedVersions, () => executionOrder.push('executed'));
  let isLost = false;
  const relayConfiguration = createActiveConfiguration({ clock, onAdopted: noop });
  const holderConfiguration = createActiveConfiguration({ clock, onAdopted: noop });
  relayConfiguration.adopt(relayInitialConfiguration);
  holderConfiguration.adopt(holderInitialConfiguration);
  const service = createRelayService({
    grantPermits: () => ({ count: 0, retryAfterMilliseconds: 0 }),
    isConfigurationCurrent: () => true,
    configuration: holderConfiguration,
    findRunner: () => group,
    waitForFreshState: async () => {
      if (learned.holder) holderConfiguration.adopt(learned.holder);
    },
    clock,
    logger,
  });
  const transport: RelayTransport = {
    open: (_, { onResponse }) => {
      const { onRequest, onEnd } = service.accept((response) => {
        setImmediate(() => onResponse(response));
      });
      return { send: (request) => setImmediate(() => onRequest(request)), close: onEnd };
    },
    listen: noop,
    hasUnsentData: () => false,
    close: noop,
  };
  const options = {
    transport,
    address: 'holder',
    clock,
    onOpen: noop,
    onVersion: noop,
    onLost: noop,
  };
  const link = createPeerLink(options);
  const synchronizer = createConfigurationSynchronizer({
    configuration: relayConfiguration,
    clock,
    logger,
  });
  const relayed = createRelayedGroup({
    random: () => 0,
    group: GROUP,
    local,
    holders: {
      selectLink: () => (isLost ? undefined : link),
      selectOtherLink: () => undefined,
      selectLinkIn: () => undefined,
      listOtherLinks: () => [],
      countHoldersIn: () => 0,
      findLink: () => undefined,
      isInformed: () => false,
      hasOtherHolders: () => true,
      isHolder: () => false,
      countConnectedInstances: () => 2,
      isReady: () => true,
      updateInstances: noop,
      updateLimits: noop,
      close: noop,
    },
    configuration: relayConfiguration,
    synchronizer,
    waitForFreshState: async () => {
      executionOrder.push('refreshed');
      if (learned.relay) relayConfiguration.adopt(learned.relay);
    },
    clock,
    logger,
  });
  return {
    executedVersions,
    executionOrder,
    relayed,
    relayConfiguration,
    holderConfiguration,
    learned,
    updateFromHolder: () => synchronizer.updateFrom(link),
    removeGroup: () => {
      group = undefined;
    },
    disconnectHolder: () => {
      isLost = true;
    },
  };
}

function createRequest(activeConfiguration: ActiveConfiguration): StatementRequest {
  const { route, version } = activeConfiguration.findRoute('history')!;
  const arrivalStamp = createTestStamp(clock.now());
  const session = { stateVersion: 0, lastCommit: undefined };
  const deadlineAt = arrivalStamp.at + 2_000;
  return {
    id: 'q1',
    text: 'READ lamp-1',
    session,
    sessionState: createSessionState(),
    route: route!,
    configurationVersion: version,
    arrivalStamp,
    deadlineAt,
  };
}

describe('two instances with different configuration versions', () => {
  // Guards against an instance cut off from the store that applies the new version to a relayed
  // statement and then the old one to its own caller, who finds a dropped database again.
  it('both use the newer version of the relaying instance', async () => {
    const { executedVersions, relayed, relayConfiguration, holderConfiguration } = createPair(
      createConfiguration(10, GROUP),
      createConfiguration(4, 'group-2'),
    );
    expect(await relayed.read(createRequest(relayConfiguration))).toMatchObject({
      outcome: 'completed',
    });
    expect(executedVersions).toEqual([10]);
    expect(holderConfiguration.findRoute('history')).toMatchObject({
      version: 10,
      route: { group: GROUP },
    });
  });

  it('both use the newer version of the holder', async () => {
    const { executedVersions, relayed, relayConfiguration } = createPair(
      createConfiguration(4, GROUP),
      createConfiguration(10, GROUP),
    );
    expect(await relayed.read(createRequest(relayConfiguration))).toMatchObject({
      outcome: 'completed',
    });
    expect(executedVersions).toEqual([10]);
    expect(relayConfiguration.getVersion()).toBe(10);
  });

  it('run no statement on a route that the newer version dropped', async () => {
    const { executedVersions, relayed, relayConfiguration } = createPair(
      createConfiguration(4, GROUP),
      createConfiguration(10),
    );
    expect(await relayed.read(createRequest(relayConfiguration))).toMatchObject({
      reason: 'unknownDatabase',
    });
    expect(executedVersions).toEqual([]);
    expect(relayConfiguration.findRoute('history')?.route).toBeUndefined();
  });
});

describe('a statement whose key the holder knows to belong to another team', () => {
  it('is not run', async () => {
    // Guards against running a statement for a team that lost the key in the newer version.
    const withOwner = (version: number, name: string): GatewayConfiguration => ({
      ...createConfiguration(version, GROUP),
      teams: createTeamDirectory([{ name, keyDigests: ['digest-1'] }]),
    });
    const { executedVersions, relayed, relayConfiguration } = createPair(
      withOwner(4, 'north'),
      withOwner(10, 'south'),
    );
    const request = { ...createRequest(relayConfiguration), team: 'north', keyDigest: 'digest-1' };
    expect(await relayed.read(request)).toMatchObject({ reason: 'unauthenticated' });
    expect(executedVersions).toEqual([]);
  });
});

describe('an instance whose configuration may be seconds old', () => {
  it('takes over the newer version of a holder before it refuses a database', async () => {
    // Guards against refusing a database whose route was added seconds ago.
    const { relayConfiguration, updateFromHolder } = createPair(
      createConfiguration(4),
      createConfiguration(10, GROUP),
    );
    expect(await updateFromHolder()).toBe(true);
    expect(relayConfiguration.findRoute('history')).toMatchObject({ version: 10 });
  });

  it('does not run a statement by a dropped route once no holder can be reached', async () => {
    // Guards against running a statement by the old route after taking over from a holder.
    const pair = createPair(createConfiguration(4, GROUP), createConfiguration(4, GROUP));
    const request = createRequest(pair.relayConfiguration);
    pair.disconnectHolder();
    pair.learned.relay = createConfiguration(10, 'group-2');
    expect(await pair.relayed.read(request)).toMatchObject({ reason: 'busy' });
    expect(pair.executedVersions).toEqual([]);
  });

  it('does not run a relayed statement by a dropped route when it has just become a holder', async () => {
    // Guards against two instances that agree on a version which both learned to be old too late.
    const pair = createPair(createConfiguration(4, GROUP), createConfiguration(4, GROUP));
    pair.learned.holder = createConfiguration(10);
    const answer = await pair.relayed.read(createRequest(pair.relayConfiguration));
    expect(answer).toMatchObject({ reason: 'unknownDatabase' });
    expect(pair.executedVersions).toEqual([]);
  });
});

describe('a statement that the holder cannot run', () => {
  it('is refused immediately as not executed', async () => {
    // Guards against a holder that logs an unknown group without sending an answer.
    const configuration = createConfiguration(4, GROUP);
    const { executedVersions, relayed, relayConfiguration, removeGroup } = createPair(
      configuration,
      configuration,
    );
    removeGroup();
    const request = createRequest(relayConfiguration);
    const lastCommit = { position: { term: 1, index: 7 }, seenAt: clock.now() };
    request.session.lastCommit = lastCommit;
    expect(await relayed.read(request)).toMatchObject({ reason: 'busy' });
    expect(executedVersions).toEqual([]);
    // Without the commit position, the next read of the session could miss its own write.
    expect(request.session.lastCommit?.position).toEqual(lastCommit.position);
  });
});

describe('an instance that runs a statement locally', () => {
  it('refreshes the directory first', async () => {
    // Guards against sending statements to a member past its leaving grace period: an instance without
    // connections has a directory that may be seconds old.
    const configuration = createConfiguration(4, GROUP);
    const { executionOrder, relayed, relayConfiguration, disconnectHolder } = createPair(
      configuration,
      configuration,
    );
    disconnectHolder();
    await relayed.read(createRequest(relayConfiguration));
    expect(executionOrder).toEqual(['refreshed', 'executed']);
  });
});

describe('the active configuration', () => {
  it('never returns to an older version and resolves waiting calls', async () => {
    const activeConfiguration = createActiveConfiguration({ clock, onAdopted: noop });
    const waiting = activeConfiguration.waitForVersion(9, 5_000);
    activeConfiguration.adopt(createConfiguration(4, GROUP));
    activeConfiguration.adopt(createConfiguration(9, GROUP));
    expect(await waiting).toBe(true);
    activeConfiguration.adopt(createConfiguration(4, GROUP));
    expect(activeConfiguration.getVersion()).toBe(9);
    expect(await activeConfiguration.waitForVersion(10, 1)).toBe(false);
  });
});
