import { createSessionState } from '@wisterialift/pooling';
import type { UpstreamAnswer } from '@wisterialift/pooling';
import { describe, expect, it, vi } from 'vitest';
import { createActiveConfiguration } from '../lib/configuration/activeConfiguration';
import type { Route } from '../lib/configuration/gatewayConfiguration';
import type { GroupRouter } from '../lib/groups/groupRouter';
import type { StatementRequest } from '../lib/groups/statementRequest';
import type { StatementRunner, Transaction } from '../lib/groups/statementRunner';
import type { CallerAnswer } from '../lib/ports/callerPort';
import { createProcessClock } from '../lib/ports/clock';
import type { RelayTransport } from '../lib/ports/instancePort';
import { createConfigurationSynchronizer } from '../lib/relay/configurationSynchronizer';
import { createPeerLink } from '../lib/relay/peerLink';
import type { PeerLink } from '../lib/relay/peerLink';
import { createRelayedGroup } from '../lib/relay/relayedGroup';
import { createRelayService } from '../lib/relay/relayService';
import type { RelayTarget } from '../lib/relay/relayService';
import { createCallerSession } from '../lib/sessions/callerSession';
import { createTestLogger, createTestStamp, GROUP, noop } from './fixture';

const clock = createProcessClock();
const logger = createTestLogger();

/** No part of a check: longer than any wait on a busy machine. */
const WAIT_OPTIONS = { timeout: 20_000 };

const route: Route = {
  database: 'history',
  group: GROUP,
  consistency: 'primary',
  maximumStaleness: 0,
  timeout: 2_000,
  goal: 500,
  priority: 1,
};

function createConfiguration() {
  const configuration = createActiveConfiguration({ clock, onAdopted: noop });
  configuration.adopt({
    version: 1,
    routes: new Map([[route.database, route]]),
    groups: new Map([[GROUP, { name: GROUP, maximumConnections: 6 }]]),
    transactionIdle: 3_000,
  });
  return configuration;
}

/**
 * Creates a link to a holder that records what it runs.
 *
 * @param options.mayRun - resolves when the holder may run what it has received.
 */
