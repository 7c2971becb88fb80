import type { Instance } from '@wisterialift/schema';
import { orderByRendezvous } from './rendezvous';

/** Number of instances per data centre that watch the platform for the others. @public */
export const WATCHERS_PER_DATA_CENTRE = 2;

/**
 * Chooses the instances of a data centre that watch the platform.
 * Their number may vary while lists differ; each instance's regular poll bounds the update delay.
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
