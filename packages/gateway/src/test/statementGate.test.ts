import { describe, expect, it } from 'vitest';
import { createStatementGate } from '../lib/groups/statementGate';
import type { GateRequest, StatementGate } from '../lib/groups/statementGate';
import { createProcessClock } from '../lib/ports/clock';
import { noop } from './fixture';

const clock = createProcessClock();

/** Creates a gate with a limit of one statement and no free connections. */
function createGateWithoutConnections(): StatementGate {
  return createStatementGate({
    clock,
    limit: 1,
    freeConnections: () => 0,
    expectedTime: () => 10,
    delay: () => 500,
    uses: () => true,
    onWaiting: noop,
  });
}

function createRequest(changes: Partial<GateRequest>): GateRequest {
  const arrivedAt = clock.now();
  return { priority: 1, goal: 500, arrivedAt, deadlineAt: arrivedAt + 400, ...changes };
}

describe('the statement gate', () => {
  const inTransaction = { priority: -1, hasConnection: true };

  it('queues a transaction statement although no connection is free', async () => {
    // Guards against rejecting a statement that already has a connection because of the expected
    // wait for a free one.
    const gate = createGateWithoutConnections();
    const first = createRequest(inTransaction);
    expect(await gate.enter(first)).toBe('admitted');
    const second = gate.enter(createRequest(inTransaction));
    gate.leave(first);
    expect(await second).toBe('admitted');
  });

  it('rejects a statement that needs a connection', async () => {
    const gate = createGateWithoutConnections();
    expect(await gate.enter(createRequest({}))).toBe('tooLate');
  });
});
