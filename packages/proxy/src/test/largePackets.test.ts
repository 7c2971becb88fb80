import { expect, it } from 'vitest';
import { startScriptedDatabase } from './scriptedDatabase';
import { startStatementPath } from './statementsFixture';

/** Payload of the largest frame; the payload of a command has one byte before its text. */
const FRAME_BYTES = 2 ** 24 - 1;

const LIMIT = 40_000_000;

it.each([FRAME_BYTES - 9, FRAME_BYTES - 1, FRAME_BYTES, 2 * FRAME_BYTES])(
  'a write of %i bytes runs once and is answered in order',
  async (bytes) => {
    // Guards against a statement of several frames whose answer is taken for one out of order.
    const lengths: number[] = [];
    const { port } = await startScriptedDatabase(
      ({ connection }, sql) => {
        lengths.push(sql.length);
        connection.finishOk({});
      },
      { maximumPacketBytes: LIMIT },
    );
    const { connect } = await startStatementPath({
      scriptedPort: port,
      limits: { maximumPacketBytes: LIMIT },
    });
    const caller = await connect();
    const warnings: unknown[] = [];
    // The driver checks the sequence numbers.
    Reflect.get(caller, 'connection').on('warn', (warning: unknown) => warnings.push(warning));
    await caller.query('DO 1 '.padEnd(bytes));
    await caller.query('SET autocommit = 1'.padEnd(bytes));
    expect({ lengths, warnings }).toEqual({ lengths: [bytes], warnings: [] });
  },
);
