import { describe, expect, it } from 'vitest';
import { createGateway } from '../index';
import type { InstanceEntry } from '../index';
import { createIdleOptions, nothing } from './fixture';
import { listMember } from './testMembers';

const instances: InstanceEntry[] = ['instance-1', 'instance-2'].map((instance) => ({
  instance,
  dataCentre: 'zone-1',
  address: `${instance}:1`,
  weight: 1,
}));

/** Starts a gateway that hears of one member, and counts the connections that it opens unasked. */
function countConnections(listed: InstanceEntry[] | undefined): number {
  let connections = 0;
  const gateway = createGateway(
    createIdleOptions({
      driver: {
        connect: () => {
          connections += 1;
          return new Promise(nothing);
        },
        readReport: nothing,
      },
      directory: {
        follow: ({ onChange }) => onChange([listMember()], { isFresh: true, newSince: undefined }),
      },
      registry: { follow: (onChange) => listed && onChange(listed), reportGone: nothing },
    }),
  );
  gateway.close();
  return connections;
}

describe('an instance that starts', () => {
  it('opens no connection unasked before it knows whether it holds any', () => {
    // Callers of a large deployment were refused for seconds after all instances had lost power.
    // Each instance asked all members of all groups for a floor before it knew the list of instances,
    // and those that hold connections for the others found no places.
    expect(countConnections(undefined)).toBe(0);
  });

  it('looks ahead where it holds its own', () => {
    expect(countConnections(instances)).toBeGreaterThan(0);
  });
});
