/* eslint-disable no-bitwise -- hashing is arithmetic on bits */
/** Parameters of the 32-bit FNV-1a hash. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Factors of the MurmurHash3 finalizer, which separates the hashes of similar texts. */
const MIX_FACTOR_1 = 0x85ebca6b;
const MIX_FACTOR_2 = 0xc2b2ae35;

/**
 * Orders names by rendezvous hashing. The order depends only on the key, names and weights; adding or
 * removing a name does not change the order of the others.
 *
 * @example
 * orderByRendezvous({ key: 'archivio-1', names: ['p1', 'p2', 'p3'] })[0]; // first in order
 *
 * @public
 */
export function orderByRendezvous(options: {
  key: string;
  names: readonly string[];
  /**
   * Returns the relative share of keys for which a name comes first, by logarithmic rendezvous hashing;
   * 1 by default. Changing a weight moves keys only to or from that name.
   */
  getWeight?: (name: string) => number;
}): string[] {
  const { key, names, getWeight = () => 1 } = options;
  return names
    .map((name) => ({
      name,
      score: getWeight(name) / -Math.log(toUnitInterval(hashText(`${key}\n${name}`))),
    }))
    .sort(compareScores)
    .map(({ name }) => name);
}

interface ScoredName {
  name: string;
  score: number;
}

/** Compares names of equal score alphabetically, so that the order is the same on all instances. */
function compareScores(left: ScoredName, right: ScoredName): number {
  if (left.score !== right.score) return right.score - left.score;
  return left.name < right.name ? -1 : 1;
}

/** Maps a hash to the open interval (0, 1). */
function toUnitInterval(hash: number): number {
  return (hash + 0.5) / 2 ** 32;
}

function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return mixBits(hash);
}

function mixBits(hash: number): number {
  const first = Math.imul(hash ^ (hash >>> 16), MIX_FACTOR_1);
  const second = Math.imul(first ^ (first >>> 13), MIX_FACTOR_2);
  return (second ^ (second >>> 16)) >>> 0;
}
