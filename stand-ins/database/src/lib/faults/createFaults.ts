/** Faults that can be switched at the control port. @public */
export interface FaultSettings {
  /** Time until an entry of the primary reaches the log of this replica. */
  replicationLagMilliseconds: number;
  /** Time between an entry reaching the log and reads showing it. */
  applyLagMilliseconds: number;
  /** No replication in or out; callers and proxies still reach the database. */
  cutFromGroup: boolean;
  /** Accepts connections and statements, answers nothing until thawed. */
  frozen: boolean;
  answerDelayMilliseconds: number;
  /** Answers of writes that are lost: the change is applied, then the connection is cut. */
  loseNextAnswers: number;
  /** The same for the answers of FENCE, PROMOTE and FOLLOW. */
  loseNextGroupAnswers: number;
  refuseConnections: boolean;
  /** Time that a statement keeps its slot. */
  serviceMilliseconds: number;
}

/** The present faults. */
export interface Faults {
  settings: () => Readonly<FaultSettings>;
  change: (changes: Partial<FaultSettings>) => void;
  onChange: (listener: () => void) => void;
  /** Resolves at once unless frozen, else when thawed. */
  whenThawed: () => Promise<void>;
  /** Counts down an answer to lose. */
  takeLostAnswer: (counter: 'loseNextAnswers' | 'loseNextGroupAnswers') => boolean;
}

/** Starts with no fault. */
export function createFaults(initial: Partial<FaultSettings> = {}): Faults {
  const settings: FaultSettings = {
    replicationLagMilliseconds: 0,
    applyLagMilliseconds: 0,
    cutFromGroup: false,
    frozen: false,
    answerDelayMilliseconds: 0,
    loseNextAnswers: 0,
    loseNextGroupAnswers: 0,
    refuseConnections: false,
    serviceMilliseconds: 0,
    ...initial,
  };
  const listeners: (() => void)[] = [];
  let waiting: (() => void)[] = [];

  function waitForChange(): Promise<void> {
    return new Promise((resolve) => {
      waiting.push(resolve);
    });
  }

  return {
    settings: () => settings,
    change: (changes) => {
      Object.assign(settings, changes);
      if (!settings.frozen) {
        const released = waiting;
        waiting = [];
        released.forEach((release) => release());
      }
      listeners.forEach((listener) => listener());
    },
    onChange: (listener) => {
      listeners.push(listener);
    },
    whenThawed: async () => {
      while (settings.frozen) await waitForChange();
    },
    takeLostAnswer: (counter) => {
      if (settings[counter] <= 0) return false;
      settings[counter] -= 1;
      return true;
    },
  };
}
