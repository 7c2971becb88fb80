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
  /** Least delay of one way, the same for all links or by link. */
  delayMilliseconds: number | ((from: string, to: string) => number);
  jitterMilliseconds: number;
  /** Probability that a packet which waited for a cut to end still arrives. */
  deliveredAfterCut?: number;
}

interface Packet {
  from: string;
  to: string;
  deliver: () => void;
}

const RETRANSMISSION_MILLISECONDS = 200;
/** Sent alone, a packet that waited for a cut to end arrives every second time. */
const DELIVERED_AFTER_CUT = 0.5;

/**
 * Creates a network of one-way links whose messages may be late, crossed, or arrive long after the
 * sender has given up.
 *
 * @public
 */
export function createNetwork(options: NetworkOptions): Network {
  const { scheduler, random, delayMilliseconds, jitterMilliseconds } = options;
  const { deliveredAfterCut = DELIVERED_AFTER_CUT } = options;
  const faults = new Map<string, LinkFault>();
  const parked = new Map<string, Packet[]>();
  let weather: LinkFault = {};

  const leastDelay = ({ from, to }: Packet) =>
    typeof delayMilliseconds === 'number' ? delayMilliseconds : delayMilliseconds(from, to);

  const delayOf = (packet: Packet, fault: LinkFault): number => {
    const { extraDelayMilliseconds = 0, loss = 0 } = fault;
    let delay = leastDelay(packet) + random.next() * (jitterMilliseconds + extraDelayMilliseconds);
    while (random.chance(loss)) delay += RETRANSMISSION_MILLISECONDS;
    return delay;
  };

  const release = (link: string) => {
    const waiting = parked.get(link) ?? [];
    parked.delete(link);
    waiting.forEach((packet) => {
      if (random.chance(deliveredAfterCut)) scheduler.after(delayOf(packet, {}), packet.deliver);
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
      const packet = { from, to, deliver };
      if (!fault.isCut) {
        scheduler.after(delayOf(packet, fault), deliver);
        return;
      }
      parked.set(link, [...(parked.get(link) ?? []), packet]);
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
