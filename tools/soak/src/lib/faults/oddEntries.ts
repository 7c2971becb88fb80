/** An entry of another writer that names no database, or no instance, to use. */
export interface OddEntry {
  kind: 'servers' | 'wisterialift-instances';
  name: string;
  spec: unknown;
}

const DEPTH = 50_000;

const nested = 'value nested deep';
const tooLarge = 'number too large';

/** JSON that the store writes in place of these values. */
export const ODD_VALUES: ReadonlyMap<string, string> = new Map([
  [nested, '['.repeat(DEPTH) + ']'.repeat(DEPTH)],
  [tooLarge, '1e999'],
]);

/** What a database says, but for its address. */
const DATABASE = {
  service: 'group-1',
  zone: 'zone-1',
  slots: 5,
  state: 'ready',
  db_role: 'replica',
};

const INSTANCE_NAMES = ['instance-0', 'instance-1', '__proto__'];

const ODD_INSTANCES = [nested, null, 'text', { address: '1.2.3.4:70000', weight: tooLarge }, {}];

/** @param address - of a database that is there. */
const listOddDatabases = (address: string): Record<string, unknown> => ({
  'port-out-of-range': { ...DATABASE, address: '127.0.0.1:70000' },
  'port-of-twenty-digits': { ...DATABASE, address: '127.0.0.1:12345678901234567890' },
  'port-zero': { ...DATABASE, address: '127.0.0.1:0' },
  'octet-too-large': { ...DATABASE, address: '999.0.0.1:3306', db_role: 'primary' },
  'state-unknown': { ...DATABASE, address, state: 'asleep' },
  'service-nested': { ...DATABASE, address, service: nested },
  'slots-too-large': { ...DATABASE, slots: tooLarge },
  'role-of-another-type': { ...DATABASE, address, born: nested, db_role: 7 },
  'fields-missing': { service: DATABASE.service },
  'a blank': { ...DATABASE, address, db_role: 'primary' },
  'zz\r\nQUERY - DEMOTE 9': { ...DATABASE, address, db_role: 'primary' },
  constructor: nested,
  'not-an-object': 'text',
  'nothing-at-all': null,
});

/**
 * All odd entries, in a fixed order.
 *
 * @param address - of a database that is there.
 */
export function listOddEntries(address: string): OddEntry[] {
  const databases = Object.entries(listOddDatabases(address));
  return [
    ...databases.map(([name, spec]): OddEntry => ({ kind: 'servers', name, spec })),
    ...INSTANCE_NAMES.flatMap((name) =>
      ODD_INSTANCES.map((spec): OddEntry => ({ kind: 'wisterialift-instances', name, spec })),
    ),
  ];
}
