import { describe, expect, it } from 'vitest';
import { createGateway } from '../index';
import type { InstanceEntry } from '../index';
import { createTestOptions, noop } from './fixture';
import { createDirectoryEntry } from './testGateway';

const instances: InstanceEntry[] = ['instance-1', 'instance-2'].map((instance) => ({
  instance,
  dataCentre: 'zone-1',
  address: `${instance}:1`,
  weight: 1,
}));

/** Starts a gateway with one member and counts the connections opened without a statement. */
function countConnections(instanceList: InstanceEntry[] | undefined): number {
  let connections = 0;
  const gateway = createGateway(
    createTestOptions({
      driver: {
        connect: () => {
          connections += 1;
          return new Promise(noop);
        },
        readReport: noop,
      },
      directory: {
        subscribe: ({ onChange }) =>
          onChange([createDirectoryEntry()], {
            isFresh: true,
            changedAfter: undefined,
            completeAt: undefined,
          }),
        refresh: async () => undefined,
      },
      registry: {
        registerInstance: (onChange) =>
          instanceList && onChange(instanceList, { mayOthersLag: false }),
        reportUnreachable: noop,
      },
    }),
  );
  gateway.close();
  return connections;
}

describe('a starting instance', () => {
  it('opens no connection before it has the list of instances', () => {
    // Guards against a restart of all instances in which those that are not holders use up the
    // connections of the members, so that callers are refused.
    expect(countConnections(undefined)).toBe(0);
  });

  it('connects without a statement if it holds its own connections', () => {
    expect(countConnections(instances)).toBeGreaterThan(0);
  });
});
