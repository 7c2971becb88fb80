import { Writable } from 'node:stream';
import { expect, it } from 'vitest';
import { createLogger } from '../index';

it('an event is one line, whatever its texts hold', () => {
  // Guards against a caller that writes lines into the log.
  const written: string[] = [];
  const stream = new Writable({
    write: (chunk, _encoding, onWritten) => {
      written.push(String(chunk));
      onWritten();
    },
  });
  const requestId = 'q1\r\n{"event":"primaryPromoted"}\u2028%s\ud800"\\\0';
  const error = new Error(requestId);
  createLogger({ instance: 'entry-1', level: 'info', stream }).info('refused', {
    requestId,
    error,
  });
  expect(written.join('').split(/\r|\n/)).toHaveLength(2);
  expect(JSON.parse(written.join(''))).toMatchObject({ event: 'refused', requestId });
});
