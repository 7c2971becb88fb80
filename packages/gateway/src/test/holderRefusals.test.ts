import type { RelayResponse } from '@wisterialift/peer/relay';
import { createSessionState } from '@wisterialift/pooling';
import type { UpstreamAnswer } from '@wisterialift/pooling';
import { describe, expect, it } from 'vitest';
import { createActiveConfiguration } from '../lib/configuration/activeConfiguration';
import type { GroupRouter } from '../lib/groups/groupRouter';
import type { StatementRequest } from '../lib/groups/statementRequest';
import type { Transaction } from '../lib/groups/statementRunner';
import type { Clock } from '../lib/ports/clock';
import { createConfigurationSynchronizer } from '../lib/relay/configurationSynchronizer';
import { createHolderRefusals } from '../lib/relay/holderRefusals';
import type { HolderSelector } from '../lib/relay/holderSelector';
import type { PeerLink } from '../lib/relay/peerLink';
import { createRelayedGroup } from '../lib/relay/relayedGroup';
import { createRelayService } from '../lib/relay/relayService';
import type { RelayTarget } from '../lib/relay/relayService';
import {
  createRelayRequest,
  createTestLogger,
  createTestRoute,
  createTestStamp,
  GROUP,
  noop,
} from './fixture';

const refusal: UpstreamAnswer = {
  outcome: 'refused',
  reason: 'busy',
  detail: 'no primary can take the write, come back in 700 ms',
  transaction: 'idle',
};

/** Creates an instance and a holder that refuses everything and states its load. */
function createPair(
  estimate: ReturnType<GroupRouter['estimateRefusal']>,
  { isEnabled = true, losesFirst = false } = {},
) {
  const now = { value: 1_000 };
  const clock = { now: () => now.value } as Clock;
  const lines: Record<string, unknown>[] = [];
  const logger = createTestLogger((event, fields) => lines.push({ event, ...fields }));
  const ran: string[] = [];
  const responses: RelayResponse[] = [];
  const refuse = async ({ id }: StatementRequest) => {
    ran.push(id);
    return refusal;
  };
  const transaction: Transaction = { run: refuse, commit: refuse, rollBack: noop };
  const target: RelayTarget = {
    read: refuse,
    write: refuse,
    openTransaction: async () => ({ transaction }),
    createArrivalStamp: () => createTestStamp(now.value),
    isOutOfReach: () => false,
    discover: async () => undefined,
    probePrimary: async () => undefined,
    estimateRefusal: () => estimate,
  };
  const configuration = createActiveConfiguration({ clock, onAdopted: noop });
  const routes = ['history', 'ledger'].map((database) => createTestRoute({ database }));
  configuration.adopt({
    version: 1,
    routes: new Map(routes.map((route) => [route.database, route])),
    groups: new Map([[GROUP, { name: GROUP, maximumConnections: 6 }]]),
    transactionIdle: 3_000,
  });
  const service = createRelayService({
    grantPermits: () => ({ count: 0, retryAfterMilliseconds: 0 }),
    isConfigurationCurrent: () => true,
    configuration,
    findRunner: () => target,
    waitForFreshState: async () => undefined,
    clock,
    logger,
  });

  function createLink(): PeerLink {
    const pending = new Map<number, (response: RelayResponse) => void>();
    const { onRequest } = service.accept((response) => {
      if (response.number > 0) responses.push(response);
      pending.get(response.number)?.(response);
    });
    let number = 0;
    const link: Partial<PeerLink> = {
      request: async (content) => {
        if (losesFirst && number === 0) {
          number += 1;
          return { type: 'lost' };
        }
        const response = await new Promise<RelayResponse>((resolve) => {
          number += 1;
          pending.set(number, resolve);
          onRequest(createRelayRequest({ number, ...content }));
        });
        return { type: 'answered', response };
      },
      allocateTransactionNumber: () => 1,
    };
    return link as PeerLink;
  }

  let link = createLink();
  const counters = { relayed: 0, refusals: 0, refusedAtFirstInstance: 0 };
  const local = { counters, isOutOfReach: () => false } as unknown as GroupRouter;
  const holders = { selectLink: () => link, isHolder: () => false };
  const holderRefusals = createHolderRefusals({ clock, random: () => 0 });
  const relay = createRelayedGroup({
    group: GROUP,
    local,
    holders: holders as unknown as HolderSelector,
    configuration,
    synchronizer: createConfigurationSynchronizer({ configuration, clock, logger }),
    waitForFreshState: async () => undefined,
    clock,
    random: () => 0,
    logger,
    holderRefusals: isEnabled ? holderRefusals : undefined,
    instance: 'instance-1',
  });

  function createRequest(
    id: string,
    { team = 'team-1', database = 'history', priority = 1 } = {},
  ): StatementRequest {
    return {
      id,
      text: 'WRITE lamp-1 v1',
      session: { stateVersion: 0, lastCommit: undefined },
      sessionState: createSessionState(),
      team,
      route: createTestRoute({ database, priority }),
      configurationVersion: 1,
      arrivalStamp: createTestStamp(now.value),
      deadlineAt: now.value + 1_000,
    };
  }

  return {
    now,
    ran,
    responses,
    lines,
    counters,
    holderRefusals,
    createRequest,
    write: (id: string, changes?: Parameters<typeof createRequest>[1]) =>
      relay.write(createRequest(id, changes)),
    read: (id: string) => relay.read(createRequest(id)),
    relay,
    getLink: () => link,
    replaceLink: () => {
      link = createLink();
    },
  };
}

