import { describe, expect, it } from 'vitest';
import { createClockComparison } from '../index';

const LOOK_INTERVAL = 250;

/** Looks at the clocks every 250 ms; before each look, the time of day gains `gains` milliseconds. */
function findDisagreements(gains: number[]): (number | undefined)[] {
  const now = { monotonic: 0, wall: 0 };
  const comparison = createClockComparison({ ...now });
  return gains.map((gain) => {
    now.monotonic += LOOK_INTERVAL;
    now.wall += LOOK_INTERVAL + gain;
    return comparison.findDisagreement({ ...now });
  });
}

describe('the comparison of the clocks', () => {
  it.each([
    ['a suspension', [0, 5_000, 0], [undefined, 5_000, undefined]],
    ['a step of the time of day backwards', [0, -5_000, 0], [undefined, -5_000, undefined]],
    ['short suspensions that add up', [90, 90, 0], [undefined, 177.5, undefined]],
  ])('shows %s once', (_, gains, expected) => {
    // Guards against permits that are used late because no single suspension was noticed.
    expect(findDisagreements(gains)).toEqual(expected);
  });

  it.each([
    ['drift of 1 %', Array.from({ length: 4_000 }, () => 2.5)],
    ['drift of 1 % backwards', Array.from({ length: 4_000 }, () => -2.5)],
    ['a delay between the readings of one look', [90, -90, 0, 90, -90]],
    ['short suspensions that are seconds apart', [90, ...Array.from({ length: 36 }, () => 0), 90]],
  ])('does not take %s for a suspension', (_, gains) => {
    // Guards against reads that are asked for anew while nothing happened.
    expect(findDisagreements(gains).filter((difference) => difference !== undefined)).toEqual([]);
  });
});
