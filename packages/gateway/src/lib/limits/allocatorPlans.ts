import { planLimitAllocators } from '@wisterialift/pooling';
import type { LimitAllocatorPlan } from '@wisterialift/pooling';
import type { Clock } from '../ports/clock';
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
  /** Instances of this data centre that share out the limits of any of the teams. */
  listNearAllocators: (teams: Iterable<string>) => Set<string>;
  /** Whether this instance shares out the limit of any of the teams. */
  isAllocatorOfAny: (teams: Iterable<string>) => boolean;
}

/**
 * Time after which all instances have the current list: a poll, one that failed, and the age of a list
 * that may be stale.
 */
const LIST_SETTLING_MILLISECONDS = 35_000;

interface InstanceList {
  instances: InstanceEntry[];
  /** When a later list replaced it; undefined for the current one. */
  replacedAt: number | undefined;
  plans: Map<string, LimitAllocatorPlan>;
}

export function createAllocatorPlans(options: {
  instance: string;
  dataCentre: string;
  clock: Clock;
}): AllocatorPlans {
  const { instance, dataCentre, clock } = options;
  let current: InstanceList | undefined;
  /** Lists by which other instances may still ask. */
  let former: InstanceList[] = [];

  function getPlan(list: InstanceList, team: string): LimitAllocatorPlan {
    const known = list.plans.get(team);
    if (known) return known;
    const plan = planLimitAllocators({ team, candidates: list.instances, dataCentre });
    list.plans.set(team, plan);
    return plan;
  }

  const isAllocatorIn = (list: InstanceList, team: string) =>
    getPlan(list, team).allocators.includes(instance);

  function isSettledAllocator(team: string): boolean {
    former = former.filter(
      ({ replacedAt }) => clock.now() - replacedAt! < LIST_SETTLING_MILLISECONDS,
    );
    return former.every((list) => isAllocatorIn(list, team));
  }

  const createList = (instances: InstanceEntry[]): InstanceList => ({
    instances,
    replacedAt: undefined,
    plans: new Map(),
  });

  return {
    updateInstances: (instances, { mayOthersLag }) => {
      const others = instances.filter((entry) => entry.instance !== instance);
      const replaced = current ?? createList(others);
      if (mayOthersLag) former.push({ ...replaced, replacedAt: clock.now() });
      current = createList(instances);
    },
    findAllocators: (team) => (current ? getPlan(current, team).askedInOrder : []),
    countAllocators: (team) => {
      if (!current || !isAllocatorIn(current, team)) return undefined;
      return isSettledAllocator(team) ? getPlan(current, team).allocators.length : undefined;
    },
    listNearAllocators: (teams) => {
      const names = new Set<string>();
      for (const team of current ? teams : []) {
        for (const name of getPlan(current!, team).near) names.add(name);
      }
      return names;
    },
    isAllocatorOfAny: (teams) => {
      if (!current) return false;
      for (const team of teams) if (isAllocatorIn(current, team)) return true;
      return false;
    },
  };
}
