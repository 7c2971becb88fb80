import { lookUp } from '@wisterialift/schema';
import type { Configuration, Database, RemovedGroup } from '@wisterialift/schema';
import type { ConfigurationFault } from './configurationFault';

/** Maximum number of databases of a group that one patch can add, remove or move. */
const MAXIMUM_MEMBER_CHANGES = 1;

/** Number of each group's newest member set that is established, by name of the group. @public */
export type EstablishedMemberSets = Readonly<Record<string, number>>;

/** Removed groups by name. @internal */
export type RemovedGroups = Readonly<Record<string, RemovedGroup>>;

/** The part of a group that says who its members are. */
type GroupMembers = RemovedGroup;

/**
 * Reports each group in which a patch adds, removes or moves more than one database, or any before the
 * last such change is established.
 *
 * Instances may use the old and the new members at the same time; with more than one change between them
 * their majorities may not overlap, which can lose acknowledged writes. Once a member set is established,
 * no former one can confirm a write, and a majority holds all that former ones confirmed. A moved database
 * must keep its log. A group that is added again under its name has the databases that it had, for instances that
 * have not heard of the removal still use them.
 *
 * @internal
 */
export function findMemberChangeFaults(options: {
  previous: Configuration;
  removedGroups: RemovedGroups;
  next: Configuration;
  establishedMemberSets: EstablishedMemberSets;
}): ConfigurationFault[] {
  const { previous, removedGroups, next, establishedMemberSets } = options;
  return Object.entries(next.groups).flatMap(([name, group]) => {
    const previousGroup = lookUp(previous.groups, name);
    const reason = previousGroup
      ? findFault(previousGroup, group, lookUp(establishedMemberSets, name))
      : findReturnFault(lookUp(removedGroups, name), group);
    return reason ? [{ path: `groups.${name}.databases`, reason }] : [];
  });
}

function findFault(
  previousGroup: GroupMembers,
  nextGroup: GroupMembers,
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

function findReturnFault(
  removed: GroupMembers | undefined,
  nextGroup: GroupMembers,
): string | undefined {
  if (!removed || isRaised(removed, nextGroup)) return undefined;
  if (countChanges(removed, nextGroup) === 0) return undefined;
  return `a group of this name was removed with other databases; add it with those, or state a memberSet above ${getNumber(removed)} if what they hold may be lost`;
}

/**
 * Returns what is to be kept of removed groups after a patch.
 *
 * @internal
 */
export function updateRemovedGroups(
  previous: Configuration,
  next: Configuration,
  removedGroups: RemovedGroups,
): RemovedGroups {
  const former = Object.entries(previous.groups).map(
    ([name, { databases, memberSet }]) => [name, { databases, memberSet }] as const,
  );
  const known = [...Object.entries(removedGroups), ...former];
  return Object.fromEntries(known.filter(([name]) => !Object.hasOwn(next.groups, name)));
}

/**
 * Numbers the members of each group that a patch creates or whose members it changes.
 *
 * @param options.configurationNumber - number of the configuration that the patch creates.
 * @internal
 */
export function numberMemberSets(options: {
  previous: Configuration;
  removedGroups: RemovedGroups;
  next: Configuration;
  configurationNumber: number;
}): Configuration {
  const { previous, removedGroups, next, configurationNumber } = options;
  const groups = Object.entries(next.groups).map(([name, group]) => {
    const previousGroup = lookUp(previous.groups, name);
    const formerGroup = previousGroup ?? lookUp(removedGroups, name);
    const previousNumber = formerGroup ? getNumber(formerGroup) : -1;
    const hasChanged = !previousGroup || countChanges(previousGroup, group) > 0;
    const lowest = hasChanged ? Math.max(previousNumber + 1, configurationNumber) : previousNumber;
    const memberSet = Math.max(getNumber(group), lowest);
    return [name, memberSet === 0 ? group : { ...group, memberSet }] as const;
  });
  return { ...next, groups: Object.fromEntries(groups) };
}

/** Whether the operator declares that the former members no longer matter. */
function isRaised(previousGroup: GroupMembers, nextGroup: GroupMembers): boolean {
  return getNumber(nextGroup) > getNumber(previousGroup);
}

function getNumber({ memberSet = 0 }: GroupMembers): number {
  return memberSet;
}

function countChanges(previousGroup: GroupMembers, nextGroup: GroupMembers): number {
  const previousAddresses = mapAddressesByName(previousGroup.databases);
  const nextAddresses = mapAddressesByName(nextGroup.databases);
  const names = new Set([...previousAddresses.keys(), ...nextAddresses.keys()]);
  return [...names].filter((name) => previousAddresses.get(name) !== nextAddresses.get(name))
    .length;
}

function mapAddressesByName(databases: readonly Database[]): Map<string, string> {
  return new Map(databases.map(({ name, host, port }) => [name, `${host}:${port}`]));
}
