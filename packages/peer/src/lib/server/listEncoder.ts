import { createHash } from 'node:crypto';
import type { Instance } from '@wisterialift/schema';

/** An encoded list of instances. */
export interface EncodedList {
  json: string;
  digest: string;
}

/** Creates a function that encodes a list with its digest, cached while the array is the same. */
export function createListEncoder(): (instances: Instance[]) => EncodedList {
  let lastEncoded: (EncodedList & { instances: Instance[] }) | undefined;
  return (instances) => {
    if (lastEncoded?.instances === instances) return lastEncoded;
    const json = JSON.stringify(instances);
    const digest = createHash('sha256').update(json).digest('base64');
    lastEncoded = { instances, json, digest };
    return lastEncoded;
  };
}
