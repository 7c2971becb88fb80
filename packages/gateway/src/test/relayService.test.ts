import { describe, expect, it } from 'vitest';
import { createActiveConfiguration } from '../lib/configuration/activeConfiguration';
import type { Transaction } from '../lib/groups/statementRunner';
import { createProcessClock } from '../lib/ports/clock';
import { createRelayService } from '../lib/relay/relayService';
import type { RelayTarget } from '../lib/relay/relayService';
import {
  createRelayRequest,
  createRelayStatement,
  createTestLogger,
  createTestStamp,
  noop,
} from './fixture';

const logger = createTestLogger();

const firstStatement = createRelayStatement({ text: 'WRITE lamp-1 lost' });

/** Creates a service with a fake group that counts open transactions. */
function createService() {
  const clock = createProcessClock();
  const configuration = createActiveConfiguration({ clock, onAdopted: noop });
  configuration.adopt({
    version: 3,
    routes: new Map(),
    groups: new Map(),
    transactionIdle: 3_000,
  });
  let open = 0;
  const transaction: Transaction = {
    run: async () => ({ outcome: 'completed', rows: [], signature: 's', transaction: 'open' }),
    commit: async () => ({ outcome: 'completed', rows: [], signature: 's', transaction: 'idle' }),
    rollBack: () => {
      open -= 1;
    },
  };
  const group: Partial<RelayTarget> = {
    isOutOfReach: () => false,
    createArrivalStamp: () => createTestStamp(clock.now(), 1),
    openTransaction: async () => {
      open += 1;
      await new Promise(setImmediate);
      return { transaction };
    },
  };
  const service = createRelayService({
    grantPermits: () => ({ count: 0, retryAfterMilliseconds: 0 }),
    isConfigurationCurrent: () => true,
    configuration,
    findRunner: () => group as RelayTarget,
    waitForFreshState: () => new Promise(setImmediate),
    clock,
    logger,
  });
  return { service, countOpen: () => open };
}

/** Runs ten turns of the event loop, enough for the immediate callbacks of a request. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) await new Promise(setImmediate);
}

describe('a relayed transaction', () => {
  it('leaves no transaction open if its caller disconnects immediately', async () => {
    // Guards against a connection leak: the rollback may arrive before the transaction has begun,
    // while its first statement waits for the directory.
    const { service, countOpen } = createService();
    const { onRequest } = service.accept(noop);
    onRequest(createRelayRequest({ statement: firstStatement }));
    onRequest(createRelayRequest({ number: 0, rolledBackTransaction: 1 }));
    await settle();
    expect(countOpen()).toBe(0);
    expect(service.countActiveWork()).toBe(0);
  });

  it('is rolled back if the stream ends', async () => {
    const { service, countOpen } = createService();
    const { onRequest, onEnd } = service.accept(noop);
    onRequest(createRelayRequest({ statement: firstStatement }));
    await settle();
    expect(countOpen()).toBe(1);
    onEnd();
    await settle();
    expect(countOpen()).toBe(0);
  });
});
