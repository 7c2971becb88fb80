import type { Random } from './random';
import type { Scheduler } from './scheduler';

/** How a link behaves beyond its usual delay. @public */
export interface LinkFault {
  /** Nothing gets through; what was sent is delivered after the cut or lost. */
  isCut?: boolean;
  extraDelayMilliseconds?: number;
  /** Probability that a packet is lost and sent again later, as TCP does. */
  loss?: number;
}

/** @public */
export interface Network {
  send: (from: string, to: string, deliver: () => void) => void;
  /** Sets a fault on one direction of a link; `undefined` ends it. */
  setFault: (from: string, to: string, fault: LinkFault | undefined) => void;
  /** Loss and delay of every link that has no fault of its own. */
  setWeather: (fault: LinkFault) => void;
  heal: () => void;
}

/** @public */
export interface NetworkOptions {
  scheduler: Scheduler;
  random: Random;
  delayMilliseconds: number;
  jitterMilliseconds: number;
}

const RETRANSMISSION_MILLISECONDS = 200;
/** A packet that waited for a cut to end still arrives with this probability. */
const DELIVERED_AFTER_CUT = 0.5;

/**
 * Creates a network of one-way links whose messages may be late, crossed, or arrive long after the
 * sender has given up.
 *
 * @public
 */
export function createNetwork(options: NetworkOptions): Network {
  const { scheduler, random, delayMilliseconds, jitterMilliseconds } = options;
  const faults = new Map<string, LinkFault>();
  const parked = new Map<string, (() => void)[]>();
  let weather: LinkFault = {};

  const delayOf = ({ extraDelayMilliseconds = 0, loss = 0 }: LinkFault): number => {
    let delay = delayMilliseconds + random.next() * (jitterMilliseconds + extraDelayMilliseconds);
    while (random.chance(loss)) delay += RETRANSMISSION_MILLISECONDS;
    return delay;
  };

  const release = (link: string) => {
    const waiting = parked.get(link) ?? [];
    parked.delete(link);
    waiting.forEach((deliver) => {
      if (random.chance(DELIVERED_AFTER_CUT)) scheduler.after(delayOf({}), deliver);
    });
  };

  const setFault = (from: string, to: string, fault: LinkFault | undefined) => {
    const link = linkOf(from, to);
    if (fault) faults.set(link, fault);
    else faults.delete(link);
    if (!fault?.isCut) release(link);
  };

  return {
    send: (from, to, deliver) => {
      const link = linkOf(from, to);
      const fault = faults.get(link) ?? weather;
      if (!fault.isCut) {
        scheduler.after(delayOf(fault), deliver);
        return;
      }
      parked.set(link, [...(parked.get(link) ?? []), deliver]);
    },
    setFault,
    setWeather: (fault) => {
      weather = fault;
    },
    heal: () => {
      weather = {};
      faults.clear();
      [...parked.keys()].forEach(release);
    },
  };
}

function linkOf(from: string, to: string): string {
  return `${from}>${to}`;
}
