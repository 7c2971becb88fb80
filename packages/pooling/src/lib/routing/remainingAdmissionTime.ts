import { computeAgeUpperBound } from '../timing/clockReadings';
import type { ClockReadings } from '../timing/clockReadings';

/** Covers delivery of a statement to the member, including one retransmission. */
const DELIVERY_MARGIN_MILLISECONDS = 500;

/**
 * Milliseconds for which new statements may still be sent to a leaving member; zero or less if they
 * may not.
 *
 * @param options.leavingSince - clock readings taken no later than when the member started leaving.
 * @param options.admissionPeriod - milliseconds after which no new statement may reach a leaving member.
 * @public
 */
export function computeRemainingAdmissionTime({
  leavingSince,
  admissionPeriod,
  now,
}: {
  leavingSince: ClockReadings;
  admissionPeriod: number;
  now: ClockReadings;
}): number {
  return admissionPeriod - DELIVERY_MARGIN_MILLISECONDS - computeAgeUpperBound(leavingSince, now);
}
