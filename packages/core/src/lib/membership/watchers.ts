import type { Instance } from '@wisterialift/schema';
import { orderByRendezvous } from './rendezvous';

/** Instances of each data centre that watch the platform for the others. @public */
export const WATCHERS_PER_DATA_CENTRE = 2;

/**
 * Chooses the instances of a data centre that watch the platform.
 *
 * Two instances whose lists differ may choose differently, so that for a while there are more or
 * fewer watchers than two. More cost calls; fewer cost time, bounded by the poll of every instance.
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
