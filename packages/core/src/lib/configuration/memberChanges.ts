import type { Configuration, Database, UpstreamGroup } from '@wisterialift/schema';
import type { ConfigurationFault } from './configurationFault';

/** Databases that one patch may add to, take from or move within a group. */
const MEMBER_CHANGES_LIMIT = 1;

/**
 * Finds the groups whose members a patch changes by more than one database.
 *
 * Guards against two majorities without a common member: while one instance still counts by the old
 * members and another by the new ones, each could confirm or promote on its own, which shows as an
 * acknowledged record that a later read does not find. Majorities of two sets that differ by one
 * member always share one. A change has to be in force everywhere, and the members caught up, before
 * the next one, and a database that moves takes its log along; both are the operator's to see to.
 */
export function findMemberFaults(
  before: Configuration,
  after: Configuration,
): ConfigurationFault[] {
  return Object.entries(after.groups).flatMap(([name, group]) => {
    const former = before.groups[name];
    if (!former || countChanges(former, group) <= MEMBER_CHANGES_LIMIT) return [];
    const reason = 'at most one database may be added, removed or moved by one patch';
    return [{ path: `groups.${name}.databases`, reason }];
  });
}

function countChanges(former: UpstreamGroup, present: UpstreamGroup): number {
  const formerPlaces = placesOf(former.databases);
  const presentPlaces = placesOf(present.databases);
  const names = new Set([...formerPlaces.keys(), ...presentPlaces.keys()]);
  return [...names].filter((name) => formerPlaces.get(name) !== presentPlaces.get(name)).length;
}

function placesOf(databases: readonly Database[]): Map<string, string> {
  return new Map(databases.map(({ name, host, port }) => [name, `${host}:${port}`]));
}
