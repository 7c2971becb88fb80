import { isAtMost } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';

/** Position that a read requires, and when the primary was observed there. @public */
export interface RequiredPosition {
  position: Position;
  /** Milliseconds of the monotonic clock. */
  seenAt: number;
}

/** Estimated replication lag of one replica. @public */
export interface LagEstimate {
  /** Records an applied position and its lag behind the primary, in milliseconds. */
  observe: (observation: { applied: Position; lag: number; now: number }) => void;
  /**
   * Milliseconds until the replica is expected to have applied `required`; 0 if it has applied it
   * or was never observed.
   */
  estimateTimeUntilApplied: (required: RequiredPosition | undefined, now: number) => number;
  /** Whether the estimate has expired and no probe is in flight. */
  canTryRead: (now: number) => boolean;
  beginTrialRead: () => void;
  endTrialRead: () => void;
  /** Last observed lag and its age in milliseconds, for log output. */
  getLastObservation: (now: number) => { lag: number; age: number | undefined };
}

/** Time after which a lag estimate expires, in milliseconds. */
const ESTIMATE_VALID_MILLISECONDS = 400;

/**
 * Tracks the replication lag of a replica.
 *
 * A lagging replica receives no reads that would update its estimate, and reads were refused for
 * seconds while replicas that were current again had nothing to do. So once the estimate
 * expires, one read at a time is sent as a probe. The replica checks the position itself and never returns outdated data.
 *
 * @public
 */
export function createLagEstimate(): LagEstimate {
  let applied: Position | undefined;
  let lag = 0;
  let observedAt: number | undefined;
  let isProbeInFlight = false;

  return {
    observe: (observation) => {
      ({ applied, lag } = observation);
      observedAt = observation.now;
    },
    estimateTimeUntilApplied: (required, now) => {
      if (!required || !applied || isAtMost(required.position, applied)) return 0;
      return Math.max(0, required.seenAt + lag - now);
    },
    canTryRead: (now) =>
      !isProbeInFlight &&
      observedAt !== undefined &&
      now - observedAt > ESTIMATE_VALID_MILLISECONDS,
    beginTrialRead: () => {
      isProbeInFlight = true;
    },
    endTrialRead: () => {
      isProbeInFlight = false;
    },
    getLastObservation: (now) => ({
      lag,
      age: observedAt === undefined ? undefined : now - observedAt,
    }),
  };
}
