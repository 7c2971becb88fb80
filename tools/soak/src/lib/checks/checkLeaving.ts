import type { StatementRun } from '@wisterialift/stand-in-line-platform';
import type { Violation } from '../load/history';
import type { World } from '../world/startWorld';

/** Time after which a member that leaves gets no new statement; the settings' default. */
const BOUND_MILLISECONDS = 7_000;

/**
 * Holds what databases ran against the times at which they left.
 *
 * @param stall - longest time by which the databases' own process was late, in milliseconds.
 */
export function checkLeaving({ databases, leavings }: World, stall: number): Violation[] {
  return leavings().flatMap(({ memberId, from, until }) => {
    const runs = databases.find(({ member }) => member.id === memberId)!.runs();
    const late = firstOfTransactions(runs).filter(
      ({ at }) => at > from + BOUND_MILLISECONDS + stall && at < until,
    );
    return late.map(({ id, at }) => ({
      promise: 'a member that leaves gets nothing new past its bound',
      detail: `${id} reached ${memberId} after ${Math.round(at - from)} ms`,
    }));
  });
}

/** An open transaction goes on, so only its first statement counts. */
function firstOfTransactions(runs: readonly StatementRun[]): StatementRun[] {
  const begun = new Set<number>();
  return runs.filter(({ transaction }) => {
    if (transaction === undefined) return true;
    const isFirst = !begun.has(transaction);
    begun.add(transaction);
    return isFirst;
  });
}
