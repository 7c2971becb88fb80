/** @public */
export interface RetryBudgetOptions {
  /** Maximum ratio of retries to first attempts, for example 0.1. */
  retryRatio: number;
  /** Retries available without traffic; replenished over ten seconds. */
  minimumTokens: number;
}

/** @public */
export interface RetryBudget {
  recordFirstAttempt: (now: number) => void;
  /** Spends one token; returns false if the budget is exhausted. */
  trySpendRetry: (now: number) => boolean;
}

/** Time in which an empty budget refills to `minimumTokens` without traffic. */
const REFILL_MILLISECONDS = 10_000;
/** Number of first attempts whose tokens can accumulate. */
const MAXIMUM_CREDITED_FIRST_ATTEMPTS = 1_000;

/**
 * Creates a token bucket that limits retries to a ratio of first attempts, which prevents retry storms.
 * Only first attempts and a slow refill earn tokens.
 *
 * @public
 */
export function createRetryBudget({ retryRatio, minimumTokens }: RetryBudgetOptions): RetryBudget {
  const maximumTokens = minimumTokens + retryRatio * MAXIMUM_CREDITED_FIRST_ATTEMPTS;
  let tokens = minimumTokens;
  let refilledAt: number | undefined;

  const refill = (now: number) => {
    const elapsed = now - (refilledAt ?? now);
    refilledAt = now;
    if (tokens >= minimumTokens) return;
    tokens = Math.min(minimumTokens, tokens + (elapsed * minimumTokens) / REFILL_MILLISECONDS);
  };

  return {
    recordFirstAttempt: (now) => {
      refill(now);
      tokens = Math.min(maximumTokens, tokens + retryRatio);
    },
    trySpendRetry: (now) => {
      refill(now);
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