describe('a holder without capacity', () => {
  const estimate = { milliseconds: 100, isTeamOnly: false };

  it('is not sent further statements of the same kind for the stated time', async () => {
    // Guards against a holder that spends its time on refusing statements.
    const { counters, lines, now, ran, write } = createPair(estimate);
    await write('first');
    now.value += 99;
    expect(await write('second')).toMatchObject({
      reason: 'busy',
      detail: expect.stringMatching(/come back in 601 ms$/),
    });
    expect(lines.find(({ event }) => event === 'statementRefused')).toMatchObject({
      decidedBy: 'instance-1',
      loadAgeMilliseconds: 99,
      expectedWaitMilliseconds: 601,
      returnMilliseconds: 601,
    });
    expect(counters.refusedAtFirstInstance).toBe(1);
    now.value += 1;
    await write('third');
    expect(ran).toEqual(['first', 'third']);
  });

  it('is asked again after 100 ms, whatever time it states', async () => {
    // Guards against load information that outlives the load.
    const { now, ran, write } = createPair({ ...estimate, milliseconds: 5_000 });
    await write('first');
    now.value += 100;
    await write('second');
    expect(ran).toEqual(['first', 'second']);
  });

  it('is sent what its refusal does not apply to', async () => {
    // Guards against refusing statements that the holder would run.
    const { ran, read, write } = createPair(estimate);
    await write('first');
    await read('read');
    await write('database', { database: 'ledger' });
    await write('priority', { priority: 0 });
    expect(ran).toEqual(['first', 'read', 'database', 'priority']);
  });

  it('is sent statements of other teams if it refuses only one', async () => {
    const { ran, write } = createPair({ ...estimate, isTeamOnly: true });
    await write('first');
    await write('same-team');
    await write('other-team', { team: 'team-2' });
    expect(ran).toEqual(['first', 'other-team']);
  });

  it('is sent the statements of transactions', async () => {
    // Guards against a transaction that is aborted although its connection is free.
    const { createRequest, ran, relay, responses, write } = createPair(estimate);
    await write('first');
    const beginStamp = createTestStamp(1_000);
    const opened = await relay.openTransaction(createRequest('begin'), {
      isReadOnly: false,
      beginStamp,
    });
    const transaction = 'transaction' in opened ? opened.transaction : undefined;
    await transaction!.run(createRequest('run'));
    expect(ran).toEqual(['first', 'run']);
    expect(responses.map(({ load }) => load !== undefined)).toEqual([true, false]);
  });

  it('is asked again by a read that may have been sent already', async () => {
    // Guards against refusing as not run what another attempt may have run.
    const { createRequest, getLink, holderRefusals, ran, read } = createPair(estimate, {
      losesFirst: true,
    });
    const link = getLink();
    const { request } = link;
    link.request = async (...sent) => {
      const outcome = await request(...sent);
      if (outcome.type === 'lost') {
        const response = {
          answer: { isCompleted: false, detail: 'no' },
          load: { refusingMilliseconds: 100, isRefusingTeamOnly: false },
        } as RelayResponse;
        holderRefusals.remember(link, createRequest('other'), { access: 'read', response });
      }
      return outcome;
    };
    await read('read');
    expect(ran).toEqual(['read']);
  });

  it('is sent statements again once its link was replaced', async () => {
    const { ran, replaceLink, write } = createPair(estimate);
    await write('first');
    replaceLink();
    await write('second');
    expect(ran).toEqual(['first', 'second']);
  });
});

describe('without the control', () => {
  it('a holder states no load, and an instance refuses nothing on its behalf', async () => {
    const stating = createPair({ milliseconds: 100, isTeamOnly: false }, { isEnabled: false });
    await stating.write('first');
    await stating.write('second');
    expect(stating.ran).toEqual(['first', 'second']);
    const silent = createPair(undefined);
    await silent.write('first');
    expect(silent.responses.map(({ load }) => load)).toEqual([undefined]);
  });
});
