import type { Database } from '@wisterialift/schema';
import { createConnectionShare } from '../admission/connectionShare';
import { createConcurrencyLimit } from '../admission/concurrencyLimit';
import type { Member } from './memberTable';

/** Connections and running statements of this instance at one member, with their limits. */
interface MemberUsage {
  running: number;
  connections: number;
  allowedConnections: number;
  share: ReturnType<typeof createConnectionShare>;
  limit: ReturnType<typeof createConcurrencyLimit>;
}

/** @internal */
export interface MemberCapacity {
  hasCapacity: (member: Member) => boolean;
  takeConnection: (member: Member) => void;
  releaseConnection: (member: Member) => void;
  startStatement: (member: Member) => void;
  finishStatement: (member: Member, milliseconds: number) => void;
  /** Number of statements of this instance running at the member. */
  countRunning: (member: Member) => number;
  onConnectionRefused: (member: Member, now: number) => void;
  onDatabasesChanged: (databases: Database[]) => void;
  onInstancesChanged: (liveInstances: string[], now: number) => void;
  /** Recalculates the connection shares, which change over time without events. */
  refresh: (now: number) => void;
  getAllowedConnections: (member: Member) => number;
}

/** Fraction of a database's connections kept free for status requests and new instances. */
const RESERVED_FRACTION = 0.25;

/**
 * Tracks connections and running statements per member.
 *
 * A transaction keeps its connection between statements but counts as running only while one runs.
 *
 * @internal
 */
export function createMemberCapacity(instance: string, databases: Database[]): MemberCapacity {
  const usageByMember = new Map<string, MemberUsage>();
  let instances = [instance];
  let slotsByMember = new Map<string, number>();

  function createUsage({ connectionLimit, slots }: Database): MemberUsage {
    const reservedConnections = Math.ceil(connectionLimit * RESERVED_FRACTION);
    return {
      running: 0,
      connections: 0,
      allowedConnections: 1,
      share: createConnectionShare({ connectionLimit, reservedConnections }),
      limit: createConcurrencyLimit({ slots, instances: instances.length }),
    };
  }

  function getUsage(member: Member): MemberUsage {
    const known = usageByMember.get(member.name);
    if (known) return known;
    const created = createUsage(member.database);
    usageByMember.set(member.name, created);
    return created;
  }

  /** Keeps the usage of removed databases, whose statements may still be running. */
  function onDatabasesChanged(changed: Database[]): void {
    changed.forEach((database) => {
      const known = usageByMember.get(database.name);
      if (!known) usageByMember.set(database.name, createUsage(database));
      known?.limit.update({ slots: database.slots, instances: instances.length });
    });
    slotsByMember = new Map(changed.map(({ name, slots }) => [name, slots]));
  }

  function onInstancesChanged(liveInstances: string[], now: number): void {
    instances = liveInstances.includes(instance) ? liveInstances : [...liveInstances, instance];
    usageByMember.forEach(({ share, limit }, name) => {
      share.update(liveInstances, instance, now);
      limit.update({ slots: slotsByMember.get(name) ?? 1, instances: instances.length });
    });
    refresh(now);
  }

  function refresh(now: number): void {
    for (const usage of usageByMember.values()) usage.allowedConnections = usage.share.compute(now);
  }

  function hasCapacity(member: Member): boolean {
    const { running, connections, allowedConnections, limit } = getUsage(member);
    return connections < allowedConnections && running < limit.getLimit();
  }

  onDatabasesChanged(databases);
  return {
    hasCapacity,
    takeConnection: (member) => {
      getUsage(member).connections += 1;
    },
    releaseConnection: (member) => {
      getUsage(member).connections -= 1;
    },
    startStatement: (member) => {
      getUsage(member).running += 1;
    },
    finishStatement: (member, milliseconds) => {
      const usage = getUsage(member);
      usage.limit.recordCompletion(milliseconds, usage.running);
      usage.running -= 1;
    },
    countRunning: (member) => getUsage(member).running,
    onConnectionRefused: (member, now) => getUsage(member).share.recordRefusal(now),
    onDatabasesChanged,
    onInstancesChanged,
    refresh,
    getAllowedConnections: (member) => getUsage(member).allowedConnections,
  };
}
