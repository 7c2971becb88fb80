import type { RelayRequest, RelayRoute, RelayStatement } from '@wisterialift/peer/relay';
import type { Logger } from '@wisterialift/telemetry';
import { createProcessClock } from '../index';
import type { GatewayOptions, Route } from '../index';
import type { SequencedTime } from '../lib/groups/groupContext';

export const GROUP = 'group-1';

export const noop = () => undefined;

/** A route of the test group whose reads are those of the primary; `changes` override its fields. */
export function createTestRoute(changes: Partial<Route> = {}): Route {
  return {
    database: 'history',
    group: GROUP,
    consistency: 'primary',
    maximumStaleness: 0,
    timeout: 1_000,
    goal: 500,
    priority: 1,
    ...changes,
  };
}

/** Creates the stamp of an event at `at`, in milliseconds of two clocks that agree. */
export function createTestStamp(at: number, sequence = 0): SequencedTime {
  return { sequence, at, readings: { monotonic: at, wall: at } };
}

/** Creates a request of another instance that asks for nothing; `content` overrides its fields. */
export function createRelayRequest(content: Partial<RelayRequest> = {}): RelayRequest {
  return {
    number: 1,
    statement: undefined,
    rolledBackTransaction: 0,
    wantsConfiguration: false,
    configurationJson: '',
    permits: undefined,
    primaryProbe: undefined,
    ...content,
  };
}

/** The first statement of a relayed transaction; `changes` and `route` override its fields. */
export function createRelayStatement(
  changes: Partial<Omit<RelayStatement, 'route'>> = {},
  route: Partial<RelayRoute> = {},
): RelayStatement {
  return {
    action: 'run',
    transaction: 1,
    isFirst: true,
    isReadOnly: false,
    id: 'q1',
    text: 'READ lamp-1',
    prepared: undefined,
    team: '',
    values: [],
    sessionVersion: 0,
    lastCommit: undefined,
    timeLeftMilliseconds: 1_000,
    route: {
      database: 'history',
      version: 3,
      group: GROUP,
      consistency: 'primary',
      maximumStalenessMilliseconds: 0,
      timeoutMilliseconds: 1_000,
      goalMilliseconds: 500,
      priority: 1,
      ...route,
    },
    ...changes,
  };
}

/** Creates a logger that passes every line to `write`. */
export function createTestLogger(
  write: (event: string, fields?: Record<string, unknown>) => void = noop,
): Logger {
  return { trace: write, debug: write, info: write, warn: write, error: write };
}

/** Gateway options without members, callers or other instances; `changes` override them. */
export function createTestOptions(changes: Partial<GatewayOptions> = {}): GatewayOptions {
  return {
    instance: 'instance-1',
    dataCentre: 'zone-1',
    times: {
      stopGracePeriodMilliseconds: 6_000,
      missingMemberRetentionMilliseconds: 2_500,
      leavingGracePeriodMilliseconds: 7_000,
    },
    clock: createProcessClock(),
    random: () => 0,
    logger: createTestLogger(),
    driver: { connect: () => Promise.reject(new Error('no member')), readReport: noop },
    directory: {
      subscribe: ({ onChange }) =>
        onChange([], { isFresh: true, changedAfter: undefined, completeAt: undefined }),
      refresh: async () => undefined,
    },
    configuration: {
      refresh: async () => undefined,
      isFresh: () => true,
      isCurrent: () => true,
      subscribe: ({ onChange }) =>
        onChange({
          version: 3,
          routes: new Map(),
          groups: new Map([[GROUP, { name: GROUP, maximumConnections: 20 }]]),
          transactionIdle: 3_000,
        }),
    },
    store: { read: async () => undefined, replace: async () => ({ type: 'unknown' }) },
    memberRegisters: { read: async () => undefined, replace: async () => ({ type: 'unknown' }) },
    orders: { promote: async () => 'unknown' },
    registry: { registerInstance: noop, reportUnreachable: noop },
    transport: {
      open: () => ({ send: noop, close: noop }),
      listen: noop,
      hasUnsentData: () => false,
      close: noop,
    },
    limitTolerance: { windowMilliseconds: 5_000, excess: 0.1, slack: 20 },
    onAnswered: noop,
    ...changes,
  };
}
