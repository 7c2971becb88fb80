import type { ConnectionOwner } from './connectionOwnership';
import type { OwnerUsage } from './ownerUsage';

interface OwnedConnection {
  owner: ConnectionOwner;
}

/**
 * Chooses which idle connection is closed for another team's, or because too many are idle. Needed
 * where teams outnumber connections: by least recent use, the connection of a frequent team is often
 * closed for a team that sends one statement.
 *
 * Closes the connection with the fewest expected uses. An owner's further connections are used only
 * while all others of the owner are in use, whose probability follows from the mean number in use if
 * statements arrive independently.
 *
 * @param idle - candidates, the least recently used first; among equals, the first is chosen.
 * @param others - connections that are not candidates: those in use, and idle ones to be kept.
 * @returns undefined if none is idle.
 * @public
 */
export function chooseConnectionToClose<Connection extends OwnedConnection>(
  idle: readonly Connection[],
  options: {
    others: readonly OwnedConnection[];
    usage: Pick<OwnerUsage, 'getRate' | 'getLoad'>;
    now: number;
  },
): Connection | undefined {
  const { others, usage, now } = options;
  const counts = new Map<ConnectionOwner, number>();
  for (const { owner } of [...others, ...idle]) counts.set(owner, (counts.get(owner) ?? 0) + 1);
  let chosen: Connection | undefined;
  let lowestValue = Infinity;
  for (const connection of idle) {
    const { owner } = connection;
    const further = counts.get(owner)! - 1;
    const value = usage.getRate(owner, now) * computeTail(usage.getLoad(owner, now), further);
    if (value < lowestValue) {
      chosen = connection;
      lowestValue = value;
    }
  }
  return chosen;
}

/** Returns the probability that a Poisson variable of this mean is at least `minimum`. */
function computeTail(mean: number, minimum: number): number {
  let probability = Math.exp(-mean);
  let tail = 1;
  for (let count = 0; count < minimum; count += 1) {
    tail -= probability;
    probability *= mean / (count + 1);
  }
  return Math.max(0, tail);
}
