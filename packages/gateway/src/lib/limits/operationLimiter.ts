import type { RateLimit } from '@wisterialift/core';
import { createTeamLimiter } from './teamLimiter';
import type { LimitCounters, PermitResult, TeamLimiter, TeamLimiterOptions } from './teamLimiter';

/** Requests a permit for one operation of a team. */
export type RequestPermit = (team: string) => Promise<PermitResult>;

/**
 * Limits the operations of this instance's callers to the permits that allocators grant.
 *
 * An operation is a statement outside a transaction or a whole transaction; it needs one permit, however
 * often its statements are retried, hedged or relayed within the system.
 */
export interface OperationLimiter {
  requestPermit: RequestPermit;
  /** Discards permits whose age is unknown, after the process was suspended. */
  clear: () => void;
  /** Operations admitted and refused, by team. */
  getCounters: () => ReadonlyMap<string, LimitCounters>;
}

export interface OperationLimiterOptions extends Omit<TeamLimiterOptions, 'team'> {
  /** Limit of a team in the active configuration; undefined if it has none. */
  findLimit: (team: string) => RateLimit | undefined;
}

export function createOperationLimiter(options: OperationLimiterOptions): OperationLimiter {
  const { findLimit } = options;
  const limiters = new Map<string, TeamLimiter>();

  function getLimiter(team: string): TeamLimiter {
    const known = limiters.get(team);
    if (known) return known;
    const limiter = createTeamLimiter({ ...options, team });
    limiters.set(team, limiter);
    return limiter;
  }

  return {
    requestPermit: async (team) => {
      const limit = findLimit(team);
      return limit ? getLimiter(team).requestPermit(limit) : { type: 'granted' };
    },
    clear: () => {
      for (const limiter of limiters.values()) limiter.clear();
    },
    getCounters: () => new Map([...limiters].map(([team, { counters }]) => [team, counters])),
  };
}
