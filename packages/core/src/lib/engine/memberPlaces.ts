import type { Database } from '@wisterialift/schema';
import { createConnectionShare } from '../admission/connectionShare';
import { createRunningLimit } from '../admission/runningLimit';
import type { Member } from './memberTable';

/** Places for work at the members: connections of this instance, and statements that run at once. */
interface Places {
  running: number;
  connections: number;
  allowedConnections: number;
  share: ReturnType<typeof createConnectionShare>;
  limit: ReturnType<typeof createRunningLimit>;
}

/** @internal */
export interface MemberPlaces {
  hasPlace: (member: Member) => boolean;
  /** A statement begins on a connection of its own. */
  takeConnection: (member: Member) => void;
  releaseConnection: (member: Member) => void;
  startStatement: (member: Member) => void;
  finishStatement: (member: Member, milliseconds: number) => void;
  /** Statements of this instance that run at the member. */
  running: (member: Member) => number;
  onConnectionRefused: (member: Member, now: number) => void;
  onDatabases: (databases: Database[]) => void;
  onInstances: (liveInstances: string[], now: number) => void;
  /** Brings the shares up to date; they change with time alone. */
  refresh: (now: number) => void;
  allowedConnections: (member: Member) => number;
}

/** Part of a database's connections kept out of the shares: status questions and newcomers use it. */
const RESERVED_SHARE = 0.25;

/**
 * Creates the count of places at each member: a transaction keeps its connection between statements,
 * while a slot of the database is taken only as long as a statement runs.
 *
 * @internal
 */
export function createMemberPlaces(instance: string, databases: Database[]): MemberPlaces {
  const places = new Map<string, Places>();
  let instances = [instance];
  let slotsOf = new Map<string, number>();

  function createPlaces({ connectionLimit, slots }: Database): Places {
    const reserved = Math.ceil(connectionLimit * RESERVED_SHARE);
    return {
      running: 0,
      connections: 0,
      allowedConnections: 1,
      share: createConnectionShare({ connectionLimit, reserved }),
      limit: createRunningLimit({ slots, instances: instances.length }),
    };
  }

  function of(member: Member): Places {
    const known = places.get(member.name);
    if (known) return known;
    const created = createPlaces(member.database);
    places.set(member.name, created);
    return created;
  }

  function onDatabases(changed: Database[]): void {
    changed.forEach((database) => {
      const known = places.get(database.name);
      if (!known) places.set(database.name, createPlaces(database));
      known?.limit.update({ slots: database.slots, instances: instances.length });
    });
    slotsOf = new Map(changed.map(({ name, slots }) => [name, slots]));
  }

  function onInstances(liveInstances: string[], now: number): void {
    instances = liveInstances.includes(instance) ? liveInstances : [...liveInstances, instance];
    places.forEach(({ share, limit }, name) => {
      share.update(liveInstances, instance, now);
      limit.update({ slots: slotsOf.get(name) ?? 1, instances: instances.length });
    });
    refresh(now);
  }

  function refresh(now: number): void {
    for (const place of places.values()) place.allowedConnections = place.share.share(now);
  }

  function hasPlace(member: Member): boolean {
    const { running, connections, allowedConnections, limit } = of(member);
    return connections < allowedConnections && running < limit.limit();
  }

  onDatabases(databases);
  return {
    hasPlace,
    takeConnection: (member) => {
      of(member).connections += 1;
    },
    releaseConnection: (member) => {
      of(member).connections -= 1;
    },
    startStatement: (member) => {
      of(member).running += 1;
    },
    finishStatement: (member, milliseconds) => {
      const place = of(member);
      place.limit.recordCompletion(milliseconds, place.running);
      place.running -= 1;
    },
    running: (member) => of(member).running,
    onConnectionRefused: (member, now) => of(member).share.recordRefusal(now),
    onDatabases,
    onInstances,
    refresh,
    allowedConnections: (member) => of(member).allowedConnections,
  };
}
