/** When replicas are polled for the evidence that a waiting statement needs. @public */
export interface EvidencePollPlan {
  /** Milliseconds to wait for evidence from other answers before the first poll. */
  firstDelay: number;
  /** Milliseconds between the answer to a poll and the next poll, by the number of polls so far. */
  getInterval: (polls: number) => number;
}

/** Statements of the longest operation, which run one after the other. */
const LONGEST_OPERATION_STATEMENTS = 12;

/** Time of one statement between data centres, without any wait for evidence. */
const STATEMENT_MILLISECONDS = 30;

/**
 * A transaction waits for evidence twice, at its beginning and at its commit. The waits may use half of
 * what the statements leave of the goal, the time of a poll included.
 */
const SLACK_SHARE = 0.25;

/** Statements that arrive within this time share one poll. */
const MINIMUM_DELAY_MILLISECONDS = 10;

/** Regular reads usually provide evidence sooner than this. */
const MAXIMUM_DELAY_MILLISECONDS = 300;

/** Polls that follow closely, because a replica usually applies a commit within tens of milliseconds. */
const CLOSE_POLLS = 4;
const CLOSE_INTERVAL_MILLISECONDS = 30;

/** Interval while a replica is far behind, when closer polls would only load it. */
const WIDE_INTERVAL_MILLISECONDS = 150;

/**
 * Plans polls by the time that the route's goal leaves after the statements of an operation.
 *
 * Intended for short transactions with a tight goal at instances that see few reads: these waited
 * a fifth of their goal before the first poll, twice in each transaction, and were late on calm days.
 *
 * @param options.goal - latency goal of the route, in milliseconds.
 * @public
 */
export function planEvidencePolls({ goal }: { goal: number }): EvidencePollPlan {
  const slack = goal - LONGEST_OPERATION_STATEMENTS * STATEMENT_MILLISECONDS;
  const firstDelay = Math.min(
    MAXIMUM_DELAY_MILLISECONDS,
    Math.max(MINIMUM_DELAY_MILLISECONDS, slack * SLACK_SHARE),
  );
  const hasTightGoal = firstDelay < WIDE_INTERVAL_MILLISECONDS;
  return {
    firstDelay,
    getInterval: (polls) =>
      hasTightGoal && polls < CLOSE_POLLS
        ? CLOSE_INTERVAL_MILLISECONDS
        : WIDE_INTERVAL_MILLISECONDS,
  };
}
