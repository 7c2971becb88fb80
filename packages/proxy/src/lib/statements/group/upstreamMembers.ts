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

/** Number of connections of this instance to one database. @public */
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
  /**
   * Applies the group's configuration. A member whose address or account changed gets a new pool; its
   * leased connections close when they are released.
   */
  update: (upstreamGroup: UpstreamGroup) => void;
  /** @param getShare - returns the number of connections that this instance may have to a member. */
  sweep: (getShare: (name: string) => number) => void;
  getConnectionCounts: () => UpstreamConnectionCount[];
  destroy: () => void;
}

/** Creates a set without members; `update` adds them. Connections are opened on demand. @internal */
export function createUpstreamMembers(options: UpstreamMembersOptions): UpstreamMembers {
  const { group, clock, onLeaseClosed } = options;
  const members = new Map<string, UpstreamMember>();

  const createMember = (database: Database, address: UpstreamAddress): UpstreamMember => ({
    database,
    pool: createUpstreamPool({ member: database.name, address, clock, onLeaseClosed }),
    control: createGroupControlConnection({
      address,
      timeoutMilliseconds: options.questionTimeoutMilliseconds,
    }),
  });

  const removeMember = (name: string, { pool, control }: UpstreamMember): void => {
    pool.drain();
    control.close();
    members.delete(name);
  };

  const updateMember = (database: Database, { user, password }: UpstreamGroup): void => {
    const address = { host: database.host, port: database.port, user, password };
    const current = members.get(database.name);
    if (current && isSameAddress(current.pool.address, address)) {
      current.database = database;
      return;
    }
    if (current) removeMember(database.name, current);
    members.set(database.name, createMember(database, address));
  };

  return {
    get: (name) => members.get(name),
    release: (lease) => {
      const member = members.get(lease.member);
      // Without a lease in the pool, the connection has closed, or its pool was replaced or removed.
      if (member && member.pool.hasLease(lease)) member.pool.release(lease);
      else lease.connection.destroy();
    },
    update: (upstreamGroup) => {
      const names = new Set(upstreamGroup.databases.map(({ name }) => name));
      [...members].forEach(([name, member]) => {
        if (!names.has(name)) removeMember(name, member);
      });
      upstreamGroup.databases.forEach((database) => updateMember(database, upstreamGroup));
    },
    sweep: (getShare) => members.forEach(({ pool }, name) => pool.sweep(getShare(name))),
    getConnectionCounts: () =>
      [...members].map(([member, { pool }]) => ({ group, member, ...pool.getConnectionCount() })),
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
