import {
  createUpstreamConnection,
  type ConnectFailure,
  type UpstreamAddress,
  type UpstreamConnection,
} from '@wisterialift/mysql';

/** A pooled connection in exclusive use by a statement or a transaction. @internal */
export interface Lease {
  member: string;
  connection: UpstreamConnection;
}

/** @internal */
export type LeaseFailure = ConnectFailure | 'otherIncarnation';

/** @internal */
export interface UpstreamPoolOptions {
  member: string;
  address: UpstreamAddress;
  clock: () => number;
  /** Called when a leased connection has closed. */
  onLeaseClosed: (lease: Lease) => void;
}

/** @internal */
export interface LeaseRequest {
  /** The incarnation of the database to which the connection must lead. */
  incarnation: string;
  onGranted: (lease: Lease) => void;
  onRefused: (failure: LeaseFailure) => void;
}

/** A pool of connections to one database. @internal */
export interface UpstreamPool {
  readonly address: UpstreamAddress;
  /**
   * Leases an idle connection or opens one. The engine limits the number of leases. Refused if the database
   * has another incarnation than the requested one.
   */
  acquire: (request: LeaseRequest) => void;
  hasLease: (lease: Lease) => boolean;
  /** Returns a connection to the pool. */
  release: (lease: Lease) => void;
  /** Closes idle connections above the limit and those that have exceeded the idle timeout. */
  sweep: (maximumConnections: number) => void;
  getConnectionCount: () => ConnectionCount;
  /** Closes idle connections now and leased ones when they are released. */
  drain: () => void;
  destroy: () => void;
}

/** Number of connections to one database by state. @public */
export interface ConnectionCount {
  opening: number;
  running: number;
  idle: number;
}

interface IdleConnection {
  lease: Lease;
  idleSince: number;
}

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const IDLE_TIMEOUT_MILLISECONDS = 10_000;

/**
 * Creates a pool that reuses the most recently released connection first, so that surplus connections
 * reach the idle timeout.
 *
 * @internal
 */
export function createUpstreamPool(options: UpstreamPoolOptions): UpstreamPool {
  const { member, address, clock } = options;
  const idle: IdleConnection[] = [];
  const leased = new Set<Lease>();
  const opening = new Set<UpstreamConnection>();
  let isDraining = false;

  const grant = (lease: Lease, request: LeaseRequest): void => {
    leased.add(lease);
    request.onGranted(lease);
  };

  function onClosed(lease: Lease): void {
    const index = idle.findIndex((entry) => entry.lease === lease);
    if (index >= 0) idle.splice(index, 1);
    if (leased.delete(lease)) options.onLeaseClosed(lease);
  }

  const keepIdle = (lease: Lease): void => {
    if (isDraining) lease.connection.destroy();
    else idle.push({ lease, idleSince: clock() });
  };

  const takeIdle = (incarnation: string): Lease | undefined => {
    const index = idle.findLastIndex(({ lease }) => lease.connection.incarnation === incarnation);
    return index < 0 ? undefined : idle.splice(index, 1)[0]?.lease;
  };

  const open = (request: LeaseRequest): void => {
    let lease: Lease | undefined;
    const connection: UpstreamConnection = createUpstreamConnection({
      address,
      connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
      onOpened: () => {
        opening.delete(connection);
        lease = { member, connection };
        if (connection.incarnation === request.incarnation) grant(lease, request);
        else {
          keepIdle(lease);
          request.onRefused('otherIncarnation');
        }
      },
      onOpenFailed: (failure) => {
        opening.delete(connection);
        request.onRefused(failure);
      },
      onClosed: () => {
        if (lease) onClosed(lease);
      },
    });
    opening.add(connection);
  };

  const closeOldest = (): void => {
    const oldest = idle.shift();
    oldest?.lease.connection.destroy();
  };

  const countConnections = (): number => idle.length + leased.size + opening.size;

  return {
    address,
    acquire: (request) => {
      const lease = takeIdle(request.incarnation);
      if (lease) grant(lease, request);
      else open(request);
    },
    hasLease: (lease) => leased.has(lease),
    release: (lease) => {
      if (leased.delete(lease)) keepIdle(lease);
    },
    sweep: (maximumConnections) => {
      const usedBefore = clock() - IDLE_TIMEOUT_MILLISECONDS;
      while (
        idle.length > 0 &&
        (countConnections() > maximumConnections || isIdleSinceBefore(idle[0], usedBefore))
      ) {
        closeOldest();
      }
    },
    getConnectionCount: () => ({ opening: opening.size, running: leased.size, idle: idle.length }),
    drain: () => {
      isDraining = true;
      while (idle.length > 0) closeOldest();
    },
    destroy: () => {
      isDraining = true;
      while (idle.length > 0) closeOldest();
      [...opening].forEach((connection) => connection.destroy());
      [...leased].forEach(({ connection }) => connection.destroy());
    },
  };
}

function isIdleSinceBefore(entry: IdleConnection | undefined, time: number): boolean {
  return entry !== undefined && entry.idleSince < time;
}
