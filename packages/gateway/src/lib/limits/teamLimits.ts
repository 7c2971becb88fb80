import type { LimitTolerance } from '@wisterialift/core';
import type { ActiveConfiguration } from '../configuration/activeConfiguration';
import type { Clock } from '../ports/clock';
import type { PeerLink } from '../relay/peerLink';
import { settleWithTimeout } from '../timing/promiseTimeout';
import { createAllocatorPlans } from './allocatorPlans';
import type { AllocatorPlans } from './allocatorPlans';
import { createOperationLimiter } from './operationLimiter';
import type { OperationLimiter } from './operationLimiter';
import { createPermitAllocator } from './permitAllocator';
import type { PermitAllocator, PermitGrant } from './permitAllocator';

/** Rate limits of teams, as this instance applies them to its callers and shares them out. */
export interface TeamLimits extends Pick<OperationLimiter, 'requestPermit' | 'getCounters'> {
  /** Grants permits to another instance. */
  grantPermits: PermitAllocator['grant'];
  /** Whether this instance shares out the limit of any team. */
  isAllocator: () => boolean;
  updateInstances: AllocatorPlans['updateInstances'];
  /** Discards permits whose age is unknown, after the process was suspended. */
  clearPermits: () => void;
}

/**
 * Longest wait for an allocator's answer, beyond which the next one is asked: two round trips between
 * data centres and a pause of a busy process.
 */
const ANSWER_TIMEOUT_MILLISECONDS = 200;

export function createTeamLimits(options: {
  instance: string;
  dataCentre: string;
  clock: Clock;
  limitTolerance: LimitTolerance;
  /** Returns a uniform number in [0, 1), used for jitter. */
  random: () => number;
  configuration: ActiveConfiguration;
  /** Returns the link to an instance; undefined if it cannot be reached at present. */
  findLink: (instance: string) => PeerLink | undefined;
}): TeamLimits {
  const { instance, clock, limitTolerance: tolerance, configuration, findLink } = options;
  const plans = createAllocatorPlans(options);
  const findLimit = (team: string) => configuration.get()?.teams?.byName.get(team)?.limit;
  const allocator = createPermitAllocator({
    clock,
    tolerance,
    findLimit,
    countAllocators: plans.countAllocators,
  });

  async function askAllocator(
    name: string,
    request: { team: string; count: number },
  ): Promise<PermitGrant | undefined> {
    if (name === instance) return allocator.grant(request.team, request.count);
    const link = findLink(name);
    if (!link) return undefined;
    const answerBy = clock.now() + ANSWER_TIMEOUT_MILLISECONDS;
    const asked = link.request({ permits: request }, answerBy);
    // The link may still be opening, for longer than the wait.
    const settled = await settleWithTimeout(clock, asked, ANSWER_TIMEOUT_MILLISECONDS);
    if (settled.type !== 'value' || settled.value.type !== 'answered') return undefined;
    return settled.value.response.permits;
  }

  const limiter = createOperationLimiter({
    ...options,
    tolerance,
    findLimit,
    findAllocators: plans.findAllocators,
    askAllocator,
  });

  const listTeams = () => configuration.get()?.teams?.byName.keys() ?? [];

  return {
    requestPermit: limiter.requestPermit,
    getCounters: limiter.getCounters,
    grantPermits: allocator.grant,
    isAllocator: () => plans.isAllocatorOfAny(listTeams()),
    updateInstances: plans.updateInstances,
    clearPermits: limiter.clear,
  };
}
