/** Waits for admission to the members of a group, of one team or one priority. */
export interface WaitCounters {
  /** Statements that wait now. */
  waiting: number;
  /** Statements that were admitted after a wait. */
  admitted: number;
  /** Sum of the waits of admitted statements, in milliseconds. */
  waitedMilliseconds: number;
  /** Longest wait of a statement admitted in the current or the preceding minute. */
  longestWaitMilliseconds: number;
  /** Statements refused on arrival or at their deadline. */
  refused: number;
  /** Waiting statements that were refused in favour of a new one. */
  displaced: number;
}

/** How the wait of a statement ended; `notYet` statements ask again or elsewhere. */
export type WaitEnd = 'admitted' | 'refused' | 'displaced' | 'notYet';

interface Described {
  priority: number;
  team?: string;
}

/** Waits for admission to the members of one group, by team and by priority. */
export interface WaitStatistics {
  recordStart: (statement: Described) => void;
  /** @param waited - in milliseconds. */
  recordEnd: (statement: Described, end: WaitEnd, waited: number) => void;
  /** Records a statement that was refused on arrival. */
  recordRefusal: (statement: Described) => void;
  /** Counters by team; the empty name stands for callers without a team. */
  getTeams: () => Map<string, WaitCounters>;
  getPriorities: () => Map<number, WaitCounters>;
}

/** A scrape interval of Prometheus is shorter, so that no longest wait is missed. */
const LONGEST_WAIT_WINDOW_MILLISECONDS = 60_000;

interface CounterState extends Omit<WaitCounters, 'longestWaitMilliseconds'> {
  window: number;
  longest: number;
  longestBefore: number;
}

export function createWaitStatistics(clock: { now: () => number }): WaitStatistics {
  const teams = new Map<string, CounterState>();
  const priorities = new Map<number, CounterState>();

  const getWindow = () => Math.floor(clock.now() / LONGEST_WAIT_WINDOW_MILLISECONDS);

  function find<Key>(states: Map<Key, CounterState>, key: Key): CounterState {
    const state = states.get(key) ?? createCounterState(getWindow());
    states.set(key, state);
    return state;
  }

  function update(
    { team = '', priority }: Described,
    change: (state: CounterState) => Partial<CounterState>,
  ): void {
    for (const state of [find(teams, team), find(priorities, priority)]) {
      Object.assign(state, change(state));
    }
  }

  function recordEnd(statement: Described, end: WaitEnd, waited: number): void {
    const window = getWindow();
    update(statement, (state) => ({
      waiting: state.waiting - 1,
      ...(end === 'admitted' && {
        ...addLongest(state, window, waited),
        waitedMilliseconds: state.waitedMilliseconds + waited,
      }),
      ...(end !== 'notYet' && { [end]: state[end] + 1 }),
    }));
  }

  function read<Key>(states: Map<Key, CounterState>): Map<Key, WaitCounters> {
    const window = getWindow();
    return new Map([...states].map(([key, state]) => [key, describe(state, window)]));
  }

  return {
    recordStart: (statement) => update(statement, ({ waiting }) => ({ waiting: waiting + 1 })),
    recordEnd,
    recordRefusal: (statement) => update(statement, ({ refused }) => ({ refused: refused + 1 })),
    getTeams: () => read(teams),
    getPriorities: () => read(priorities),
  };
}

/** Adds counters of the same kind; of the longest waits, the longer one counts. */
export function addWaitCounters(left: WaitCounters, right: WaitCounters): WaitCounters {
  return {
    waiting: left.waiting + right.waiting,
    admitted: left.admitted + right.admitted,
    waitedMilliseconds: left.waitedMilliseconds + right.waitedMilliseconds,
    longestWaitMilliseconds: Math.max(left.longestWaitMilliseconds, right.longestWaitMilliseconds),
    refused: left.refused + right.refused,
    displaced: left.displaced + right.displaced,
  };
}

function createCounterState(window: number): CounterState {
  return {
    waiting: 0,
    admitted: 0,
    waitedMilliseconds: 0,
    refused: 0,
    displaced: 0,
    window,
    longest: 0,
    longestBefore: 0,
  };
}

function addLongest(state: CounterState, window: number, waited: number): Partial<CounterState> {
  if (state.window === window) return { longest: Math.max(state.longest, waited) };
  return { window, longest: waited, longestBefore: readLongest(state, window) };
}

/** Longest wait of the window before `window`, and of `window` itself if it is the current one. */
function readLongest(state: CounterState, window: number): number {
  if (state.window === window) return Math.max(state.longest, state.longestBefore);
  return state.window === window - 1 ? state.longest : 0;
}

function describe(state: CounterState, window: number): WaitCounters {
  const { waiting, admitted, waitedMilliseconds, refused, displaced } = state;
  const longestWaitMilliseconds = readLongest(state, window);
  return { waiting, admitted, waitedMilliseconds, longestWaitMilliseconds, refused, displaced };
}
