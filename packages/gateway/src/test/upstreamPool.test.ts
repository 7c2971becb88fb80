import { createSessionState } from '@wisterialift/pooling';
import { describe, expect, it } from 'vitest';
import { createUpstreamPool } from '../lib/groups/upstreamPool';
import { createProcessClock } from '../index';
import { createTestLogger, GROUP, noop } from './fixture';

/** Creates a pool of at most two connections that a holder keeps. */
function createPool(isControlEnabled: boolean) {
  let now = 0;
  const opened: (string | undefined)[] = [];
  const pool = createUpstreamPool({
    driver: {
      connect: async ({ team }) => {
        opened.push(team);
        return {
          run: () => Promise.reject(new Error('no member')),
          isOpen: () => true,
          close: noop,
        };
      },
      readReport: noop,
    },
    clock: { ...createProcessClock(), now: () => now },
    logger: createTestLogger(),
    group: GROUP,
    memberId: 'db-1',
    address: 'db-1:1',
    calculateFairShare: () => 2,
    maximumConnections: 2,
    isHolder: () => true,
    isMechanismEnabled: () => true,
    isLoadControlEnabled: () => isControlEnabled,
    onUnpinned: noop,
    onUnreachable: noop,
  });

  async function use(owner: string): Promise<void> {
    const session = createSessionState();
    const connection = await pool.acquire({ session, owner, priority: 1, deadlineAt: now + 1_000 });
    now += 5;
    pool.release(connection);
  }

  return { pool, opened, use };
}

/** Runs statements of a frequent team between those of two rare ones. */
async function runMixedLoad(isControlEnabled: boolean) {
  const { pool, opened, use } = createPool(isControlEnabled);
  for (const owner of ['busy', 'busy', 'busy', 'rare-1', 'rare-2', 'busy']) await use(owner);
  return { opened, counts: pool.listConnectionCounts().filter(({ count }) => count > 0) };
}

describe('a pool with fewer connections than teams', () => {
  it('keeps the connection of the most frequent team', async () => {
    // Guards against a connection opened for every second statement of 86 teams.
    const { opened, counts } = await runMixedLoad(true);
    expect(opened).toEqual(['busy', 'rare-1', 'rare-2']);
    expect(counts).toEqual([
      { event: 'opened', cause: 'firstUse', count: 3 },
      { event: 'closed', cause: 'forOther', count: 1 },
    ]);
  });

  it('closes the least recently used one as before if the control is disabled', async () => {
    const { opened, counts } = await runMixedLoad(false);
    expect(opened).toEqual(['busy', 'rare-1', 'rare-2', 'busy']);
    expect(counts).toContainEqual({ event: 'opened', cause: 'closedForOther', count: 1 });
  });
});
