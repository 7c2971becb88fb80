import { describe, expect, it } from 'vitest';
import { createActiveConfiguration } from '../lib/configuration/activeConfiguration';
import type { GatewayConfiguration, Route } from '../lib/configuration/gatewayConfiguration';
import { createProcessClock } from '../lib/ports/clock';
import { createCallerSession } from '../lib/sessions/callerSession';
import { createGateway } from '../index';
import { createTestLogger, createTestOptions, createTestRoute, noop } from './fixture';

const route = createTestRoute();

const createConfiguration = (version: number, routes: Route[]): GatewayConfiguration => ({
  version,
  routes: new Map(routes.map((each) => [each.database, each])),
  groups: new Map(),
  transactionIdle: 3_000,
});

/** Starts a session for `history` at an instance that does not know the database. */
async function startSession(newer: GatewayConfiguration | undefined): Promise<string[]> {
  const clock = createProcessClock();
  const configuration = createActiveConfiguration({ clock, onAdopted: noop });
  configuration.adopt(createConfiguration(1, []));
  const replies: string[] = [];
  const session = createCallerSession({
    link: {
      accept: () => replies.push('accepted'),
      refuse: (reason) => replies.push(reason),
      answer: noop,
      close: noop,
      hasUnsentData: () => false,
    },
    clock,
    logger: createTestLogger(),
    configuration,
    checkForNewerConfiguration: async () => {
      replies.push('checked');
      if (newer) configuration.adopt(newer);
    },
    findRunner: () => undefined,
    requestPermit: async () => ({ type: 'granted' }),
    onEnd: noop,
    onAnswered: noop,
  });
  session.events.onStart('history');
  await new Promise(setImmediate);
  return replies;
}

describe('a session for a database without a route', () => {
  it('starts if a newer configuration has the route', async () => {
    // Guards against refusing a database that was added seconds ago.
    const newer = createConfiguration(2, [route]);
    expect(await startSession(newer)).toEqual(['checked', 'accepted']);
  });

  it('is refused if there is no newer configuration', async () => {
    expect(await startSession(undefined)).toEqual(['checked', 'unknownDatabase']);
  });
});

describe('an instance whose configuration may be seconds old', () => {
  it('reads it from the store before it refuses a database, once for several sessions', async () => {
    // Guards against refusing a database that was added seconds ago, on the word of an instance whose
    // configuration is as old.
    let reads = 0;
    let adopt: (configuration: GatewayConfiguration) => void = noop;
    const gateway = createGateway(
      createTestOptions({
        configuration: {
          isFresh: () => false,
          isCurrent: () => false,
          refresh: async () => {
            reads += 1;
            adopt(createConfiguration(2, [route]));
          },
          subscribe: ({ onChange }) => {
            adopt = onChange;
            adopt(createConfiguration(1, []));
          },
        },
      }),
    );
    const replies: string[] = [];
    const link = {
      accept: () => replies.push('accepted'),
      refuse: (reason: string) => replies.push(reason),
      answer: noop,
      close: noop,
      hasUnsentData: () => false,
    };
    for (const database of ['history', 'history', 'never-existed']) {
      gateway.acceptCaller(link).onStart(database);
    }
    await new Promise(setImmediate);
    gateway.acceptCaller(link).onStart('never-existed');
    await new Promise(setImmediate);
    gateway.close();
    expect(replies).toEqual(['accepted', 'accepted', 'unknownDatabase', 'unknownDatabase']);
    expect(reads).toBe(1);
  });
});
