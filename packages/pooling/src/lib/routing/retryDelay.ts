/** Used if `expectedWait` is not given; most failovers finish within this time. */
const DEFAULT_EXPECTED_WAIT_MILLISECONDS = 300;

const MINIMUM_RETRY_DELAY_MILLISECONDS = 50;
const MAXIMUM_BASE_DELAY_MILLISECONDS = 2_000;

/** Maximum jitter, as a fraction of the delay. */
const JITTER_FRACTION = 0.5;

/**
 * Time after which a refused caller should retry, in milliseconds.
 *
 * The expected wait within fixed limits, plus jitter so that refused callers do not all retry at
 * once and find the same queue again.
 *
 * @public
 */
export function computeRetryDelay({
  expectedWait = DEFAULT_EXPECTED_WAIT_MILLISECONDS,
  jitter,
}: {
  /** Milliseconds until a statement that arrived now would run; undefined if not known. */
  expectedWait?: number;
  /** Random number in [0, 1), drawn for each caller. */
  jitter: number;
}): number {
  const baseDelay = Math.min(
    MAXIMUM_BASE_DELAY_MILLISECONDS,
    Math.max(MINIMUM_RETRY_DELAY_MILLISECONDS, expectedWait),
  );
  return Math.round(baseDelay * (1 + JITTER_FRACTION * jitter));
}
