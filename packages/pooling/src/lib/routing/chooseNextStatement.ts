/** A statement queued for a member. @public */
export interface QueuedStatement {
  /** Lower numbers run first, unlike `RequestKind.priority`. */
  priority: number;
  /** Milliseconds of the monotonic clock. */
  arrivedAt: number;
}

/** Chooses the statement with the highest priority, and among equals the oldest. @public */
export function chooseNextStatement<Statement extends QueuedStatement>(
  waiting: readonly Statement[],
): Statement | undefined {
  let best: Statement | undefined;
  for (const statement of waiting) {
    if (!best || isOrderedBefore(statement, best)) best = statement;
  }
  return best;
}

function isOrderedBefore(left: QueuedStatement, right: QueuedStatement): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  return left.arrivedAt < right.arrivedAt;
}
