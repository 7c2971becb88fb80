import {
  createUpstreamConnection,
  type ConnectFailure,
  type UpstreamAddress,
  type UpstreamConnection,
} from '@wisterialift/mysql';

/** A connection out on loan, to one statement or one transaction at a time. @internal */
export interface Lease {
  member: string;
  connection: UpstreamConnection;
}

/** @internal */
export type LeaseFailure = ConnectFailure;

/** @internal */
export interface UpstreamPoolOptions {
  member: string;
  address: UpstreamAddress;
  clock: () => number;
  /** A connection that was out on loan has ended. */
  onLeaseClosed: (lease: Lease) => void;
}

/** @internal */
export interface LeaseRequest {
  onGranted: (lease: Lease) => void;
  onRefused: (failure: LeaseFailure) => void;
}

/** Connections to one database. @internal */
export interface UpstreamPool {
  readonly address: UpstreamAddress;
  /** Lends an idle connection or opens one; how many may be out is the engine's decision. */
  acquire: (request: LeaseRequest) => void;
  owns: (lease: Lease) => boolean;
  /** Takes back a connection whose statement has ended. */
  release: (lease: Lease) => void;
  /** Closes idle connections beyond `mostConnections`, and those not used for a while. */
  sweep: (mostConnections: number) => void;
  counts: () => ConnectionCount;
  /** Closes what is idle; what is out is closed when it comes back. */
  retire: () => void;
  destroy: () => void;
}

/** Connections to one database by what they do. @public */
export interface ConnectionCount {
  opening: number;
  running: number;
  idle: number;
}

interface IdleConnection {
  lease: Lease;
  since: number;
}

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const IDLE_MILLISECONDS = 10_000;

/**
 * Creates the connections to one database.
 *
 * The connection that came back last goes out first, so that those which are no longer needed are the
 * ones that grow old and are closed.
 *
 * @internal
 */
export function createUpstreamPool(options: UpstreamPoolOptions): UpstreamPool {
  const { member, address, clock } = options;
  const idle: IdleConnection[] = [];
  const out = new Set<Lease>();
  const opening = new Set<UpstreamConnection>();
  let isRetired = false;

  const lend = (lease: Lease, request: LeaseRequest): void => {
    out.add(lease);
    request.onGranted(lease);
  };

  function onClosed(lease: Lease): void {
    const index = idle.findIndex((entry) => entry.lease === lease);
    if (index >= 0) idle.splice(index, 1);
    if (out.delete(lease)) options.onLeaseClosed(lease);
  }

  const open = (request: LeaseRequest): void => {
    let lease: Lease | undefined;
    const connection: UpstreamConnection = createUpstreamConnection({
      address,
      connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
      onOpened: () => {
        opening.delete(connection);
        lease = { member, connection };
        lend(lease, request);
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

  const total = (): number => idle.length + out.size + opening.size;

  return {
    address,
    acquire: (request) => {
      const last = idle.pop();
      if (last) lend(last.lease, request);
      else open(request);
    },
    owns: (lease) => out.has(lease),
    release: (lease) => {
      if (!out.delete(lease)) return;
      if (isRetired) lease.connection.destroy();
      else idle.push({ lease, since: clock() });
    },
    sweep: (mostConnections) => {
      const usedBefore = clock() - IDLE_MILLISECONDS;
      while (idle.length > 0 && (total() > mostConnections || isOlder(idle[0], usedBefore))) {
        closeOldest();
      }
    },
    counts: () => ({ opening: opening.size, running: out.size, idle: idle.length }),
    retire: () => {
      isRetired = true;
      while (idle.length > 0) closeOldest();
    },
    destroy: () => {
      isRetired = true;
      while (idle.length > 0) closeOldest();
      [...opening].forEach((connection) => connection.destroy());
      [...out].forEach(({ connection }) => connection.destroy());
    },
  };
}

function isOlder(entry: IdleConnection | undefined, time: number): boolean {
  return entry !== undefined && entry.since < time;
}
