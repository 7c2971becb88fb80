import type { PlannedFault } from '../experiment/experimentSchema';
import type { Host } from '../simulation/host';
import type { FaultTargets } from './faultHandlers';

type Sides = Pick<PlannedFault & { kind: 'partition' }, 'left' | 'right'>;

/** Separates what is on the left of a partition from what is on its right, or joins them again. @internal */
export function setPartition(
  sides: Sides,
  targets: Pick<FaultTargets, 'databases' | 'groups' | 'instances' | 'network' | 'platform'> & {
    isCut: boolean;
  },
): void {
  const { databases, groups, instances, network, platform, isCut } = targets;
  const isLeft = (host: Pick<Host, 'name' | 'dataCentre'>) => isNamed(sides.left, host);
  const isRight = (host: Pick<Host, 'name' | 'dataCentre'>) =>
    !isLeft(host) && (sides.right.length === 0 || isNamed(sides.right, host));
  const databaseHosts = [...databases.values()].map(({ host }) => host);
  const instanceHosts = instances.map(({ host }) => host);
  const all = [...databaseHosts, ...instanceHosts];
  const platformHost = { name: 'platform', dataCentre: platform.dataCentre };
  const isOutOfPlatformReach = (host: Host) =>
    (isLeft(platformHost) && isRight(host)) || (isRight(platformHost) && isLeft(host));

  for (const left of all.filter(isLeft)) {
    for (const right of all.filter(isRight)) {
      network.setFault(left.name, right.name, isCut ? { isCut } : undefined);
      network.setFault(right.name, left.name, isCut ? { isCut } : undefined);
    }
  }
  const isSeparated = (one: string, other: string) =>
    isLeft(databases.get(one)!.host) && isRight(databases.get(other)!.host);
  const memberPartition = {
    isSeparated,
    isOutOfPlatformReach: (memberId: string) => isOutOfPlatformReach(databases.get(memberId)!.host),
  };
  for (const group of groups.values()) group.setPartition(isCut ? memberPartition : undefined);
  const separatedMembers = databaseHosts.filter(isOutOfPlatformReach).map(({ name }) => name);
  platform.setSeparated(separatedMembers, isCut);
  platform.setCutOff(instanceHosts.filter(isOutOfPlatformReach), isCut);
}

function isNamed(
  names: readonly string[],
  { name, dataCentre }: Pick<Host, 'name' | 'dataCentre'>,
) {
  return names.includes(name) || names.includes(dataCentre);
}
