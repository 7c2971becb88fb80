import { describe, expect, it } from 'vitest';
import {
  CutExecuteError,
  createPreparedStatements,
  toUpstreamExecute,
} from '../lib/statements/caller/preparedStatements';

const LONG = [8, 0];
const STRING = [0xfd, 0];

/** An execute command with two parameters; `types` are left out where the caller sent them before. */
function executeCommand(types: number[], values: number[]): Buffer {
  const head = [0x17, 9, 0, 0, 0, 0, 1, 0, 0, 0, 0];
  return Buffer.from([...head, types.length > 0 ? 1 : 0, ...types, ...values]);
}

describe('an execute command for any connection', () => {
  // A driver sends the types of the parameters with the first execute alone. The second one runs on a
  // connection that never saw them and would read a number as the length of a text.
  it('has the types of its parameters each time', () => {
    const prepared = createPreparedStatements().add('SELECT ?, ?', 2);
    const first = executeCommand([...LONG, ...STRING], [1]);
    expect(toUpstreamExecute(prepared, first).payload).toEqual(first);
    const second = toUpstreamExecute(prepared, executeCommand([], [2])).payload;
    expect(second).toEqual(executeCommand([...LONG, ...STRING], [2]));
  });

  it('is refused when it is shorter than what describes its parameters', () => {
    const prepared = createPreparedStatements().add('SELECT ?, ?', 2);
    const whole = executeCommand([...LONG, ...STRING], []);
    for (let length = 5; length < whole.length; length += 1) {
      expect(() => toUpstreamExecute(prepared, whole.subarray(0, length))).toThrow(CutExecuteError);
    }
    expect(() => toUpstreamExecute(prepared, executeCommand([], [1]))).toThrow(CutExecuteError);
  });

  it('carries long values once', () => {
    const prepared = createPreparedStatements().add('SELECT ?, ?', 2);
    const command = executeCommand([...LONG, ...STRING], [1]);
    prepared.longData.push(Buffer.from('long'));
    expect(toUpstreamExecute(prepared, command).longData).toEqual([Buffer.from('long')]);
    expect(toUpstreamExecute(prepared, command).longData).toEqual([]);
  });
});
