/* eslint-disable no-bitwise -- hashing is arithmetic on bits */
/** Start and factor of the 32-bit FNV-1a hash. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Factors of the finishing step of MurmurHash3, which spreads similar texts. */
const MIX_FACTOR_1 = 0x85ebca6b;
const MIX_FACTOR_2 = 0xc2b2ae35;

/**
 * Orders names for a key by rendezvous hashing (highest random weight).
 *
 * Every instance that knows the same names finds the same order without a message. An instance that
 * comes or goes moves only the keys that it comes first for.
 *
 * @param options.weightOf - share of the keys that a name should come first for, relative to the
 *   others'; 1 for each without it. Weighted as in logarithmic rendezvous hashing: a weight that
 *   changes moves keys to or from that name only.
 *
 * @example
 * orderByRendezvous({ key: 'archivio-1', names: ['p1', 'p2', 'p3'] })[0]; // who acts first
 *
 * @public
 */
export function orderByRendezvous(options: {
  key: string;
  names: readonly string[];
  weightOf?: (name: string) => number;
}): string[] {
  const { key, names, weightOf = () => 1 } = options;
  return names
    .map((name) => ({
      name,
      weight: weightOf(name) / -Math.log(unitOf(hashText(`${key}\n${name}`))),
    }))
    .sort(compareWeights)
    .map(({ name }) => name);
}

interface WeightedName {
  name: string;
  weight: number;
}

/** Falls back to the name, so that two names of the same weight have one order everywhere. */
function compareWeights(left: WeightedName, right: WeightedName): number {
  if (left.weight !== right.weight) return right.weight - left.weight;
  return left.name < right.name ? -1 : 1;
}

/** Number between 0 and 1, both left out. */
function unitOf(hash: number): number {
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
