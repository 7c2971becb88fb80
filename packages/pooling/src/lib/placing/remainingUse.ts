import { longestAge } from '../timing/clockReadings';
import type { ClockReadings } from '../timing/clockReadings';

/** Kept from the bound for the way to the member, with one lost packet that is sent again. */
const WAY_MILLISECONDS = 500;

/**
 * Milliseconds in which new statements may still be sent to a member that leaves; negative once they
 * may not.
 *
 * @param options.leavingSince - it has been leaving since then or later.
 * @param options.bound - time after which no new statement may reach a member that leaves.
 * @public
 */
export function remainingUse({
  leavingSince,
  bound,
  present,
}: {
  leavingSince: ClockReadings;
  bound: number;
  present: ClockReadings;
}): number {
  return bound - WAY_MILLISECONDS - longestAge(leavingSince, present);
}
