import type { Network } from '@wisterialift/fuzz';
import type { Clock } from '@wisterialift/gateway';
import type { LogState, ReplicatedLog } from '../databases/replicatedLog';
import type { SimulatedDatabase } from '../databases/simulatedDatabase';
import type { PlannedFault } from '../experiment/experimentSchema';
import type { TeamOracle } from '../callers/teamOracle';
import type { WorldTeams } from '../callers/teams';
import type { SimulatedInstance } from '../instances/simulatedInstance';
import type { SimulatedPlatform } from '../platform/simulatedPlatform';
import { setPartition } from './partition';

/** What faults act on. @internal */
export interface FaultTargets {
  clock: Clock;
  instances: readonly SimulatedInstance[];
  groups: ReadonlyMap<string, ReplicatedLog>;
  databases: ReadonlyMap<string, SimulatedDatabase>;
  platform: SimulatedPlatform;
  network: Network;
  operator: {
    teams: WorldTeams;
    oracle: TeamOracle;
    /** Publishes the teams as they are now. */
    publish: () => void;
  };
}

type Handler<Kind extends PlannedFault['kind']> = (
  fault: PlannedFault & { kind: Kind },
  targets: FaultTargets,
) => void;

/** Time from the end of a database that left until its successor runs at its address. */
const SUCCESSION_MILLISECONDS = 1_000;

/** Time that a planned stop may take. */
const STOP_GRACE_MILLISECONDS = 6_000;

