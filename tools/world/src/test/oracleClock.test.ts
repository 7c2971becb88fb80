import { createRandom, createScheduler } from '@wisterialift/fuzz';
import { describe, expect, it } from 'vitest';
import { readExperiment } from '../index';
import type { CallerConnection } from '../lib/callers/callerConnection';
import { runAttempt } from '../lib/callers/operation';
import type { Operation } from '../lib/callers/operation';
import { createOracle } from '../lib/callers/oracle';
import { createReplicatedLog } from '../lib/databases/replicatedLog';
import { createSimulatedClock } from '../lib/simulation/simulatedClock';

const GROUP = 'group-1';

/** By how much the clock of the load is behind that of the world. */
const LEAD_MILLISECONDS = 3_000;

const { kinds } = readExperiment('experiments/calm.toml');
const kind = kinds.find(({ consistency }) => consistency === 'primary')!;

describe('a read that is sent right after a commit was acknowledged', () => {
  it.each([0, 2])('is held to that commit (%i statements in a transaction)', async (length) => {
    // Guards against times of reads and of commits by two clocks.
    const scheduler = createScheduler();
    const random = createRandom(1);
    const memberIds = ['db-1', 'db-2'];
    const replication = createReplicatedLog({
      memberIds,
      lag: 20,
      promoteTime: 300,
      scheduler,
      random,
    });
    const oracle = createOracle(scheduler, new Map([[GROUP, replication]]));
    scheduler.runUntil(LEAD_MILLISECONDS);
    oracle.noteSent(GROUP, 'w1');
    replication.commit(replication.members.get('db-1')!, ['w1']);
    oracle.noteWriteEnd({ group: GROUP, id: 'w1', session: {}, end: { type: 'served' } });
    scheduler.runUntil(LEAD_MILLISECONDS + 1);
    const worldClock = createSimulatedClock(scheduler, () => true);
    const connection = {
      run: () => Promise.resolve({ outcome: 'completed', rows: ['1.1'] }),
      isOpen: () => true,
    } as unknown as CallerConnection;
    const operation: Operation = {
      id: 'q1',
      kind,
      group: GROUP,
      team: undefined,
      isWrite: false,
      transactionLength: length,
      isReadOnly: true,
    };
    await runAttempt({
      operation,
      attempt: 0,
      connection,
      clock: {
        ...worldClock,
        now: () => worldClock.now() - LEAD_MILLISECONDS,
        sleep: () => Promise.resolve(),
      },
      random,
      oracle,
      deadlineAt: Infinity,
      onPause: () => undefined,
    });
    const promises = new Set(oracle.broken().map(({ promise }) => promise));
    expect([...promises]).toEqual(['stale']);
  });
});
