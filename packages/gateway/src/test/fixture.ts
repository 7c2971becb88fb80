import type { Logger } from '@wisterialift/telemetry';
import { createProcessClock } from '../index';
import type { GatewayOptions } from '../index';

export const GROUP = 'group-1';

export const nothing = () => undefined;

/** A logger whose lines all go to one function. */
export function createTestLogger(write: (event: string) => void = nothing): Logger {
  return { trace: write, debug: write, info: write, warn: write, error: write };
}

/** Options of a gateway without members, callers or other instances; a test changes what it is about. */
export function createIdleOptions(changes: Partial<GatewayOptions> = {}): GatewayOptions {
  return {
    instance: 'instance-1',
    dataCentre: 'zone-1',
    times: { stopGrace: 6_000, missingGrace: 2_500, leavingBound: 7_000 },
    clock: createProcessClock(),
    random: () => 0,
    logger: createTestLogger(),
    driver: { connect: () => Promise.reject(new Error('no member')), readReport: nothing },
    directory: { follow: ({ onChange }) => onChange([], { isFresh: true, newSince: undefined }) },
    configuration: {
      follow: (onChange) =>
        onChange({
          version: 3,
          routes: new Map(),
          groups: new Map([[GROUP, { name: GROUP, maximumConnections: 20 }]]),
          transactionIdle: 3_000,
        }),
    },
    store: { read: async () => undefined, replace: async () => ({ type: 'unknown' }) },
    orders: { promote: async () => 'unknown' },
    registry: { follow: nothing, reportGone: nothing },
    transport: {
      open: () => ({ send: nothing, close: nothing }),
      listen: nothing,
      close: nothing,
    },
    onAnswered: nothing,
    ...changes,
  };
}
