import {
  canUseConnection,
  chooseConnectionToClose,
  chooseWaitingStatement,
  countVariableCommands,
  createConnectionState,
  createOwnerUsage,
  findUncoveredStatements,
} from '@wisterialift/pooling';
import type {
  ConnectionNeed,
  ConnectionOwner,
  ConnectionState,
  QueuedStatement,
  SessionState,
} from '@wisterialift/pooling';
import type { Logger } from '@wisterialift/telemetry';
import { NoConnectionError } from '../errors/noConnectionError';
import { UpstreamLostError } from '../errors/upstreamLostError';
import { UpstreamRefusedError } from '../errors/upstreamRefusedError';
import type { IsLoadControlEnabled } from '../configuration/loadControls';
import type { IsMechanismEnabled } from '../mechanisms';
import type { CancelTimer, Clock } from '../ports/clock';
import type { UpstreamConnection, UpstreamDriver } from '../ports/upstreamPort';
import { createConnectionCounters } from './connectionCounters';
import type { CloseCause, ConnectionCount, OpenCause } from './connectionCounters';

/** An upstream connection and its session state. */
export interface PooledConnection {
  /** Counts the connections of the pool; identifies this one in the log. */
  number: number;
  upstream: UpstreamConnection;
  /** Team under whose name the connection was opened. */
  owner: ConnectionOwner;
  state: ConnectionState;
  /** Version of the session's variables that the connection was last prepared with. */
  preparedVersion?: number;
  idleSince: number;
  /** When a statement last took it over. */
  usedSince: number;
}

export interface AcquireOptions extends ConnectionNeed {
  session: SessionState;
  deadlineAt: number;
  /** Priority; lower values go first. */
  priority: number;
}

export interface UpstreamPool {
  /**
   * @throws NoConnectionError if no connection is available before the deadline.
   * @throws UpstreamLostError if the member cannot be reached.
   */
  acquire: (options: AcquireOptions) => Promise<PooledConnection>;
  release: (connection: PooledConnection) => void;
  /** Closes a connection whose state is unknown or whose answer was lost. */
  discard: (connection: PooledConnection) => void;
  /** Number of connections for statements outside transactions, including ones not yet opened. */
  countFreeConnections: () => number;
  /** Reserves a connection for a transaction; the returned function ends the reservation. */
  pin: () => () => void;
  /** Raises the connection limit for waiting statements. */
  raiseLimit: () => void;
  /** Estimates the milliseconds until a connection not held by a transaction is available. */
  estimateDelay: () => number;
  /** Estimates the milliseconds until a connection for statements of `owner` is available. */
  estimateOwnerDelay: (owner: ConnectionOwner) => number;
  setMaximum: (connections: number) => void;
  /** Opens connections for waiting requests and closes surplus idle ones. */
  maintain: () => void;
  listConnectionCounts: () => ConnectionCount[];
  close: () => void;
}

export interface UpstreamPoolOptions {
  driver: UpstreamDriver;
  clock: Clock;
  logger: Logger;
  group: string;
  memberId: string;
  address: string;
  /** Connections that this instance can open before waiting statements raise the limit. */
  calculateFairShare: () => number;
  maximumConnections: number;
  /** Whether this instance keeps idle connections up to its fair share. */
  isHolder: () => boolean;
  isMechanismEnabled: IsMechanismEnabled;
  isLoadControlEnabled: IsLoadControlEnabled;
  /** Called when a transaction no longer holds a connection. */
  onUnpinned: () => void;
  onUnreachable: (error: UpstreamLostError) => void;
}

interface Waiter extends AcquireOptions, QueuedStatement {
  grant: (connection: PooledConnection) => void;
  fail: (error: Error) => void;
}

/**
 * Allows for the handshake and three round trips. Shorter than the initial TCP retransmission timeout
 * of a second, because trying another member is faster.
 */
const CONNECT_TIMEOUT_MILLISECONDS = 700;

/** Expected time to open a connection, including network, before the first was opened. */
const INITIAL_CONNECT_MILLISECONDS = 60;

/** Weight of a new measurement in the average time to open a connection. */
const CONNECT_TIME_SMOOTHING = 1 / 8;

/**
 * Idle time after which a connection above the fair share is closed. Short, so that other instances
 * can use the connection slot, which a member keeps occupied for seconds after a loss of power. A new
 * connection costs only its handshake.
 */
const SHORT_IDLE_MILLISECONDS = 250;

/** Idle time limit when `closingIdle` is not in use. */
const LONG_IDLE_MILLISECONDS = 1_500;

/** Pause after a member refused a connection because it has too many. */
const REFUSAL_RETRY_DELAY_MILLISECONDS = 60;

/** Time for which a refusal limits the pool to the connections it has, or to one. */
const REFUSAL_MILLISECONDS = 250;

/**
 * Expected delay of a connection after a refusal if transactions hold all connections of this
 * instance, and for how long after the refusal it is expected.
 */
const EXPECTED_EXHAUSTION_MILLISECONDS = 500;

/** Pause between two increases of the limit, each by one connection. */
const RAISE_PAUSE_MILLISECONDS = 100;

