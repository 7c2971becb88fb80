import { classifyStatement } from '@wisterialift/core';
import { describe, expect, it } from 'vitest';
import {
  TruncatedExecuteError,
  createPreparedStatements,
  toUpstreamExecute,
} from '../lib/statements/caller/preparedStatements';

const SQL = 'SELECT ?, ?';
const PREPARABLE = { sqlBytes: SQL, statement: classifyStatement(SQL) };

const LONG = [8, 0];
const STRING = [0xfd, 0];

/** Creates an execute command with two parameters; without `types`, the types-follow flag is 0. */
function createExecuteCommand(types: number[], values: number[]): Buffer {
  const head = [0x17, 9, 0, 0, 0, 0, 1, 0, 0, 0, 0];
  return Buffer.from([...head, types.length > 0 ? 1 : 0, ...types, ...values]);
}

describe('an upstream execute command', () => {
  // Drivers send parameter types only with the first execute. Without them, another connection would
  // misread the values of the second one.
  it('always includes the parameter types', () => {
    const prepared = createPreparedStatements().add(PREPARABLE, 2);
    const first = createExecuteCommand([...LONG, ...STRING], [1]);
    expect(toUpstreamExecute(prepared, first).payload).toEqual(first);
    const second = toUpstreamExecute(prepared, createExecuteCommand([], [2])).payload;
    expect(second).toEqual(createExecuteCommand([...LONG, ...STRING], [2]));
  });

  it('is rejected if it is too short for its parameters', () => {
    const prepared = createPreparedStatements().add(PREPARABLE, 2);
    const complete = createExecuteCommand([...LONG, ...STRING], []);
    for (let length = 5; length < complete.length; length += 1) {
      expect(() => toUpstreamExecute(prepared, complete.subarray(0, length))).toThrow(
        TruncatedExecuteError,
      );
    }
    expect(() => toUpstreamExecute(prepared, createExecuteCommand([], [1]))).toThrow(
      TruncatedExecuteError,
    );
  });

  it('includes long values only once', () => {
    const prepared = createPreparedStatements().add(PREPARABLE, 2);
    const command = createExecuteCommand([...LONG, ...STRING], [1]);
    prepared.longData.push(Buffer.from('long'));
    expect(toUpstreamExecute(prepared, command).longData).toEqual([Buffer.from('long')]);
    expect(toUpstreamExecute(prepared, command).longData).toEqual([]);
  });
});
