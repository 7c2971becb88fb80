import { createSessionState } from '@wisterialift/pooling';
import type { UpstreamAnswer } from '@wisterialift/pooling';
import { describe, expect, it } from 'vitest';
import { createActiveConfiguration } from '../lib/configuration/activeConfiguration';
import type { GroupRouter } from '../lib/groups/groupRouter';
import type { StatementRequest } from '../lib/groups/statementRequest';
import type { StatementRunner } from '../lib/groups/statementRunner';
import { createProcessClock } from '../lib/ports/clock';
import type { InstanceEntry } from '../lib/ports/instancePort';
import { createHolderSelector } from '../lib/relay/holderSelector';
import type { HolderSelector } from '../lib/relay/holderSelector';
import { createConfigurationSynchronizer } from '../lib/relay/configurationSynchronizer';
import type { PeerLink, RelayOutcome } from '../lib/relay/peerLink';
import { createPrimaryRoute } from '../lib/relay/primaryRoute';
import { createRelayedGroup } from '../lib/relay/relayedGroup';
import { createRelayService } from '../lib/relay/relayService';
import { encodeAnswer, encodeStatement } from '../lib/relay/relayMessages';
import {
  createRelayRequest,
  createTestLogger,
  createTestRoute,
  createTestStamp,
  GROUP,
  noop,
} from './fixture';

const logger = createTestLogger();
const answer: UpstreamAnswer = {
  outcome: 'completed',
  rows: [],
  signature: 's',
  transaction: 'open',
};

const refusal: UpstreamAnswer = {
  outcome: 'refused',
  reason: 'busy',
  detail: 'no primary can take the write',
  transaction: 'idle',
};

function createRequest(text: string, consistency: 'primary' | 'boundedStaleness' = 'primary') {
  const at = createProcessClock().now();
  const request: StatementRequest = {
    id: text,
    text,
    session: { stateVersion: 0, lastCommit: undefined },
    sessionState: createSessionState(),
    route: createTestRoute({ consistency }),
    configurationVersion: 1,
    arrivalStamp: createTestStamp(at),
    deadlineAt: at + 1_000,
  };
  return request;
}

interface FakeHolder {
  link: PeerLink;
  received: string[];
  /** Data centre of the primary that its answers name. */
  primaryDataCentre: string;
  state: 'runs' | 'refuses' | 'isOutOfReach' | 'loses';
}

function createFakeHolder(primaryDataCentre = 'zone-2'): FakeHolder {
  const holder: FakeHolder = {
    received: [],
    primaryDataCentre,
    state: 'runs',
    link: {
      request: async ({ statement }): Promise<RelayOutcome> => {
        holder.received.push(statement!.text);
        if (holder.state === 'loses') return { type: 'lost' };
        const isOutOfReach = holder.state === 'isOutOfReach';
        const load = { primaryDataCentre: holder.primaryDataCentre };
        return {
          type: 'answered',
          response: {
            number: 1,
            isLeaving: false,
            version: 1,
            answer: isOutOfReach
              ? undefined
              : encodeAnswer(holder.state === 'refuses' ? refusal : answer, {
                  lastCommit: undefined,
                  now: 0,
                }),
            configurationJson: '',
            isOutOfReach,
            permits: undefined,
            probedLogEnd: undefined,
            isConfigurationCurrent: true,
            load: isOutOfReach
              ? undefined
              : { ...load, refusingMilliseconds: 0, isRefusingTeamOnly: false },
          },
        };
      },
      allocateTransactionNumber: () => 1,
      rollBack: noop,
      isUsable: () => true,
      isOpen: () => true,
      tellsVersions: () => true,
      countPendingRequests: () => 0,
      close: noop,
    },
  };
  return holder;
}

