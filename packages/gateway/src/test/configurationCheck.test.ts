import { describe, expect, it } from 'vitest';
import { createActiveConfiguration } from '../lib/configuration/activeConfiguration';
import { createConfigurationCheck } from '../lib/configuration/configurationCheck';
import { createKeyRefusals } from '../lib/configuration/keyRefusals';
import { createTeamDirectory } from '../index';
import type { Clock, GatewayConfiguration } from '../index';
import { createTestLogger, createTestRoute, noop } from './fixture';

const route = createTestRoute();

const createVersion = (version: number, keyDigests: string[]): GatewayConfiguration => ({
  version,
  routes: new Map([['history', route]]),
  groups: new Map(),
  transactionIdle: 3_000,
  teams: createTeamDirectory([{ name: 'north', keyDigests }]),
});

/** An instance whose configuration may be old, and a clock that the test advances. */
function createInstance(first: GatewayConfiguration) {
  let now = 0;
  let reads = 0;
  let stored: GatewayConfiguration | undefined = first;
  const clock = {
    now: () => now,
    runAfter: () => noop,
  } as Partial<Clock> as Clock;
  const keyRefusals = createKeyRefusals(clock);
  const configuration = createActiveConfiguration({ clock, onAdopted: keyRefusals.update });
  configuration.adopt(first);
  const { checkFor } = createConfigurationCheck({
    port: {
      subscribe: noop,
      isFresh: () => false,
      isCurrent: () => false,
      refresh: async () => {
        reads += 1;
        if (!stored) throw new Error('the store does not answer');
        configuration.adopt(stored);
      },
    },
    configuration,
    keyRefusals,
    askOtherInstance: async () => undefined,
    clock,
    logger: createTestLogger(),
  });
  return {
    advance: (milliseconds: number) => {
      now += milliseconds;
    },
    store: (next: GatewayConfiguration | undefined) => {
      stored = next;
    },
    configuration,
    checkKey: (keyDigest: string) => checkFor({ database: 'history', keyDigest }),
    countReads: () => reads,
  };
}

describe('a look for a newer configuration', () => {
  it('finds a key that was added within the bound', async () => {
    // Guards against refusing a key for longer than a new version may take.
    const instance = createInstance(createVersion(1, []));
    await instance.checkKey('new');
    instance.store(createVersion(2, ['new']));
    instance.advance(3_600);
    await instance.checkKey('new');
    const access = instance.configuration.findAccess({ database: 'history', keyDigest: 'new' });
    expect(access?.type).toBe('granted');
  });

  it('is made seldom for callers that try unknown keys again and again', async () => {
    // Guards against a flood of unknown keys that becomes a flood of calls to the store.
    const instance = createInstance(createVersion(1, []));
    for (let attempt = 0; attempt < 300; attempt += 1) {
      instance.advance(100);
      await instance.checkKey(`unknown-${attempt % 3}`);
    }
    expect(instance.countReads()).toBeLessThanOrEqual(12);
  });

  it('is not made for a key that a version took away', async () => {
    const instance = createInstance(createVersion(1, ['old']));
    instance.configuration.adopt(createVersion(2, []));
    for (let attempt = 0; attempt < 100; attempt += 1) {
      instance.advance(100);
      await instance.checkKey('old');
    }
    expect(instance.countReads()).toBe(0);
  });

  it('is not repeated at once where the store does not answer', async () => {
    const instance = createInstance(createVersion(1, []));
    instance.store(undefined);
    for (let attempt = 0; attempt < 40; attempt += 1) {
      instance.advance(100);
      await instance.checkKey(`unknown-${attempt}`);
    }
    expect(instance.countReads()).toBe(2);
  });
});
