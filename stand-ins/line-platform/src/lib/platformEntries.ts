import type { LineMember } from './lineGroup';
import type { ObjectStoreServer } from './objectStoreServer';

/** Database names of the three kinds of route. */
export const DATABASES = { primary: 'writes', aged: 'history', own: 'filing' } as const;

/** How old a read of each database may be, in milliseconds. */
export const STALENESS: Record<(typeof DATABASES)[keyof typeof DATABASES], number> = {
  writes: 0,
  history: 1_500,
  filing: 2_500,
};

const ROUTE_TYPES = {
  writes: 'primary',
  history: 'bounded_staleness',
  filing: 'read_your_writes',
} as const;

/** Time after which a transaction without a statement may be ended. */
const TRANSACTION_IDLE_MILLISECONDS = 3_000;

export interface ConfigurationChanges {
  /** A database that the version has no route for. */
  without?: string;
  /** Limit of a statement, in milliseconds. */
  timeout?: number;
  maximumConnections?: number;
  /** Teams of callers; left out, callers need no key. */
  teams?: TeamEntry[];
  /** A database that needs no key although there are teams. */
  publicDatabase?: string;
}

/** A team of callers as the operator writes it. */
export interface TeamEntry {
  name: string;
  keys: string[];
  /** Operations a second, and how many may come at once. */
  rate?: number;
  burst?: number;
}

/** What the platform, its operator and its databases write, for one group. */
export interface PlatformEntries {
  /** The entry that a database writes of itself. */
  listMember: (
    member: LineMember,
    entry: { address: string; isLeaving: boolean; startedAt?: number },
  ) => void;
  /** The next version of the configuration. */
  configure: (changes?: ConfigurationChanges) => void;
}

export function createPlatformEntries(store: ObjectStoreServer, group: string): PlatformEntries {
  let version = 0;

  return {
    listMember: (member, { address, isLeaving, startedAt }) => {
      store.put('servers', member.id, {
        service: group,
        address,
        zone: 'zone-1',
        slots: 5,
        state: isLeaving ? 'draining' : 'ready',
        db_role: member.role,
        born: startedAt,
      });
    },
    configure: (changes = {}) => {
      const { without, timeout = 1_000, maximumConnections = 30, teams, publicDatabase } = changes;
      version += 3;
      const routes = Object.values(DATABASES)
        .filter((host) => host !== without)
        .map((host) => ({
          host,
          service: group,
          route_type: ROUTE_TYPES[host],
          max_staleness_ms: STALENESS[host],
          timeout_ms: timeout,
          priority: 1,
          public: host === publicDatabase,
        }));
      const tenants = teams?.map(({ name, keys, rate = 1_000, burst = 1_000 }) => ({
        name,
        api_keys: keys,
        rate_per_s: rate,
        burst,
        priority: 1,
      }));
      store.put('config', 'main', {
        version,
        routes,
        services: [{ name: group, max_conns: maximumConnections }],
        limits: { tx_idle_ms: TRANSACTION_IDLE_MILLISECONDS },
        tenants,
      });
    },
  };
}

/** Where one instance listens and what it connects to. */
export interface InstanceSettings {
  instance: string;
  callers: string;
  readiness: string;
  relayPort: number;
  store: string;
  orders: string;
  /** Time from the request to stop until the end by force, in seconds. */
  stopGrace?: number;
}

/** The settings that the platform writes for an instance. */
export function writeInstanceSettings(settings: InstanceSettings): string {
  const { instance, callers, readiness, relayPort, store, orders, stopGrace = 6 } = settings;
  return [
    `node_name=${instance}`,
    'zone=zone-1',
    'ip=127.0.0.1',
    `internal_ports=${relayPort},${relayPort}`,
    `bounds.grace_s=${stopGrace}`,
    'bounds.quota_window_s=5',
    'bounds.quota_excess=0.1',
    'bounds.quota_slack=20',
    'bootstrap=true',
    `listen.frontend=${callers}`,
    `listen.readiness=${readiness}`,
    `platform.address=${store}`,
    `cloud_api.address=${orders}`,
    '',
  ].join('\n');
}