function createHolder(options: { isOutOfReach: boolean; mayRun?: Promise<void> }) {
  const received: string[] = [];
  const ran: string[] = [];
  const values: Record<string, string>[] = [];
  const run = async ({ id, sessionState }: StatementRequest): Promise<UpstreamAnswer> => {
    received.push(id);
    await options.mayRun;
    ran.push(id);
    values.push(Object.fromEntries(sessionState.values));
    return { outcome: 'completed', rows: [], signature: 's', transaction: 'idle' };
  };
  const runInTransaction = async (request: StatementRequest): Promise<UpstreamAnswer> => ({
    ...(await run(request)),
    transaction: 'open',
  });
  const transaction: Transaction = { run: runInTransaction, commit: run, rollBack: noop };
  const target: RelayTarget = {
    read: run,
    write: run,
    openTransaction: async () => ({ transaction }),
    createArrivalStamp: () => createTestStamp(clock.now()),
    isOutOfReach: () => options.isOutOfReach,
    discover: async () => undefined,
    probePrimary: async () => undefined,
  };
  const service = createRelayService({
    grantPermits: () => ({ count: 0, retryAfterMilliseconds: 0 }),
    isConfigurationCurrent: () => true,
    configuration: createConfiguration(),
    findRunner: () => target,
    waitForFreshState: async () => undefined,
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
  const link = createPeerLink({
    transport,
    address: 'holder',
    clock,
    onOpen: noop,
    onVersion: noop,
    onLost: noop,
  });
  return { link, received, ran, values };
}

/**
 * Creates an instance that relays to the first of the holders, then to the others.
 *
 * @param holder - what it runs itself if it is a holder, too; it then relays only if it is out of reach.
 */
function createRelay(links: PeerLink[], holder?: Partial<GroupRouter>) {
  const configuration = createConfiguration();
  const counters = { relayed: 0, refusals: 0 } as GroupRouter['counters'];
  const local = {
    counters,
    createArrivalStamp: () => createTestStamp(clock.now()),
    isOutOfReach: () => false,
    ...holder,
  } as Partial<GroupRouter> as GroupRouter;
  return createRelayedGroup({
    group: GROUP,
    local,
    holders: {
      selectLink: () => (holder ? undefined : links.find((link) => link.isUsable())),
      selectOtherLink: (_, refusing) => links.find((link) => !refusing.has(link)),
      selectLinkIn: () => undefined,
      listOtherLinks: () => links,
      countHoldersIn: () => 0,
      findLink: () => undefined,
      isInformed: () => false,
      hasOtherHolders: () => true,
      isHolder: () => holder !== undefined,
      countConnectedInstances: () => 2,
      isReady: () => true,
      updateInstances: noop,
      updateLimits: noop,
      close: noop,
    },
    configuration,
    synchronizer: createConfigurationSynchronizer({ configuration, clock, logger }),
    waitForFreshState: async () => undefined,
    clock,
    random: () => 0,
    logger,
  });
}

function createRequest(id: string): StatementRequest {
  const arrivalStamp = createTestStamp(clock.now());
  return {
    id,
    text: 'WRITE lamp-1 v1',
    session: { stateVersion: 0, lastCommit: undefined },
    sessionState: createSessionState(),
    route,
    configurationVersion: 1,
    arrivalStamp,
    deadlineAt: arrivalStamp.at + route.timeout,
  };
}

/** Opens a session whose statements a relay sends to holders. */
function openSession(relay: StatementRunner) {
  const answers: CallerAnswer[] = [];
  const { events } = createCallerSession({
    link: {
      accept: noop,
      refuse: noop,
      answer: (answer) => answers.push(answer),
      close: noop,
      hasUnsentData: () => false,
    },
    clock,
    logger,
    configuration: createConfiguration(),
    checkForNewerConfiguration: async () => undefined,
    findRunner: () => relay,
    requestPermit: async () => ({ type: 'granted' }),
    onEnd: noop,
    onAnswered: noop,
  });
  events.onStart(route.database);
  return { answers, onStatement: events.onStatement };
}

describe('a holder that is lost while a read of its waits', () => {
  it('runs it with the values that it arrived with, although another one has answered', async () => {
    // Guards against running a statement with values that its caller has set since.
    let allowRun: () => void = noop;
    const mayRun = new Promise<void>((resolve) => {
      allowRun = resolve;
    });
    const lost = createHolder({ isOutOfReach: false, mayRun });
    const other = createHolder({ isOutOfReach: false });
    const session = openSession(createRelay([lost.link, other.link]));
    const set = (value: string) =>
      session.onStatement({ type: 'set', id: 'set', text: `SET a ${value}`, name: 'a', value });
    set('1');
    session.onStatement({ type: 'read', id: 'read', text: 'READ lamp-1' });
    await vi.waitUntil(() => lost.received.length === 1, WAIT_OPTIONS);
    lost.link.close();
    await vi.waitUntil(() => session.answers.length === 2, WAIT_OPTIONS);
    set('2');
    await vi.waitUntil(() => session.answers.length === 3, WAIT_OPTIONS);
    allowRun();
    await vi.waitUntil(() => lost.ran.length === 1, WAIT_OPTIONS);
    expect(session.answers.map(({ outcome }) => outcome)).toEqual(Array(3).fill('completed'));
    expect([lost.values, other.values]).toEqual([[{ a: '1' }], [{ a: '1' }]]);
  });
});

describe('a transaction that moves to another holder', () => {
  it('runs each statement with the values that were set before it', async () => {
    // Guards against values that stay behind at the holder which the transaction has left.
    const partitioned = createHolder({ isOutOfReach: true });
    const other = createHolder({ isOutOfReach: false });
    const session = openSession(createRelay([partitioned.link, other.link]));
    const set = (value: string) =>
      session.onStatement({ type: 'set', id: 'set', text: `SET a ${value}`, name: 'a', value });
    const write = (id: string) =>
      session.onStatement({ type: 'write', id, text: 'WRITE lamp-1 v1' });
    session.onStatement({ type: 'begin', id: 'begin', text: 'BEGIN', isReadOnly: false });
    set('1');
    write('first');
    set('2');
    write('second');
    await vi.waitUntil(() => session.answers.length === 5, WAIT_OPTIONS);
    expect(partitioned.ran).toEqual([]);
    expect(other.ran).toEqual(['first', 'second']);
    expect(other.values).toEqual([{ a: '1' }, { a: '2' }]);
  });
});

describe('a holder that is partitioned from the members', () => {
  // Guards against callers of one data centre that are refused for as long as a partition lasts,
  // although the holders of another data centre reach the members.
  it('has another one run reads, writes and transactions', async () => {
    const partitioned = createHolder({ isOutOfReach: true });
    const other = createHolder({ isOutOfReach: false });
    const relay = createRelay([partitioned.link, other.link]);
    expect(await relay.read(createRequest('read'))).toMatchObject({ outcome: 'completed' });
    expect(await relay.write(createRequest('write'))).toMatchObject({ outcome: 'completed' });
    const opening = { isReadOnly: false, beginStamp: createTestStamp(clock.now()) };
    const opened = await relay.openTransaction(createRequest('begin'), opening);
    const transaction = 'transaction' in opened ? opened.transaction : undefined;
    expect(await transaction!.run(createRequest('run'))).toMatchObject({ outcome: 'completed' });
    expect(partitioned.ran).toEqual([]);
    expect(other.ran).toEqual(['read', 'write', 'run']);
  });

  it('has no other one begin a transaction whose caller has left', async () => {
    // Guards against a transaction that stays open at a holder which the roll-back did not reach.
    const partitioned = createHolder({ isOutOfReach: true });
    const other = createHolder({ isOutOfReach: false });
    const relay = createRelay([partitioned.link, other.link]);
    const opening = { isReadOnly: false, beginStamp: createTestStamp(clock.now()) };
    const opened = await relay.openTransaction(createRequest('begin'), opening);
    const transaction = 'transaction' in opened ? opened.transaction : undefined;
    const ran = transaction!.run(createRequest('run'));
    transaction!.rollBack();
    expect(await ran).toMatchObject({ outcome: 'refused', reason: 'aborted' });
    expect(other.ran).toEqual([]);
  });

  it('is told apart from a group that nobody reaches, whose callers are refused at once', async () => {
    const holders = [1, 2].map(() => createHolder({ isOutOfReach: true }));
    const relay = createRelay(holders.map(({ link }) => link));
    const startedAt = clock.now();
    expect(await relay.write(createRequest('write'))).toMatchObject({
      reason: 'busy',
      detail: expect.stringMatching(/come back in \d+ ms$/),
    });
    expect(clock.now() - startedAt).toBeLessThan(route.timeout);
    expect(holders.flatMap(({ ran }) => ran)).toEqual([]);
  });
});

describe('a holder whose caller has a commit of a term that it has missed', () => {
  it('asks its members before another holder runs a statement', async () => {
    // Guards against statements that are all passed on although the new primary is in reach.
    let isBehind = true;
    const ran: string[] = [];
    const run = async ({ id }: StatementRequest): Promise<UpstreamAnswer> => {
      ran.push(id);
      return { outcome: 'completed', rows: [], signature: 's', transaction: 'idle' };
    };
    const other = createHolder({ isOutOfReach: false });
    const relay = createRelay([other.link], {
      isOutOfReach: () => isBehind,
      discover: async () => {
        isBehind = false;
      },
      read: run,
      write: run,
      openTransaction: async () => ({ transaction: { run, commit: run, rollBack: noop } }),
    });
    await relay.read(createRequest('read'));
    isBehind = true;
    await relay.write(createRequest('write'));
    isBehind = true;
    const opening = { isReadOnly: false, beginStamp: createTestStamp(clock.now()) };
    const opened = await relay.openTransaction(createRequest('begin'), opening);
    if ('transaction' in opened) await opened.transaction.run(createRequest('run'));
    expect(ran).toEqual(['read', 'write', 'run']);
    expect(other.received).toEqual([]);
  });
});
