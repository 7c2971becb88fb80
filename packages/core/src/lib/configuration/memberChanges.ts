import type { Configuration, Database, UpstreamGroup } from '@wisterialift/schema';
import type { ConfigurationFault } from './configurationFault';

/** Maximum number of databases of a group that one patch can add, remove or move. */
const MAXIMUM_MEMBER_CHANGES = 1;

/** Number of each group's newest member set that is established, by name of the group. @public */
export type EstablishedMemberSets = Readonly<Record<string, number>>;

/**
 * Reports each group in which a patch adds, removes or moves more than one database, or any before the
 * last such change is established.
 *
 * Instances may use the old and the new members at the same time; with more than one change between them
 * their majorities may not overlap, which can lose acknowledged writes. Once a member set is established,
 * no former one can confirm a write, and a majority holds all that former ones confirmed. A moved database
 * must keep its log.
 *
 * @internal
 */
export function findMemberChangeFaults(options: {
  previous: Configuration;
  next: Configuration;
  establishedMemberSets: EstablishedMemberSets;
}): ConfigurationFault[] {
  const { previous, next, establishedMemberSets } = options;
  return Object.entries(next.groups).flatMap(([name, group]) => {
    const previousGroup = previous.groups[name];
    if (!previousGroup) return [];
    const reason = findFault(previousGroup, group, establishedMemberSets[name]);
    return reason ? [{ path: `groups.${name}.databases`, reason }] : [];
  });
}

function findFault(
  previousGroup: UpstreamGroup,
  nextGroup: UpstreamGroup,
  established = -1,
): string | undefined {
  const changes = countChanges(previousGroup, nextGroup);
  if (changes > MAXIMUM_MEMBER_CHANGES) {
    return 'at most one database may be added, removed or moved by one patch';
  }
  const isPending = established < getNumber(previousGroup);
  if (changes === 0 || !isPending || isRaised(previousGroup, nextGroup)) return undefined;
  return 'this instance has not seen a majority of the present databases in a term of theirs; try again';
}

/**
 * Numbers the members of each group that a patch creates or whose members it changes.
 *
 * @param configurationNumber - number of the configuration that the patch creates.
 * @internal
 */
export function numberMemberSets(
  previous: Configuration,
  next: Configuration,
  configurationNumber: number,
): Configuration {
  const groups = Object.entries(next.groups).map(([name, group]) => {
    const previousGroup = previous.groups[name];
    const previousNumber = previousGroup ? getNumber(previousGroup) : -1;
    const hasChanged = !previousGroup || countChanges(previousGroup, group) > 0;
    const lowest = hasChanged ? Math.max(previousNumber + 1, configurationNumber) : previousNumber;
    const memberSet = Math.max(getNumber(group), lowest);
    return [name, memberSet === 0 ? group : { ...group, memberSet }] as const;
  });
  return { ...next, groups: Object.fromEntries(groups) };
}

/** Whether the operator declares that the former members no longer matter. */
function isRaised(previousGroup: UpstreamGroup, nextGroup: UpstreamGroup): boolean {
  return getNumber(nextGroup) > getNumber(previousGroup);
}

function getNumber({ memberSet = 0 }: UpstreamGroup): number {
  return memberSet;
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