/** Creates an instance of zone-1 with holders in three data centres. */
function createInstance({ isHolder = false, isEnabled = true, ownView = 'zone-2' } = {}) {
  const holders = {
    'zone-1': createFakeHolder(),
    'zone-2': createFakeHolder(),
    'zone-3': createFakeHolder(),
  };
  const links = new Map<string, PeerLink>(
    Object.entries(holders).map(([place, { link }]) => [place, link]),
  );
  const ranHere: string[] = [];
  const clock = createProcessClock();
  let elapsed = 0;
  const view = { primaryDataCentre: ownView };
  const run = async ({ text }: StatementRequest) => {
    ranHere.push(text);
    return answer;
  };
  const counts = { relayed: 0, refusals: 0, sentToPrimaryHolder: 0, sentToNearHolder: 0 };
  const counters = counts as GroupRouter['counters'];
  const local = {
    counters,
    read: run,
    write: run,
    createArrivalStamp: () => createTestStamp(clock.now()),
    isOutOfReach: () => false,
    findPrimaryDataCentre: () => view.primaryDataCentre,
  } as Partial<GroupRouter> as GroupRouter;
  const selector = {
    isHolder: () => isHolder,
    selectLink: () => (isHolder ? undefined : links.get('zone-1')),
    selectOtherLink: (_, refusing) => [...links.values()].find((link) => !refusing.has(link)),
    selectLinkIn: (_, place) => links.get(place),
  } as Partial<HolderSelector> as HolderSelector;
  const configuration = createActiveConfiguration({ clock, onAdopted: noop });
  configuration.adopt({
    version: 1,
    routes: new Map(),
    groups: new Map(),
    transactionIdle: 3_000,
  });
  const primaryRoute = createPrimaryRoute({
    group: GROUP,
    dataCentre: 'zone-1',
    local,
    holders: selector,
    clock: { ...clock, now: () => clock.now() + elapsed },
    logger,
  });
  const runner: StatementRunner = createRelayedGroup({
    group: GROUP,
    local,
    holders: selector,
    primaryRoute: isEnabled ? primaryRoute : undefined,
    configuration,
    synchronizer: createConfigurationSynchronizer({ configuration, clock, logger }),
    waitForFreshState: async () => undefined,
    clock,
    random: () => 0,
    logger,
  });
  const listReceived = () => Object.values(holders).map(({ received }) => received.join(' '));
  return {
    runner,
    holders,
    links,
    view,
    counters,
    ranHere,
    listReceived,
    advance: (milliseconds: number) => {
      elapsed += milliseconds;
    },
  };
}

const write = createRequest;