/** Creates a pool of this instance's connections to one member. */
export function createUpstreamPool(options: UpstreamPoolOptions): UpstreamPool {
  const { driver, clock, logger, group, memberId, address, onUnreachable } = options;
  const connections = new Set<PooledConnection>();
  const idle: PooledConnection[] = [];
  const waiters: Waiter[] = [];
  const usage = createOwnerUsage();
  const counters = createConnectionCounters(clock.now);
  const isChosenByUsage = options.isLoadControlEnabled('primaryHolder');
  let maximum = options.maximumConnections;
  let raisedLimit = 0;
  let refusedAt = -Infinity;
  let raisedAt = -Infinity;
  let pausedUntil = -Infinity;
  /** Owners of the connections that are being opened. */
  const opening: ConnectionOwner[] = [];
  let openedCount = 0;
  let pinnedCount = 0;
  let connectTime = INITIAL_CONNECT_MILLISECONDS;
  let isClosed = false;

  function acquire(request: AcquireOptions): Promise<PooledConnection> {
    const ready = takeIdle(request);
    if (ready) return Promise.resolve(ready);
    return new Promise((resolve, reject) => {
      let cancelTimeout: CancelTimer | undefined;
      const waiter: Waiter = {
        ...request,
        arrivedAt: clock.now(),
        grant: (connection) => {
          cancelTimeout?.();
          resolve(connection);
        },
        fail: (error) => {
          cancelTimeout?.();
          reject(error);
        },
      };
      cancelTimeout = clock.runAfter(request.deadlineAt - clock.now(), () => {
        removeWaiter(waiter);
        reject(new NoConnectionError(`no connection to ${memberId} in time`));
      });
      waiters.push(waiter);
      openForWaiters();
    });
  }

  /** Takes the idle connection that needs the fewest commands to match the session. */
  function takeIdle(request: AcquireOptions): PooledConnection | undefined {
    let best: PooledConnection | undefined;
    let lowestCommandCount = Infinity;
    // Prefer recently used connections, because long-idle ones are more likely to be dead.
    for (const candidate of idle.toReversed()) {
      const commandCount = countVariableCommands(request.session, candidate.state);
      const isUsable = candidate.upstream.isOpen() && canUseConnection(request, candidate);
      if (isUsable && commandCount < lowestCommandCount) {
        best = candidate;
        lowestCommandCount = commandCount;
      }
    }
    if (best) {
      idle.splice(idle.indexOf(best), 1);
      best.usedSince = clock.now();
    }
    return best;
  }

  function openForWaiters(): void {
    if (clock.now() < pausedUntil) return;
    for (const { owner } of findUncoveredStatements(waiters, opening)) {
      if (isClosed || !makeRoom()) return;
      const hasConnections = [...connections].some((connection) => connection.owner === owner);
      const cause = counters.findOpenCause(owner, hasConnections || opening.includes(owner));
      opening.push(owner);
      void openConnection(owner, cause);
    }
  }

  /** Closes an idle connection if there is no room for another one. */
  function makeRoom(): boolean {
    if (!isFull()) return true;
    const evicted = chooseIdleToClose(idle);
    if (evicted) {
      closeConnection(evicted, 'forOther');
      return true;
    }
    raiseLimit();
    return !isFull();
  }

  /** Chooses by usage, or the least recently used one; candidates are in the order of last use. */
  function chooseIdleToClose(candidates: PooledConnection[]): PooledConnection | undefined {
    if (!isChosenByUsage) return candidates[0];
    const others = [...connections].filter((connection) => !candidates.includes(connection));
    return chooseConnectionToClose(candidates, { others, usage, now: clock.now() });
  }

  function closeConnection(connection: PooledConnection, cause: CloseCause): void {
    if (connections.delete(connection)) counters.recordClosed(connection.owner, cause);
    const index = idle.indexOf(connection);
    if (index >= 0) idle.splice(index, 1);
    connection.upstream.close();
  }

  function isFull(): boolean {
    return connections.size + opening.length >= calculateCapacity();
  }

  function raiseLimit(): void {
    const now = clock.now();
    if (!isFull()) return;
    if (now - refusedAt < REFUSAL_MILLISECONDS || now - raisedAt < RAISE_PAUSE_MILLISECONDS) return;
    raisedLimit = Math.min(maximum, calculateCapacity() + 1);
    raisedAt = now;
  }

  async function openConnection(owner: ConnectionOwner, cause: OpenCause): Promise<void> {
    const finishOpening = () => opening.splice(opening.indexOf(owner), 1);
    const startedAt = clock.now();
    try {
      const target = {
        group,
        memberId,
        address,
        team: owner,
        timeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
      };
      const upstream = await driver.connect(target);
      finishOpening();
      if (isClosed) {
        upstream.close();
        return;
      }
      connectTime += CONNECT_TIME_SMOOTHING * (clock.now() - startedAt - connectTime);
      const state = createConnectionState();
      openedCount += 1;
      counters.recordOpened(cause);
      const now = clock.now();
      const connection = {
        number: openedCount,
        upstream,
        owner,
        state,
        idleSince: now,
        usedSince: now,
      };
      connections.add(connection);
      assignConnection(connection);
    } catch (error) {
      finishOpening();
      handleOpenFailure(error as Error);
    }
  }

  function handleOpenFailure(error: Error): void {
    if (error instanceof UpstreamRefusedError && error.reason === 'tooManyConnections') {
      // Other instances hold the remaining connections, and retrying at once would load the member.
      raisedLimit = connections.size;
      refusedAt = clock.now();
      pausedUntil = clock.now() + REFUSAL_RETRY_DELAY_MILLISECONDS;
      logger.warn('connectionPlacesExhausted', { group, memberId, open: connections.size });
      clock.runAfter(REFUSAL_RETRY_DELAY_MILLISECONDS, openForWaiters);
      return;
    }
    logger.warn('connectionNotOpened', { group, memberId, error });
    const failure =
      error instanceof UpstreamLostError ? error : new UpstreamLostError(error.message);
    onUnreachable(failure);
    if (connections.size > 0) return;
    for (const waiter of waiters.splice(0)) waiter.fail(failure);
  }

  function assignConnection(connection: PooledConnection): void {
    const next = chooseWaitingStatement(waiters, connection);
    if (next) {
      removeWaiter(next);
      Object.assign(connection, { usedSince: clock.now() });
      next.grant(connection);
      return;
    }
    Object.assign(connection, { idleSince: clock.now() });
    idle.push(connection);
    openForWaiters();
  }

  function removeWaiter(waiter: Waiter): void {
    const index = waiters.indexOf(waiter);
    if (index >= 0) waiters.splice(index, 1);
  }

  function release(connection: PooledConnection): void {
    if (!connection.upstream.isOpen() || isClosed) {
      discard(connection);
      return;
    }
    const now = clock.now();
    if (isChosenByUsage) usage.record(connection.owner, now - connection.usedSince, now);
    assignConnection(connection);
  }

  function discard(connection: PooledConnection): void {
    closeConnection(connection, 'unusable');
    openForWaiters();
  }

  /** Returns the current connection limit; at least one, so that an empty pool keeps retrying. */
  function calculateCapacity(): number {
    const isRefused = clock.now() - refusedAt < REFUSAL_MILLISECONDS;
    const share = isRefused ? 1 : options.calculateFairShare();
    return Math.max(1, Math.min(maximum, Math.max(share, raisedLimit)));
  }

  function pin(): () => void {
    pinnedCount += 1;
    let isPinned = true;
    return () => {
      if (!isPinned) return;
      isPinned = false;
      pinnedCount -= 1;
      options.onUnpinned();
    };
  }

  function estimateDelay(): number {
    if (connections.size > pinnedCount) return 0;
    return clock.now() - refusedAt < EXPECTED_EXHAUSTION_MILLISECONDS
      ? EXPECTED_EXHAUSTION_MILLISECONDS
      : connectTime;
  }

  /** Callers without a team share all connections; those of a team only what is open for it. */
  function estimateOwnerDelay(owner: ConnectionOwner): number {
    if (owner === undefined || idle.some((connection) => connection.owner === owner)) {
      return estimateDelay();
    }
    return Math.max(connectTime, estimateDelay());
  }

  function maintain(): void {
    openForWaiters();
    closeSurplus();
    usage.removeIdle(clock.now());
    counters.removeOld();
  }

  /** Closes connections above the fair share that have been idle for some time. */
  function closeSurplus(): void {
    const limit = options.isMechanismEnabled('closingIdle')
      ? SHORT_IDLE_MILLISECONDS
      : LONG_IDLE_MILLISECONDS;
    const share = options.isHolder() ? options.calculateFairShare() : 0;
    const isStale = ({ idleSince }: PooledConnection) => clock.now() - idleSince > limit;
    if (!isChosenByUsage) {
      for (const connection of [...idle]) {
        if (!connection.upstream.isOpen()) discard(connection);
        else if (idle.length > share && isStale(connection)) closeIdle(connection);
      }
      return;
    }
    for (const connection of [...idle]) if (!connection.upstream.isOpen()) discard(connection);
    while (idle.length > share) {
      const stale = idle.filter(isStale);
      const surplus = chooseIdleToClose(stale);
      if (!surplus) return;
      closeIdle(surplus);
    }
  }

  function closeIdle(connection: PooledConnection): void {
    closeConnection(connection, 'asIdle');
    openForWaiters();
  }

  return {
    acquire,
    release,
    discard,
    countFreeConnections: () => Math.max(0, calculateCapacity() - pinnedCount),
    pin,
    raiseLimit,
    estimateDelay,
    estimateOwnerDelay,
    setMaximum: (value) => {
      maximum = value;
      raisedLimit = Math.min(raisedLimit, value);
    },
    maintain,
    listConnectionCounts: counters.list,
    close: () => {
      isClosed = true;
      for (const waiter of waiters.splice(0)) waiter.fail(new UpstreamLostError('pool is closed'));
      for (const connection of idle.splice(0)) connection.upstream.close();
    },
  };
}
