import type { Instance } from '@wisterialift/schema';
import { orderByRendezvous } from './rendezvous';

/** Number of instances per data centre that watch the platform for the others. @public */
export const WATCHERS_PER_DATA_CENTRE = 2;

/**
 * Chooses the instances of a data centre that watch the platform.
 *
 * While the lists of instances differ, there may be more or fewer watchers. With fewer, the regular
 * poll of each instance bounds the delay of updates.
 *
 * @public
 */
export function chooseWatchers(options: {
  instances: readonly Instance[];
  dataCentre: string;
}): string[] {
  const { instances, dataCentre } = options;
  const names = instances
    .filter((instance) => instance.dataCentre === dataCentre && instance.state === 'live')
    .map(({ name }) => name);
  return orderByRendezvous({ key: `watch ${dataCentre}`, names }).slice(
    0,
    WATCHERS_PER_DATA_CENTRE,
  );
}