describe('statements that only the primary can run', () => {
  it('go to the holder in its data centre once an answer has named it; other reads stay', async () => {
    const { runner, listReceived, counters } = createInstance();
    await runner.write(write('WRITE a'));
    await runner.write(write('WRITE b'));
    await runner.read(createRequest('READ c'));
    await runner.read(createRequest('READ d', 'boundedStaleness'));
    const opened = await runner.openTransaction(write('WRITE e'), {
      isReadOnly: false,
      beginStamp: createTestStamp(0),
    });
    if ('transaction' in opened) await opened.transaction.run(write('WRITE e'));
    expect(listReceived()).toEqual(['WRITE a READ d', 'WRITE b READ c WRITE e', '']);
    expect(counters).toMatchObject({ sentToPrimaryHolder: 3, sentToNearHolder: 1 });
  });

  it('take the usual path if the control is disabled', async () => {
    // Guards against a changed path in deployments that do not ask for the control.
    const { runner, listReceived } = createInstance({ isEnabled: false });
    await runner.write(write('WRITE a'));
    await runner.write(write('WRITE b'));
    expect(listReceived()).toEqual(['WRITE a WRITE b', '', '']);
  });

  it('take the usual path when the last answer is older than 5 s', async () => {
    // Guards against a path to a data centre that the primary left long ago.
    const { runner, listReceived, advance } = createInstance();
    await runner.write(write('WRITE a'));
    advance(5_001);
    await runner.write(write('WRITE b'));
    expect(listReceived()).toEqual(['WRITE a WRITE b', '', '']);
  });

  it('follow the first answer that names a new primary; an open transaction stays', async () => {
    // Guards against statements of one transaction on two connections.
    const { runner, listReceived, holders } = createInstance();
    await runner.write(write('WRITE a'));
    const opened = await runner.openTransaction(write('WRITE b'), {
      isReadOnly: false,
      beginStamp: createTestStamp(0),
    });
    if (!('transaction' in opened)) throw new Error('the transaction was refused');
    holders['zone-2'].primaryDataCentre = 'zone-3';
    await opened.transaction.run(write('WRITE b'));
    await runner.write(write('WRITE c'));
    await opened.transaction.commit(write('COMMIT'));
    expect(listReceived()).toEqual(['WRITE a', 'WRITE b COMMIT', 'WRITE c']);
  });

  it('go to the near holder at once when that holder is lost; a sent write is not repeated', async () => {
    // Guards against a write that runs twice because its answer was lost.
    const { runner, listReceived, holders, links } = createInstance();
    await runner.write(write('WRITE a'));
    holders['zone-2'].state = 'loses';
    const lost = await runner.write(write('WRITE b'));
    links.delete('zone-2');
    await runner.write(write('WRITE c'));
    expect(lost).toMatchObject({ outcome: 'refused', reason: 'unknownOutcome' });
    expect(listReceived()).toEqual(['WRITE a WRITE c', 'WRITE b', '']);
  });

  it('go to the near holder if that holder does not reach the members', async () => {
    // Guards against refusals during a partition while the near holder reaches the primary.
    const { runner, listReceived, holders } = createInstance();
    await runner.write(write('WRITE a'));
    holders['zone-2'].state = 'isOutOfReach';
    expect(await runner.write(write('WRITE b'))).toMatchObject({ outcome: 'completed' });
    expect(listReceived()).toEqual(['WRITE a WRITE b', 'WRITE b', '']);
  });

  it('leave that holder out for a second', async () => {
    // Guards against a transaction that ends at each instance because its first statement is sent to a
    // holder that has just answered that it does not reach the members.
    const { runner, listReceived, holders, advance } = createInstance();
    await runner.write(write('WRITE a'));
    holders['zone-2'].state = 'isOutOfReach';
    await runner.write(write('WRITE b'));
    await runner.write(write('WRITE c'));
    holders['zone-2'].state = 'runs';
    advance(1_001);
    await runner.write(write('WRITE d'));
    expect(listReceived()).toEqual(['WRITE a WRITE b WRITE c', 'WRITE b WRITE d', '']);
  });

  it('take the usual path once that holder has only refused for 5 s', async () => {
    // Guards against a holder cut off from the other members that keeps naming a former primary.
    const { runner, listReceived, holders, advance } = createInstance();
    await runner.write(write('WRITE a'));
    holders['zone-2'].state = 'refuses';
    advance(3_000);
    await runner.write(write('WRITE b'));
    advance(2_001);
    await runner.write(write('WRITE c'));
    expect(listReceived()).toEqual(['WRITE a WRITE c', 'WRITE b', '']);
  });
});

describe('an instance that is a holder', () => {
  it('relays them by its own view until an answer names another data centre', async () => {
    const { runner, listReceived, holders, ranHere } = createInstance({ isHolder: true });
    holders['zone-2'].primaryDataCentre = 'zone-3';
    await runner.write(write('WRITE a'));
    await runner.write(write('WRITE b'));
    expect(listReceived()).toEqual(['', 'WRITE a', 'WRITE b']);
    expect(ranHere).toEqual([]);
  });

  it('runs them itself in the data centre of the primary, by its own view', async () => {
    // Guards against statements that the holder of the primary sends away on an old answer.
    const { runner, ranHere, holders, view } = createInstance({ isHolder: true });
    holders['zone-2'].primaryDataCentre = 'zone-1';
    await runner.write(write('WRITE a'));
    view.primaryDataCentre = 'zone-1';
    await runner.write(write('WRITE b'));
    expect(ranHere).toEqual(['WRITE b']);
  });

  it('runs them itself if the other holder does not reach the members', async () => {
    const { runner, ranHere, holders } = createInstance({ isHolder: true });
    holders['zone-2'].state = 'isOutOfReach';
    await runner.write(write('WRITE a'));
    expect(ranHere).toEqual(['WRITE a']);
  });
});

