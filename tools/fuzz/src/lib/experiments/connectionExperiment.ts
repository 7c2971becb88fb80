import { createConnectionShare } from '@wisterialift/core';
import { createRandom } from '../simulation/random';

/** @public */
export interface ConnectionFigures {
  /** Highest sum of the shares of the instances that ran at the same time. */
  peakSum: number;
  /** Milliseconds in which the sum was above the limit. */
  millisecondsOverLimit: number;
  /** Mean sum in proportion to the limit. */
  use: number;
}

interface Lifetime {
  name: string;
  from: number;
  until: number;
}

interface Decider {
  update: (live: string[], now: number) => void;
  share: (now: number) => number;
}

const CONNECTION_LIMIT = 30;
const RESERVED = 2;
const INSTANCES = 7;
const MAXIMUM_LAG_MILLISECONDS = 3_000;
const TICK_MILLISECONDS = 100;
const RUN_MILLISECONDS = 300_000;
/** Pause between two replacements of an instance by a new one. */
const REPLACEMENT_MILLISECONDS = 12_000;
/** A replaced instance finishes what it has for this long after the list shows it no more. */
const DRAIN_MILLISECONDS = 2_000;

const deciders = {
  /** Baseline: the limit divided by the length of the present list. */
  equalSplit: (): Decider => {
    let count = 1;
    return {
      update: (live) => {
        count = Math.max(1, live.length);
      },
      share: () => Math.max(1, Math.floor(CONNECTION_LIMIT / count)),
    };
  },
  holdDown: (name: string): Decider => {
    const share = createConnectionShare({
      connectionLimit: CONNECTION_LIMIT,
      reservedConnections: RESERVED,
    });
    return { update: (live, now) => share.update(live, name, now), share: share.compute };
  },
};

/**
 * Replaces instances one after another while each instance sees the list with a lag of its own that
 * changes all the time.
 *
 * @public
 */
export function runConnections(way: keyof typeof deciders, seed: number): ConnectionFigures {
  const random = createRandom(seed);
  const lifetimes = planLifetimes();
  const instances = lifetimes.map((lifetime) => ({
    ...lifetime,
    decider: deciders[way](lifetime.name),
  }));
  let peakSum = 0;
  let millisecondsOverLimit = 0;
  let total = 0;
  let ticks = 0;
  for (let now = 0; now < RUN_MILLISECONDS; now += TICK_MILLISECONDS) {
    const running = instances.filter(
      ({ from, until }) => from <= now && now < until + DRAIN_MILLISECONDS,
    );
    let sum = 0;
    running.forEach(({ decider }) => {
      const seenAt = now - random.between(0, MAXIMUM_LAG_MILLISECONDS);
      decider.update(listAt(lifetimes, seenAt), now);
      sum += decider.share(now);
    });
    peakSum = Math.max(peakSum, sum);
    if (sum > CONNECTION_LIMIT) millisecondsOverLimit += TICK_MILLISECONDS;
    total += sum;
    ticks += 1;
  }
  const use = Math.round((total / ticks / CONNECTION_LIMIT) * 100) / 100;
  return { peakSum, millisecondsOverLimit, use };
}

function planLifetimes(): Lifetime[] {
  const lifetimes: Lifetime[] = [];
  const replacements = Math.floor(RUN_MILLISECONDS / REPLACEMENT_MILLISECONDS);
  for (let index = 0; index < INSTANCES + replacements; index += 1) {
    const startedAs = index - INSTANCES + 1;
    lifetimes.push({
      name: `instance-${index}`,
      from: Math.max(0, startedAs * REPLACEMENT_MILLISECONDS),
      until: (index + 1) * REPLACEMENT_MILLISECONDS,
    });
  }
  return lifetimes;
}

function listAt(lifetimes: Lifetime[], time: number): string[] {
  return lifetimes
    .filter(({ from, until }) => from <= Math.max(0, time) && time < until)
    .map(({ name }) => name);
}
