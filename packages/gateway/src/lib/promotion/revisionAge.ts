import type { Clock } from '../ports/clock';

/** Creates a function that returns for how many milliseconds a record was seen at its revision. */
export function createRevisionAge(clock: Clock): (revision: number) => number {
  let seen: { revision: number; since: number } | undefined;

  return (revision) => {
    if (seen?.revision !== revision) seen = { revision, since: clock.now() };
    return clock.now() - seen.since;
  };
}
