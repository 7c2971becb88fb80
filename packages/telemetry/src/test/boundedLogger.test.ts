import { describe, expect, it } from 'vitest';
import { createBoundedLogger } from '../index';
import type { LogFields, Logger } from '../index';

describe('a bounded logger', () => {
  function createTestLogger() {
    const lines: string[] = [];
    const counts: number[] = [];
    const clock = { now: 0, backlog: 0 };
    const write = (event: string, fields?: LogFields) => {
      lines.push(event);
      if (event === 'logLinesLeftOut') counts.push(Number(fields?.count));
    };
    const logger: Logger = { trace: write, debug: write, info: write, warn: write, error: write };
    const bounded = createBoundedLogger(logger, {
      now: () => clock.now,
      backlogBytes: () => clock.backlog,
    });
    return { bounded, clock, counts, lines };
  }

  it('drops lines above the limit of their level and logs the number of dropped lines', () => {
    const { bounded, clock, counts, lines } = createTestLogger();
    for (let line = 0; line < 150; line += 1) bounded.info('usual');
    for (let line = 0; line < 150; line += 1) bounded.error('failure');
    expect(lines.filter((event) => event === 'usual').length).toBe(100);
    expect(lines.filter((event) => event === 'failure').length).toBe(150);
    clock.now = 1_000;
    bounded.info('later');
    expect(counts).toEqual([50]);
    expect(lines.at(-1)).toBe('later');
  });

  it('writes nothing while the backlog exceeds its limit', () => {
    const { bounded, clock, counts, lines } = createTestLogger();
    clock.backlog = 2_000_000;
    bounded.error('failure');
    expect(lines).toEqual([]);
    clock.backlog = 0;
    clock.now = 1_000;
    bounded.error('failure');
    expect(lines).toEqual(['logLinesLeftOut', 'failure']);
    expect(counts).toEqual([1]);
  });
});
