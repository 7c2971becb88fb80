import type { Configuration, Database, UpstreamGroup } from '@wisterialift/schema';
import type { ConfigurationFault } from './configurationFault';

/** Maximum number of databases of a group that one patch can add, remove or move. */
const MAXIMUM_MEMBER_CHANGES = 1;

/**
 * Reports each group in which a patch adds, removes or moves more than one database.
 *
 * Instances may use the old and the new members at the same time; with more than one change their
 * majorities may not overlap, which can lose acknowledged writes. Before the next change operators must
 * wait until all instances and members are up to date. A moved database must keep its log.
 *
 * @internal
 */
export function findMemberChangeFaults(
  previousConfiguration: Configuration,
  nextConfiguration: Configuration,
): ConfigurationFault[] {
  return Object.entries(nextConfiguration.groups).flatMap(([name, group]) => {
    const previousGroup = previousConfiguration.groups[name];
    if (!previousGroup || countChanges(previousGroup, group) <= MAXIMUM_MEMBER_CHANGES) return [];
    const reason = 'at most one database may be added, removed or moved by one patch';
    return [{ path: `groups.${name}.databases`, reason }];
  });
}

function countChanges(previousGroup: UpstreamGroup, nextGroup: UpstreamGroup): number {
  const previousAddresses = mapAddressesByName(previousGroup.databases);
  const nextAddresses = mapAddressesByName(nextGroup.databases);
  const names = new Set([...previousAddresses.keys(), ...nextAddresses.keys()]);
  return [...names].filter((name) => previousAddresses.get(name) !== nextAddresses.get(name))
    .length;
}

function mapAddressesByName(databases: readonly Database[]): Map<string, string> {
  return new Map(databases.map(({ name, host, port }) => [name, `${host}:${port}`]));
}
