import type { ClockReadings } from './clockReadings';

/** Notices a suspension or a step of the time of day. @public */
export interface ClockComparison {
  /**
   * Returns by how many milliseconds the clocks have moved apart, if that is more than drift
   * explains; negative if the time of day fell behind.
   */
  findDisagreement: (now: ClockReadings) => number | undefined;
}

/** Difference that drift and delays between two readings do not explain. */
const THRESHOLD_MILLISECONDS = 100;

/** Drift of the clocks against each other that is tolerated; adjusted clocks stay below 0.05 %. */
const TOLERATED_DRIFT = 0.01;

/**
 * Creates a comparison of two clocks with their readings at its start.
 *
 * The reference follows the clocks at the tolerated drift only, so that short suspensions add up. It
 * starts anew after each disagreement.
 *
 * @public
 */
export function createClockComparison(start: ClockReadings): ClockComparison {
  let last = start;
  let referenceOffset = getOffset(start);

  return {
    findDisagreement: (now) => {
      const difference = getOffset(now) - referenceOffset;
      const maximumDrift = (now.monotonic - last.monotonic) * TOLERATED_DRIFT;
      last = now;
      if (Math.abs(difference) >= THRESHOLD_MILLISECONDS) {
        referenceOffset += difference;
        return difference;
      }
      referenceOffset += Math.max(-maximumDrift, Math.min(maximumDrift, difference));
      return undefined;
    },
  };
}

function getOffset({ monotonic, wall }: ClockReadings): number {
  return wall - monotonic;
}
