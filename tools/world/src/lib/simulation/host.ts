import type { Network, Random, Scheduler } from '@wisterialift/fuzz';

/** What all parts of a world share. @internal */
export interface Simulation {
  scheduler: Scheduler;
  network: Network;
  random: Random;
}

/** Why a stream ended, as its other end sees it. @internal */
export type CloseReason = 'closed' | 'reset' | 'refused';

/** A machine whose one process starts, ends and loses power. @internal */
export interface Host {
  name: string;
  dataCentre: string;
  isPowered: () => boolean;
  /** Rises with each end of the process; what belongs to a former life is dead. */
  life: () => number;
  /** Called when the present life of the process ends, after which it is forgotten. */
  onEnd: (listener: (end: 'killed' | 'powerLost') => void) => void;
  /** Ends the process; the machine goes on and resets its connections. */
  kill: () => void;
  /** Ends the process and falls silent. */
  losePower: () => void;
  restorePower: () => void;
}

/** Creates a machine that is running. @internal */
export function createHost(name: string, dataCentre: string): Host {
  let listeners: ((end: 'killed' | 'powerLost') => void)[] = [];
  let isPowered = true;
  let life = 1;

  function end(how: 'killed' | 'powerLost'): void {
    const ending = listeners;
    listeners = [];
    life += 1;
    for (const listener of ending) listener(how);
  }

  return {
    name,
    dataCentre,
    isPowered: () => isPowered,
    life: () => life,
    onEnd: (listener) => listeners.push(listener),
    kill: () => end('killed'),
    losePower: () => {
      isPowered = false;
      end('powerLost');
    },
    restorePower: () => {
      isPowered = true;
    },
  };
}
