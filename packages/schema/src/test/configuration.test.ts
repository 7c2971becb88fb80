import { expect, it } from 'vitest';
import { configurationSchema } from '..';

const CONFIGURATION = {
  groups: {
    'archivio-1': {
      databases: [
        {
          name: 'db-1',
          host: '127.0.0.1',
          port: 3306,
          dataCentre: 'sesto-dc',
          connectionLimit: 10,
          slots: 2,
        },
      ],
      user: 'user',
      password: '',
    },
  },
  callers: {},
};

const caller = { passwordHash: '0'.repeat(40), groups: ['constructor'] };

const level = { name: 'level-1', objective: 0.9, latencyMilliseconds: 100 };

it.each([
  ['a caller', { callers: { 'caller-1': caller } }],
  ['a service level', { serviceLevels: [{ ...level, group: 'constructor', kind: 'default' }] }],
  [
    'a kind of a service level',
    { serviceLevels: [{ ...level, group: 'archivio-1', kind: 'constructor' }] },
  ],
])('%s that names a property of every object is refused', (_, changes) => {
  // Guards against looking up a group or a kind that no configuration has.
  expect(configurationSchema.safeParse(CONFIGURATION).success).toBe(true);
  expect(configurationSchema.safeParse({ ...CONFIGURATION, ...changes }).success).toBe(false);
});
