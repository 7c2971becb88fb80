import { createHash } from 'node:crypto';
import type { Instance } from '@wisterialift/schema';

/** A list of instances as it travels. */
export interface WrittenList {
  json: string;
  digest: string;
}

/**
 * Creates a function that writes a list and its digest, anew only for another array: the instances
 * change seldom and are asked for often.
 */
export function createListWriter(): (instances: Instance[]) => WrittenList {
  let written: (WrittenList & { instances: Instance[] }) | undefined;
  return (instances) => {
    if (written?.instances === instances) return written;
    const json = JSON.stringify(instances);
    const digest = createHash('sha256').update(json).digest('base64');
    written = { instances, json, digest };
    return written;
  };
}