const handlers: { [Kind in PlannedFault['kind']]: Handler<Kind> } = {
  lag: ({ seconds, replicas, groups: count, milliseconds }, { clock, groups }) => {
    for (const group of [...groups.values()].slice(0, count)) {
      const lagging = replicasOf(group).slice(0, replicas);
      for (const memberId of lagging) group.setPace(memberId, { lag: milliseconds });
      clock.runAfter(seconds * 1_000, () => {
        for (const memberId of lagging) group.setPace(memberId, undefined);
      });
    }
  },
  powerOffAll: ({ seconds }, { clock, instances }) => {
    for (const instance of instances) instance.losePower();
    clock.runAfter(seconds * 1_000, () => {
      for (const instance of instances) instance.restorePower();
    });
  },
  killAll: (_, { instances }) => {
    for (const instance of instances) instance.kill();
  },
  killInstance: ({ count }, { instances }) => {
    for (const instance of instances.slice(0, count)) instance.kill();
  },
  powerOffInstance: ({ seconds }, { clock, instances }) => {
    instances[0]!.losePower();
    clock.runAfter(seconds * 1_000, instances[0]!.restorePower);
  },
  rollingStops: ({ pause }, { clock, instances }) => {
    instances.forEach((instance, index) => {
      clock.runAfter(index * pause * 1_000, () => instance.stopAndRestart(STOP_GRACE_MILLISECONDS));
    });
  },
  storeDown: ({ seconds }, { clock, platform }) => {
    platform.setDown(true);
    clock.runAfter(seconds * 1_000, () => platform.setDown(false));
  },
  darkPrimary: ({ seconds, isRenamed }, { clock, groups, databases, platform }) => {
    const memberId = primaryOf([...groups.values()][0]!);
    const database = databases.get(memberId)!;
    database.losePower();
    platform.review();
    clock.runAfter(seconds * 1_000, () => {
      database.restart({ isEmpty: false, isRenamed });
      platform.review();
    });
  },
  deafReplicas: ({ seconds, replicas, groups: count }, { clock, groups, platform }) => {
    for (const group of [...groups.values()].slice(0, count)) {
      const isLeaving = (memberId: string) => (platform.leavingAt(memberId) === undefined ? 0 : 1);
      const deaf = replicasOf(group)
        .sort((left, right) => isLeaving(left) - isLeaving(right))
        .slice(0, replicas);
      for (const memberId of deaf) group.setPace(memberId, { isDeaf: true });
      clock.runAfter(seconds * 1_000, () => {
        for (const memberId of deaf) group.setPace(memberId, undefined);
      });
    }
  },
  lapse: ({ seconds, role, groups: count }, { clock, groups, platform }) => {
    for (const group of [...groups.values()].slice(0, count)) {
      const memberId = role === 'primary' ? primaryOf(group) : replicasOf(group)[0]!;
      platform.setUnheard(memberId, true);
      clock.runAfter(seconds * 1_000, () => platform.setUnheard(memberId, false));
    }
  },
  restartEmpty: ({ member }, { groups, databases, platform }) => {
    for (const group of groups.values()) {
      const memberId = [...group.members.keys()][member]!;
      databases.get(memberId)!.restart({ isEmpty: true });
    }
    platform.review();
  },
  leave: ({ seconds, role, isFinal, groups: count }, { clock, groups, databases, platform }) => {
    for (const group of [...groups.values()].slice(0, count)) {
      const memberId = role === 'primary' ? primaryOf(group) : replicasOf(group)[0]!;
      const database = databases.get(memberId)!;
      platform.setLeaving(memberId, true);
      clock.runAfter(seconds * 1_000, () => {
        database.losePower();
        platform.setLeaving(memberId, false);
        if (isFinal) {
          platform.withdraw(memberId);
          return;
        }
        clock.runAfter(SUCCESSION_MILLISECONDS, () => {
          database.restart({ isEmpty: false });
          platform.review();
        });
      });
    }
  },
  loseReplicas: ({ seconds, pause = 0, groups: count }, { clock, groups, databases, platform }) => {
    const lost = [...groups.values()]
      .slice(0, count)
      .flatMap((group) => replicasOf(group).map((memberId) => databases.get(memberId)!));
    for (const database of lost) database.losePower();
    platform.review();
    if (seconds === undefined) return;
    lost.forEach((database, index) => {
      clock.runAfter((seconds + index * pause) * 1_000, () => {
        database.restart({ isEmpty: false });
        platform.review();
      });
    });
  },
  storeCut: ({ seconds, instances: count }, { clock, instances, platform }) => {
    const hosts = instances.slice(0, count).map(({ host }) => host);
    platform.setCutOff(hosts, true);
    clock.runAfter(seconds * 1_000, () => platform.setCutOff(hosts, false));
  },
  cutPrimary: (fault, targets) => {
    const { seconds, instances: count, groups: groupCount } = fault;
    const { isReplicating, isSplit, isUnlisted, isRefusing } = fault;
    const { clock, instances, groups, databases, network, platform } = targets;
    const names = instances.map(({ host }) => host.name);
    for (const group of [...groups.values()].slice(0, groupCount)) {
      const memberId = primaryOf(group);
      const replicaIds = isSplit ? replicasOf(group) : [];
      const cutPairs = [
        ...names.slice(count).map((name) => [name, memberId] as const),
        ...names.slice(0, count).flatMap((name) => replicaIds.map((id) => [name, id] as const)),
      ];
      const setLinks = (isCut: boolean) => {
        if (!isReplicating) group.setCutOff(memberId, isCut);
        if (isUnlisted) platform.setUnheard(memberId, isCut);
        if (isRefusing) {
          refuseOverCut(databases, isCut ? cutPairs : [], [memberId, ...replicaIds]);
          return;
        }
        for (const [instance, member] of cutPairs) {
          network.setFault(instance, member, isCut ? { isCut } : undefined);
          network.setFault(member, instance, isCut ? { isCut } : undefined);
        }
      };
      setLinks(true);
      clock.runAfter(seconds * 1_000, () => setLinks(false));
    }
  },
  partition: ({ seconds, left, right }, targets) => {
    setPartition({ left, right }, { ...targets, isCut: true });
    targets.clock.runAfter(seconds * 1_000, () =>
      setPartition({ left, right }, { ...targets, isCut: false }),
    );
  },
  lateDirectory: ({ seconds, milliseconds, instances: count }, { clock, instances, platform }) => {
    const hosts = instances.slice(0, count).map(({ host }) => host);
    platform.delayChanges(hosts, milliseconds);
    clock.runAfter(seconds * 1_000, () => platform.delayChanges(hosts, 0));
  },
  slowDatabase: ({ seconds, factor, member }, { clock, groups, databases }) => {
    const memberId = [...[...groups.values()][0]!.members.keys()][member]!;
    const { slots } = databases.get(memberId)!;
    slots.setSlowness(factor);
    clock.runAfter(seconds * 1_000, () => slots.setSlowness(1));
  },
  failingDatabase: (fault, { clock, groups, databases }) => {
    const { seconds, members, share, manner, milliseconds } = fault;
    const memberIds = [...[...groups.values()][0]!.members.keys()];
    for (const member of members) {
      const database = databases.get(memberIds[member]!)!;
      database.setFailure({ share, manner, milliseconds });
      clock.runAfter(seconds * 1_000, () => database.setFailure(undefined));
    }
  },
  busyTeam: ({ seconds, rank, factor }, { clock, operator }) => {
    const team = operator.teams.all[rank - 1]!;
    team.weight = team.usualWeight * factor;
    clock.runAfter(seconds * 1_000, () => {
      team.weight = team.usualWeight;
    });
  },
  revokeTeam: ({ rank }, { operator }) => {
    const team = operator.teams.all[rank - 1]!;
    team.isRevoked = true;
    operator.oracle.noteRevoked(team);
    operator.publish();
  },
  changeLimit: ({ rank, factor }, { operator }) => {
    const team = operator.teams.all[rank - 1]!;
    team.rate = Math.round(team.rate * factor);
    team.burst = Math.round(team.burst * factor);
    team.isLimitLowered = factor < 1;
    if (factor < 1) operator.oracle.noteLimitLowered(team);
    operator.publish();
  },
  lostAnswers: ({ seconds, share }, { clock, databases }) => {
    for (const database of databases.values()) database.setAnswerLoss(share);
    clock.runAfter(seconds * 1_000, () => {
      for (const database of databases.values()) database.setAnswerLoss(0);
    });
  },
};

/** Has the faults of an experiment happen at their times. @internal */
export function scheduleFaults(faults: readonly PlannedFault[], targets: FaultTargets): void {
  for (const fault of faults) {
    const handle = handlers[fault.kind] as Handler<PlannedFault['kind']>;
    targets.clock.runAfter(fault.at * 1_000 - targets.clock.now(), () => handle(fault, targets));
  }
}

/** Has members refuse the instances that they are cut from. */
function refuseOverCut(
  databases: FaultTargets['databases'],
  cutPairs: readonly (readonly [instance: string, memberId: string])[],
  memberIds: readonly string[],
): void {
  for (const memberId of memberIds) {
    const cut = cutPairs.filter(([, member]) => member === memberId);
    databases.get(memberId)!.setRefusedClients(cut.map(([instance]) => instance));
  }
}

function replicasOf({ members }: ReplicatedLog): string[] {
  return [...members.values()]
    .filter(({ role }) => role === 'replica')
    .map(({ memberId }) => memberId);
}

/** The primary of the newest term or, while there is none, the member with the longest log. */
function primaryOf({ members }: ReplicatedLog): string {
  const isPrimary = ({ role }: LogState) => (role === 'primary' ? 1 : 0);
  const [first] = [...members.values()].sort(
    (left, right) =>
      isPrimary(right) - isPrimary(left) ||
      right.term - left.term ||
      right.log.length - left.log.length,
  );
  return first!.memberId;
}