describe('the holder of a relayed statement', () => {
  it.each([
    ['names the data centre of the primary', (): string => 'zone-3', 'zone-3'],
    ['names none if the control is disabled', undefined, undefined],
  ])('runs it and %s', async (_, findPrimaryDataCentre, expected) => {
    // Guards against a loop of holders that disagree about the primary.
    const clock = createProcessClock();
    const configuration = createActiveConfiguration({ clock, onAdopted: noop });
    configuration.adopt({
      version: 1,
      routes: new Map(),
      groups: new Map(),
      transactionIdle: 3_000,
    });
    const ran: string[] = [];
    const runner = {
      write: async ({ text }: StatementRequest) => {
        ran.push(text);
        return answer;
      },
      createArrivalStamp: () => createTestStamp(clock.now()),
      isOutOfReach: () => false,
    } as Partial<GroupRouter> as GroupRouter;
    const service = createRelayService({
      configuration,
      findRunner: () => runner,
      findPrimaryDataCentre,
      waitForFreshState: async () => undefined,
      isConfigurationCurrent: () => true,
      grantPermits: () => ({ count: 0, retryAfterMilliseconds: 0 }),
      clock,
      logger,
    });
    const statement = encodeStatement(write('WRITE a'), { action: 'write', now: clock.now() });
    const response = await new Promise<{ load?: { primaryDataCentre: string } }>((resolve) => {
      const stream = service.accept((sent) => sent.number > 0 && resolve(sent));
      stream.onRequest(createRelayRequest({ statement }));
    });
    expect(ran).toEqual(['WRITE a']);
    expect(response.load?.primaryDataCentre).toBe(expected);
  });
});

describe('the link to a holder in another data centre', () => {
  it('is used only once its stream is open', () => {
    // Guards against statements that wait for a stream to a holder that has lost power.
    const clock = createProcessClock();
    const openings: (() => void)[] = [];
    const selector = createHolderSelector({
      instance: 'zone-1-a',
      dataCentre: 'zone-1',
      clock,
      logger,
      transport: {
        open: (_, { onResponse }) => {
          openings.push(() =>
            onResponse({
              number: 0,
              isLeaving: false,
              version: 1,
              answer: undefined,
              configurationJson: '',
              isOutOfReach: false,
              permits: undefined,
              probedLogEnd: undefined,
              isConfigurationCurrent: true,
              load: undefined,
            }),
          );
          return { send: noop, close: noop };
        },
        listen: noop,
        hasUnsentData: () => false,
        close: noop,
      },
      registry: { registerInstance: noop, reportUnreachable: noop },
      isMechanismEnabled: () => true,
      onVersion: noop,
      onHoldersAssigned: noop,
    });
    const instances = ['zone-1-a', 'zone-1-b', 'zone-2-a', 'zone-2-b'].map(
      (instance): InstanceEntry => ({
        instance,
        dataCentre: instance.slice(0, 6),
        address: instance,
        weight: 1,
      }),
    );
    selector.updateInstances(instances);
    selector.updateLimits(GROUP, 7);
    expect(selector.selectLinkIn(GROUP, 'zone-2')).toBeUndefined();
    openings[0]!();
    expect(selector.selectLinkIn(GROUP, 'zone-2')).toBeDefined();
    expect(selector.countHoldersIn(GROUP, 'zone-2')).toBe(1);
    expect(selector.selectLinkIn(GROUP, 'zone-4')).toBeUndefined();
    selector.updateLimits(GROUP, 8);
    expect(selector.selectLinkIn(GROUP, 'zone-2')).toBeUndefined();
    expect(selector.countHoldersIn(GROUP, 'zone-2')).toBe(0);
    selector.close();
  });
});
