import { describe, expect, it } from 'vitest';
import { explainRequest, readLogLines, renderExplanation } from '../index';

const START = Date.parse('2026-05-08T10:00:00.000Z');

/** A log line of an instance, `at` milliseconds after `START`. */
function line(at: number, instance: string, event: string, fields: object = {}): string {
  const time = new Date(START + at).toISOString();
  const value = { name: 'wisterialift', instance, pid: 1, level: 30, event, ...fields, time, v: 0 };
  return JSON.stringify(value);
}

const refused = {
  group: 'archivio-1',
  requestId: 'r1',
  reason: 'busy',
  detail: 'no primary can take the write, come back in 300 ms',
  waitedMilliseconds: 800,
};

const LOG = [
  line(-60_000, 'front-1', 'configurationAdopted', { version: 3 }),
  line(-50_000, 'front-1', 'configurationAdopted', { version: 7 }),
  line(-40_000, 'front-2', 'configurationAdopted', { version: 7 }),
  line(7_500, 'front-2', 'primarySuspected', { group: 'archivio-1', cause: 'silent' }),
  line(8_100, 'front-1', 'storeLost', {
    kind: 'config',
    error: { message: 'no answer', stack: 's' },
  }),
  line(8_200, 'front-2', 'storeLost', { kind: 'config' }),
  line(8_300, 'front-1', 'statementRefused', { ...refused, requestId: 'r2' }),
  line(8_400, 'front-1', 'memberMissing', { group: 'archivio-2', memberId: 'i-9' }),
  line(8_500, 'front-1', 'statementRefused', refused),
  line(8_900, 'front-2', 'promotionOrdered', { group: 'archivio-1', memberId: 'i-2', token: 4 }),
  line(60_000, 'front-1', 'memberGone', { group: 'archivio-1', memberId: 'i-1' }),
].join('\n');

describe('the explanation of a request', () => {
  it('contains its own lines, state changes of its group and dependency failures', () => {
    const explained = explainRequest({ lines: readLogLines(LOG), requestId: 'r1' })!;
    expect(renderExplanation(explained)).toMatchSnapshot();
  });

  it('is undefined for a request id that no line contains', () => {
    expect(explainRequest({ lines: readLogLines(LOG), requestId: 'r9' })).toBeUndefined();
  });

  it('keeps the lines of the request and the nearest of the others', () => {
    const many = Array.from({ length: 500 }, (_, index) =>
      line(index * 10, 'front-1', 'memberChanged', { group: 'archivio-1', number: index }),
    );
    const lines = readLogLines(
      [...many, line(4_000, 'front-1', 'statementRefused', refused)].join('\n'),
    );
    const { steps, leftOut } = explainRequest({ lines, requestId: 'r1' })!;
    expect(steps.filter(({ kind }) => kind === 'request')).toHaveLength(1);
    expect(steps.length + leftOut).toBe(501);
    expect(leftOut).toBeGreaterThan(0);
  });
});

describe('lines of a log', () => {
  it('are parsed after the prefix of a log collector, and truncated ones are skipped', () => {
    const text = [
      `  8.1 front-1 ${line(5, 'front-1', 'started')}`,
      'no JSON',
      '{"instance":"x',
    ].join('\n');
    expect(readLogLines(text)).toEqual([
      { instance: 'front-1', event: 'started', at: START + 5, fields: {} },
    ]);
  });
});
