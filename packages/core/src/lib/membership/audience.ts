import type { Instance } from '@wisterialift/schema';
import { orderByRendezvous } from './rendezvous';
import { chooseWatchers } from './watchers';

/** An instance among the others that it knows, itself included. @public */
export interface Neighbourhood {
  self: Instance;
  instances: readonly Instance[];
}

/** Where an instance has a configuration from. @public */
export type ConfigurationSource =
  /** It submitted the patch itself. */
  | 'patch'
  /** It read it at the platform. */
  | 'platform'
  /** Another instance told it. */
  | 'peer';

/**
 * Whom an instance tells of a configuration that is news to it.
 *
 * The submitter of a patch tells its data centre and the watchers of all others, which would hear
 * from the platform as well unless that has gone down since. A watcher tells those of its data centre
 * that do not watch. An instance that had to ask the platform itself tells its whole data centre, as
 * the watchers failed it. One that does not watch and was told by another tells nobody, so that
 * messages end.
 *
 * @public
 */
export function chooseAudience(
  options: Neighbourhood & { source: ConfigurationSource },
): Instance[] {
  const { self, instances, source } = options;
  const watchers = new Set(namesOfAllWatchers(instances));
  const isTellingWatchers = source === 'patch' || !watchers.has(self.name);
  if (source === 'peer' && !watchers.has(self.name)) return [];
  return instances.filter(({ name, dataCentre }) => {
    if (name === self.name) return false;
    if (watchers.has(name) && !isTellingWatchers) return false;
    return dataCentre === self.dataCentre || (source === 'patch' && watchers.has(name));
  });
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
