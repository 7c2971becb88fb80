import type { RelayAcceptor } from '@wisterialift/peer/relay';
import { describe, expect, it } from 'vitest';
import { createGateway, createProcessClock } from '../index';
import type { InstanceEntry } from '../index';
import {
  createRelayRequest,
  createRelayStatement,
  createTestOptions,
  createTestLogger,
  GROUP,
  noop,
} from './fixture';

const createInstanceEntry = (name: string): InstanceEntry => ({
  instance: name,
  dataCentre: 'zone-1',
  address: `${name}:1`,
  weight: 1,
});

describe('a holder after a suspension', () => {
  it('detects the suspension when a relayed statement arrives', async () => {
    // Guards against stale reads: the monotonic clock stops during a suspension, so old positions
    // look fresh until the clocks are next compared.
    let suspendedMilliseconds = 0;
    let acceptStream: RelayAcceptor | undefined;
    const events: string[] = [];
    const options = createTestOptions({
      clock: {
        ...createProcessClock(),
        now: () => 1_000,
        readClocks: () => ({ monotonic: 1_000, wall: 1_000 + suspendedMilliseconds }),
      },
      logger: createTestLogger((event) => events.push(event)),
      configuration: {
        refresh: async () => undefined,
        isFresh: () => true,
        isCurrent: () => true,
        subscribe: ({ onChange }) =>
          onChange({
            version: 3,
            routes: new Map(),
            groups: new Map([[GROUP, { name: GROUP, maximumConnections: 2 }]]),
            transactionIdle: 3_000,
          }),
      },
      registry: {
        registerInstance: (onChange) =>
          onChange(['instance-1', 'instance-2'].map(createInstanceEntry), { mayOthersLag: false }),
        reportUnreachable: noop,
      },
      transport: {
        open: () => ({ send: noop, close: noop }),
        listen: (acceptor) => {
          acceptStream = acceptor;
        },
        hasUnsentData: () => false,
        close: noop,
      },
    });
    const gateway = createGateway(options);
    suspendedMilliseconds = 5_000;
    const read = { action: 'read', transaction: 0, isFirst: false, timeLeftMilliseconds: 0 };
    const route = { consistency: 'boundedStaleness', maximumStalenessMilliseconds: 1_500 };
    const statement = createRelayStatement(read, route);
    acceptStream!(noop).onRequest(createRelayRequest({ statement }));
    await Promise.resolve();
    await Promise.resolve();
    await Promise.resolve();
    gateway.close();
    expect(events).toContain('clocksDisagree');
  });
});
