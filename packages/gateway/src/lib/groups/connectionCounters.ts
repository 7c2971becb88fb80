import type { ConnectionOwner } from '@wisterialift/pooling';

/** Why a statement found no idle connection of its team, so that one was opened. */
const OPEN_CAUSES = [
  /** The team has had no connection here recently. */
  'firstUse',
  /** All connections of the team are in use. */
  'inUse',
  /** The team's connection was closed to open one for another team. */
  'closedForOther',
  /** The team's connection was closed because too many were idle. */
  'closedAsIdle',
  /** The team's connection was lost, or its state was unknown. */
  'closedUnusable',
] as const;

const CLOSE_CAUSES = ['forOther', 'asIdle', 'unusable'] as const;

export type OpenCause = (typeof OPEN_CAUSES)[number];
export type CloseCause = (typeof CLOSE_CAUSES)[number];

/** Connections opened or closed at one member for one cause. */
export interface ConnectionCount {
  event: 'opened' | 'closed';
  cause: OpenCause | CloseCause;
  count: number;
}

/** Counts the connections that a pool opens and closes. */
export interface ConnectionCounters {
  list: () => ConnectionCount[];
  recordOpened: (cause: OpenCause) => void;
  recordClosed: (owner: ConnectionOwner, cause: CloseCause) => void;
  /** Returns why a connection is opened for an owner whose connections, if any, are all in use. */
  findOpenCause: (owner: ConnectionOwner, hasConnections: boolean) => OpenCause;
  /** Forgets when connections of teams were closed long ago. */
  removeOld: () => void;
}

const CAUSE_AFTER_CLOSE: Record<CloseCause, OpenCause> = {
  forOther: 'closedForOther',
  asIdle: 'closedAsIdle',
  unusable: 'closedUnusable',
};

/** Time after which a closed connection no longer explains why another one is opened. */
const CLOSE_MEMORY_MILLISECONDS = 10_000;

export function createConnectionCounters(now: () => number): ConnectionCounters {
  const opened = new Map<OpenCause, number>(OPEN_CAUSES.map((cause) => [cause, 0]));
  const closed = new Map<CloseCause, number>(CLOSE_CAUSES.map((cause) => [cause, 0]));
  const lastClosed = new Map<ConnectionOwner, { cause: CloseCause; at: number }>();

  return {
    list: () => [
      ...[...opened].map(([cause, count]) => ({ event: 'opened' as const, cause, count })),
      ...[...closed].map(([cause, count]) => ({ event: 'closed' as const, cause, count })),
    ],
    recordOpened: (cause) => {
      opened.set(cause, opened.get(cause)! + 1);
    },
    recordClosed: (owner, cause) => {
      closed.set(cause, closed.get(cause)! + 1);
      lastClosed.set(owner, { cause, at: now() });
    },
    findOpenCause: (owner, hasConnections) => {
      if (hasConnections) return 'inUse';
      const last = lastClosed.get(owner);
      return last ? CAUSE_AFTER_CLOSE[last.cause] : 'firstUse';
    },
    removeOld: () => {
      const oldest = now() - CLOSE_MEMORY_MILLISECONDS;
      for (const [owner, { at }] of lastClosed) if (at < oldest) lastClosed.delete(owner);
    },
  };
}
