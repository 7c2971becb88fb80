/** @public */
export interface RetryBudgetOptions {
  /** Retries allowed for each first try, for example 0.1. */
  share: number;
  /** Retries that a quiet instance may always make; refilled over ten seconds. */
  minimumTokens: number;
}

/** @public */
export interface RetryBudget {
  recordFirstTry: (now: number) => void;
  /** Spends one retry, or returns false where the budget is spent. */
  tryRetry: (now: number) => boolean;
}

/** Time in which an empty budget refills to its minimum without traffic. */
const REFILL_MILLISECONDS = 10_000;
/** First tries whose share may be saved up. */
const REMEMBERED_FIRST_TRIES = 1_000;

/**
 * Creates a budget that keeps retries to a share of the first tries.
 *
 * It guards against retry storms: in an outage every request fails, each failure asks for a retry,
 * and the load on what still works multiplies. The retries spend tokens which only first tries (and
 * a slow refill for quiet instances) earn, so the load grows by `share` at most.
 *
 * @public
 */
export function createRetryBudget({ share, minimumTokens }: RetryBudgetOptions): RetryBudget {
  const maximumTokens = minimumTokens + share * REMEMBERED_FIRST_TRIES;
  let tokens = minimumTokens;
  let refilledAt: number | undefined;

  const refill = (now: number) => {
    const elapsed = now - (refilledAt ?? now);
    refilledAt = now;
    if (tokens >= minimumTokens) return;
    tokens = Math.min(minimumTokens, tokens + (elapsed * minimumTokens) / REFILL_MILLISECONDS);
  };

  return {
    recordFirstTry: (now) => {
      refill(now);
      tokens = Math.min(maximumTokens, tokens + share);
    },
    tryRetry: (now) => {
      refill(now);
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
