import type { Random } from '@wisterialift/fuzz';
import type { Clock } from '@wisterialift/gateway';
import type { SimulatedInstance } from '../instances/simulatedInstance';

/** Sends new connections of callers to the instances of their data centre. @internal */
export interface Balancer {
  /** @param not - an instance that a caller has just tried in vain; another is taken where there is one. */
  choose: (dataCentre: string, not?: SimulatedInstance) => SimulatedInstance;
}

const PROBE_MILLISECONDS = 1_000;
const MISSES = 2;

/** @internal */
export function createBalancer(options: {
  instances: readonly SimulatedInstance[];
  clock: Clock;
  random: Random;
}): Balancer {
  const { instances, clock, random } = options;
  const misses = new Map(instances.map((instance) => [instance, MISSES]));

  for (const instance of instances) {
    clock.runAfter(random.next() * PROBE_MILLISECONDS, () => probe(instance));
  }

  function probe(instance: SimulatedInstance): void {
    misses.set(instance, instance.isReady() ? 0 : misses.get(instance)! + 1);
    clock.runAfter(PROBE_MILLISECONDS, () => probe(instance));
  }

  const isInRotation = (instance: SimulatedInstance) => misses.get(instance)! < MISSES;

  const instancesOf = (dataCentre: string) =>
    instances.filter(({ host }) => host.dataCentre === dataCentre);

  /** With fewer than half in rotation, the platform uses all. */
  function inRotationOrAll(list: readonly SimulatedInstance[]): readonly SimulatedInstance[] {
    const ready = list.filter(isInRotation);
    return ready.length * 2 >= list.length ? ready : list;
  }

  function candidates(dataCentre: string): readonly SimulatedInstance[] {
    const near = instancesOf(dataCentre);
    if (near.some(isInRotation)) return inRotationOrAll(near);
    const other = instances.find(isInRotation);
    return other ? inRotationOrAll(instancesOf(other.host.dataCentre)) : near;
  }

  return {
    choose: (dataCentre, not) => {
      const all = candidates(dataCentre);
      const others = all.filter((instance) => instance !== not);
      return random.pick(others.length > 0 ? others : all);
    },
  };
}
