import { expect, it, onTestFinished } from 'vitest';
import { createGateway } from '../index';
import type { DirectoryEntry } from '../index';
import { createTestLogger, createTestOptions } from './fixture';

const GROUPS = ['failing', 'sound'];

const createEntry = (group: string): DirectoryEntry => ({
  memberId: `${group}-1`,
  group,
  address: '127.0.0.1:1',
  dataCentre: 'zone-1',
  isPrimary: true,
  isLeaving: false,
  slots: 5,
  revision: 1,
});

it('a group that cannot be updated does not keep the directory from the others', () => {
  // Guards against one entry that stops the following of all databases.
  const added: unknown[] = [];
  const logger = createTestLogger((event, fields) => {
    if (event !== 'memberAdded') return;
    if (fields?.group === 'failing') throw new Error('not updated');
    added.push(fields?.memberId);
  });
  let publish: (entries: DirectoryEntry[]) => void = () => undefined;
  const { configuration, ...options } = createTestOptions({ logger });
  const gateway = createGateway({
    ...options,
    configuration: {
      ...configuration,
      subscribe: ({ onChange }) =>
        onChange({
          version: 1,
          routes: new Map(),
          groups: new Map(GROUPS.map((name) => [name, { name, maximumConnections: 20 }])),
          transactionIdle: 3_000,
        }),
    },
    directory: {
      refresh: async () => undefined,
      subscribe: ({ onChange }) => {
        publish = (entries) =>
          onChange(entries, { isFresh: true, changedAfter: undefined, completeAt: undefined });
      },
    },
  });
  onTestFinished(gateway.close);
  expect(() => publish(GROUPS.map(createEntry))).toThrow('not updated');
  expect(added).toEqual(['sound-1']);
});
