import type { Instance } from '@wisterialift/schema';
import { orderByRendezvous } from './rendezvous';
import { chooseWatchers } from './watchers';

/** An instance among the others that it knows, itself included. @public */
export interface Neighbourhood {
  self: Instance;
  instances: readonly Instance[];
}

/**
 * Whom an instance tells of a configuration that it took from the platform: everyone in its data
 * centre, and the watchers of the others, who tell theirs.
 *
 * The watchers of the others would hear from the platform as well, unless it has gone down since.
 *
 * @public
 */
export function chooseAudience({ self, instances }: Neighbourhood): Instance[] {
  const watchers = new Set(namesOfAllWatchers(instances));
  return instances.filter(
    (instance) =>
      instance.name !== self.name &&
      (instance.dataCentre === self.dataCentre || watchers.has(instance.name)),
  );
}

/**
 * Whom an instance asks for what the platform last said: the watchers of its data centre, in an
 * order of its own, so that the questions of many spread over them.
 *
 * @public
 */
export function chooseSources({ self, instances }: Neighbourhood): Instance[] {
  const names = chooseWatchers({ instances, dataCentre: self.dataCentre }).filter(
    (name) => name !== self.name,
  );
  return pickInstances(orderByRendezvous({ key: `ask ${self.name}`, names }), instances);
}

/** Whether an instance watches the platform by its own list; one alone in its list does. @public */
export function isWatcher({ self, instances }: Neighbourhood): boolean {
  const watchers = chooseWatchers({ instances, dataCentre: self.dataCentre });
  return watchers.length === 0 || watchers.includes(self.name);
}

function namesOfAllWatchers(instances: readonly Instance[]): string[] {
  const dataCentres = [...new Set(instances.map(({ dataCentre }) => dataCentre))];
  return dataCentres.flatMap((dataCentre) => chooseWatchers({ instances, dataCentre }));
}

function pickInstances(names: readonly string[], instances: readonly Instance[]): Instance[] {
  return names.flatMap((name) => instances.filter((instance) => instance.name === name));
}
