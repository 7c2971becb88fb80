import {
  createGroupControlConnection,
  type GroupControlConnection,
  type UpstreamAddress,
} from '@wisterialift/mysql';
import type { Database, UpstreamGroup } from '@wisterialift/schema';
import {
  createUpstreamPool,
  type ConnectionCount,
  type Lease,
  type UpstreamPool,
} from './upstreamPool';

/** The connections to one member of a group. @internal */
export interface UpstreamMember {
  database: Database;
  pool: UpstreamPool;
  control: GroupControlConnection;
}

/** Connections of this instance to one database. @public */
export interface UpstreamConnectionCount extends ConnectionCount {
  group: string;
  member: string;
}

/** @internal */
export interface UpstreamMembersOptions {
  group: string;
  clock: () => number;
  questionTimeoutMilliseconds: number;
  onLeaseClosed: (lease: Lease) => void;
}

/** The connections to the members of a group, by name. @internal */
export interface UpstreamMembers {
  get: (name: string) => UpstreamMember | undefined;
  release: (lease: Lease) => void;
  /** Takes the group's present databases; a member with another address gets new connections. */
  update: (upstreamGroup: UpstreamGroup) => void;
  /** @param shareOf - connections that this instance may have to a member. */
  sweep: (shareOf: (name: string) => number) => void;
  counts: () => UpstreamConnectionCount[];
  destroy: () => void;
}

/** Creates the connections to the members of a group; none is opened before it is needed. @internal */
export function createUpstreamMembers(options: UpstreamMembersOptions): UpstreamMembers {
  const { group, clock, onLeaseClosed } = options;
  const members = new Map<string, UpstreamMember>();

  const open = (database: Database, address: UpstreamAddress): UpstreamMember => ({
    database,
    pool: createUpstreamPool({ member: database.name, address, clock, onLeaseClosed }),
    control: createGroupControlConnection({
      address,
      timeoutMilliseconds: options.questionTimeoutMilliseconds,
    }),
  });

  const retire = (name: string, { pool, control }: UpstreamMember): void => {
    pool.retire();
    control.close();
    members.delete(name);
  };

  const updateMember = (database: Database, { user, password }: UpstreamGroup): void => {
    const address = { host: database.host, port: database.port, user, password };
    const present = members.get(database.name);
    if (present && isSameAddress(present.pool.address, address)) {
      present.database = database;
      return;
    }
    if (present) retire(database.name, present);
    members.set(database.name, open(database, address));
  };

  return {
    get: (name) => members.get(name),
    release: (lease) => {
      const member = members.get(lease.member);
      // A lease of a pool that was retired has no place to go back to.
      if (member && member.pool.owns(lease)) member.pool.release(lease);
      else lease.connection.destroy();
    },
    update: (upstreamGroup) => {
      const names = new Set(upstreamGroup.databases.map(({ name }) => name));
      [...members].forEach(([name, member]) => {
        if (!names.has(name)) retire(name, member);
      });
      upstreamGroup.databases.forEach((database) => updateMember(database, upstreamGroup));
    },
    sweep: (shareOf) => members.forEach(({ pool }, name) => pool.sweep(shareOf(name))),
    counts: () => [...members].map(([member, { pool }]) => ({ group, member, ...pool.counts() })),
    destroy: () => {
      members.forEach(({ pool, control }) => {
        pool.destroy();
        control.close();
      });
    },
  };
}

function isSameAddress(left: UpstreamAddress, right: UpstreamAddress): boolean {
  return (
    left.host === right.host &&
    left.port === right.port &&
    left.user === right.user &&
    left.password === right.password
  );
}
