import type { ServiceLevel } from '@wisterialift/schema';
import { describe, expect, it } from 'vitest';
import {
  createBurnCounters,
  createBurnReport,
  createLogger,
  renderBurnPage,
  renderBurnText,
} from '../index';

const LEVEL: ServiceLevel = {
  name: 'history-reads',
  group: 'archivio-luci-1',
  kind: 'history',
  objective: 0.99,
  latencyMilliseconds: 100,
};
const NOON = Date.parse('2026-12-01T12:00:00Z');
const MINUTE_MILLISECONDS = 60_000;

/** Counts `good` and `bad` requests once a minute, from `minutes` before noon to noon inclusive. */
function countRequests(options: { minutes: number; good: number; bad: number }) {
  const counters = createBurnCounters();
  counters.setServiceLevels([LEVEL]);
  const record = (isSuccessful: boolean, at: number) =>
    counters.record(
      { group: LEVEL.group, kind: LEVEL.kind, isSuccessful, latencyMilliseconds: 5 },
      at,
    );
  for (let minute = options.minutes; minute >= 0; minute -= 1) {
    const at = NOON - minute * MINUTE_MILLISECONDS;
    for (let count = 0; count < options.good; count += 1) record(true, at);
    for (let count = 0; count < options.bad; count += 1) record(false, at);
  }
  return { instance: 'entry-1', series: counters.series(NOON) };
}

describe('the burn report', () => {
  it('pages when the hour and the last five minutes burn fast', () => {
    const burns = [countRequests({ minutes: 90, good: 8, bad: 2 })];
    const report = createBurnReport({ burns, missingInstances: ['entry-2'], now: NOON });
    expect(report.levels[0]?.alarm).toBe('page');
    expect(renderBurnText(report)).toMatchSnapshot();
    expect(renderBurnPage(report)).toMatchSnapshot();
  });

  it('sums the counts of the instances', () => {
    const burns = [
      countRequests({ minutes: 4, good: 9, bad: 1 }),
      countRequests({ minutes: 4, good: 10, bad: 0 }),
    ];
    const report = createBurnReport({ burns, missingInstances: [], now: NOON });
    expect(report.levels[0]?.windows[0]).toEqual({
      minutes: 5,
      good: 95,
      bad: 5,
      rate: expect.closeTo(5, 9) as number,
    });
  });

  it('counts a slow answer as bad and keeps the counts of an unchanged level', () => {
    const counters = createBurnCounters();
    counters.setServiceLevels([LEVEL]);
    const request = { group: LEVEL.group, kind: LEVEL.kind, isSuccessful: true };
    counters.record({ ...request, latencyMilliseconds: 101 }, NOON);
    counters.setServiceLevels([{ ...LEVEL, name: 'other' }, { ...LEVEL }]);
    expect(counters.series(NOON).map(({ buckets }) => buckets[0])).toEqual([
      undefined,
      { bucket: NOON / 10_000, good: 0, bad: 1 },
    ]);
  });
});

describe('the logger', () => {
  it('writes one event name a line', () => {
    const lines: string[] = [];
    const stream = { write: (line: string) => lines.push(line) };
    const logger = createLogger({
      instance: 'entry-1',
      level: 'info',
      stream: stream as unknown as NodeJS.WritableStream,
    });
    logger.debug('hidden');
    logger.info('primaryPromoted', { group: 'archivio-luci-1', term: 4 });
    expect(lines.map((line) => JSON.parse(line) as object)).toEqual([
      expect.objectContaining({ event: 'primaryPromoted', group: 'archivio-luci-1', term: 4 }),
    ]);
  });
});
