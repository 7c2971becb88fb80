import type { Instance } from '@wisterialift/schema';
import type { AdministrationClient } from '../client/administrationClient';

/** The response of one instance, or the error message. @internal */
export interface InstanceResult<Body> {
  instance: string;
  answer?: Body;
  error?: string;
}

const MAXIMUM_PARALLEL_REQUESTS = 32;

/**
 * Sends a GET request to every instance known to the addressed instance.
 *
 * Instances whose request fails are included in the result, with their error. Rejects if the list
 * of instances cannot be read.
 *
 * @internal
 */
export async function requestFromInstances<Body>(
  client: AdministrationClient,
  path: string,
): Promise<InstanceResult<Body>[]> {
  const { instances } = await client.get<{ instances: Instance[] }>('/v1/instances');
  const results: InstanceResult<Body>[] = [];
  for (let start = 0; start < instances.length; start += MAXIMUM_PARALLEL_REQUESTS) {
    const batch = instances.slice(start, start + MAXIMUM_PARALLEL_REQUESTS);
    results.push(
      ...(await Promise.all(
        batch.map((instance) => requestFromInstance<Body>(client, instance, path)),
      )),
    );
  }
  return results;
}

async function requestFromInstance<Body>(
  client: AdministrationClient,
  instance: Instance,
  path: string,
): Promise<InstanceResult<Body>> {
  try {
    const answer = await client.createForAddress(instance.administrationAddress).get<Body>(path);
    return { instance: instance.name, answer };
  } catch (error) {
    return { instance: instance.name, error: (error as Error).message };
  }
}
