import { longestAge } from '../timing/clockReadings';
import type { ClockReadings } from '../timing/clockReadings';

/** Covers delivery of a statement to the member, including one retransmission. */
const DELIVERY_MARGIN_MILLISECONDS = 500;

/**
 * Milliseconds for which new statements may still be sent to a leaving member; zero or less if they
 * may not.
 *
 * @param options.leavingSince - clock readings taken no later than when the member started leaving.
 * @param options.bound - milliseconds after which no new statement may reach a leaving member.
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
  return bound - DELIVERY_MARGIN_MILLISECONDS - longestAge(leavingSince, present);
}
