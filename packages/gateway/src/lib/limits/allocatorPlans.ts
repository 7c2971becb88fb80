import { createLimitAllocatorPlanner } from '@wisterialift/pooling';
import type { LimitAllocatorPlanner } from '@wisterialift/pooling';
import type { Clock } from '../ports/clock';
import { LIST_SETTLING_MILLISECONDS } from '../ports/instancePort';
import type { InstanceEntry, InstanceListing } from '../ports/instancePort';

/** Which instances share out the limits of the teams, by this instance's list of instances. */
export interface AllocatorPlans {
  updateInstances: (instances: InstanceEntry[], listing: InstanceListing) => void;
  /** Instances to ask for permits, in this order; empty until the instances are known. */
  findAllocators: (team: string) => string[];
  /**
   * Returns the number of instances that share the limit of a team; undefined if this one is not among
   * them, or has been only for so short a time that others may still ask its predecessor.
   */
  countAllocators: (team: string) => number | undefined;
  /** Whether this instance shares out the limit of any of the teams. */
  isAllocatorOfAny: (teams: Iterable<string>) => boolean;
}

/** Plans by a former list of instances. */
interface FormerPlanner {
  planner: LimitAllocatorPlanner;
  replacedAt: number;
}

export function createAllocatorPlans(options: {
  instance: string;
  dataCentre: string;
  clock: Clock;
}): AllocatorPlans {
  const { instance, dataCentre, clock } = options;
  let current: LimitAllocatorPlanner | undefined;
  /** Lists by which other instances may still ask. */
  let former: FormerPlanner[] = [];

  const createPlanner = (candidates: InstanceEntry[]) =>
    createLimitAllocatorPlanner({ candidates, dataCentre });

  const isAllocatorIn = (planner: LimitAllocatorPlanner, team: string) =>
    planner.plan(team).allocators.includes(instance);

  function dropSettledLists(): void {
    const since = clock.now() - LIST_SETTLING_MILLISECONDS;
    former = former.filter(({ replacedAt }) => replacedAt > since);
  }

  function isSettledAllocator(team: string): boolean {
    dropSettledLists();
    return former.every(({ planner }) => isAllocatorIn(planner, team));
  }

  return {
    updateInstances: (instances, { mayOthersLag }) => {
      const others = instances.filter((entry) => entry.instance !== instance);
      const planner = current ?? createPlanner(others);
      dropSettledLists();
      if (mayOthersLag) former.push({ planner, replacedAt: clock.now() });
      current = createPlanner(instances);
    },
    findAllocators: (team) => current?.plan(team).askedInOrder ?? [],
    countAllocators: (team) => {
      if (!current || !isAllocatorIn(current, team)) return undefined;
      return isSettledAllocator(team) ? current.plan(team).allocators.length : undefined;
    },
    isAllocatorOfAny: (teams) => {
      if (!current) return false;
      for (const team of teams) if (isAllocatorIn(current, team)) return true;
      return false;
    },
  };
}
