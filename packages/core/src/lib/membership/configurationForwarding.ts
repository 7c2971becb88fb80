import type { Instance } from '@wisterialift/schema';
import { orderByRendezvous } from './rendezvous';
import { chooseWatchers } from './watchers';

/** An instance and all instances in its list, including itself. @public */
export interface MembershipSnapshot {
  self: Instance;
  instances: readonly Instance[];
}

/** Source of a configuration. @public */
export type ConfigurationSource =
  /** A patch submitted through this instance. */
  | 'patch'
  /** A read from the platform. */
  | 'platform'
  /** A message from another instance. */
  | 'peer';

/**
 * Chooses the instances to which an instance forwards a new configuration.
 *
 * - An instance that accepted a patch: its data centre and the watchers of the others, in case the
 *   platform fails.
 * - A watcher: the other instances of its data centre that do not watch.
 * - Another instance that read the platform: its data centre, as its watchers may have failed.
 * - Another instance that received it from a peer: none, so that forwarding ends.
 *
 * @public
 */
export function chooseForwardingTargets(
  options: MembershipSnapshot & { source: ConfigurationSource },
): Instance[] {
  const { self, instances, source } = options;
  const watchers = new Set(listAllWatcherNames(instances));
  const canForwardToWatchers = source === 'patch' || !watchers.has(self.name);
  if (source === 'peer' && !watchers.has(self.name)) return [];
  return instances.filter(({ name, dataCentre }) => {
    if (name === self.name) return false;
    if (watchers.has(name) && !canForwardToWatchers) return false;
    return dataCentre === self.dataCentre || (source === 'patch' && watchers.has(name));
  });
}

/**
 * Lists the data centre's other watchers in the order in which this instance queries them for the
 * latest platform state; the order differs between instances to spread the load.
 *
 * @public
 */
export function orderWatchersToQuery({ self, instances }: MembershipSnapshot): Instance[] {
  const names = chooseWatchers({ instances, dataCentre: self.dataCentre }).filter(
    (name) => name !== self.name,
  );
  return findInstancesByName(orderByRendezvous({ key: `ask ${self.name}`, names }), instances);
}

/** Whether an instance watches the platform; true if its data centre has no known watcher. @public */
export function isWatcher({ self, instances }: MembershipSnapshot): boolean {
  const watchers = chooseWatchers({ instances, dataCentre: self.dataCentre });
  return watchers.length === 0 || watchers.includes(self.name);
}

function listAllWatcherNames(instances: readonly Instance[]): string[] {
  const dataCentres = [...new Set(instances.map(({ dataCentre }) => dataCentre))];
  return dataCentres.flatMap((dataCentre) => chooseWatchers({ instances, dataCentre }));
}

function findInstancesByName(names: readonly string[], instances: readonly Instance[]): Instance[] {
  return names.flatMap((name) => instances.filter((instance) => instance.name === name));
}
