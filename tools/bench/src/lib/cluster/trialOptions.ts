import type { Configuration } from '@wisterialift/schema';

/** A data centre of a trial and the region that it lies in. @public */
export interface TrialDataCentre {
  name: string;
  region: string;
}

/** A caller of a trial, with the password that the configuration keeps as a hash. @public */
export interface TrialCaller {
  name: string;
  password: string;
}

/** The links between data centres; relays delay what passes over them. @public */
export interface TrialLinks {
  /** One way, in milliseconds. */
  delayMilliseconds: number;
  /** Added at random, in milliseconds. */
  jitterMilliseconds: number;
  /** Share of pieces that are sent again after a loss. */
  loss: number;
}

/** What a trial consists of. @public */
export interface TrialOptions {
  /** Names of the upstream groups. */
  groups: string[];
  databasesPerGroup: number;
  proxies: number;
  dataCentres: TrialDataCentre[];
  slots: number;
  connectionLimit: number;
  /** Time until a database greets a new connection. */
  connectMilliseconds: number;
  /** Time that a statement keeps a slot. */
  serviceMilliseconds: number;
  schemaSql: string;
  caller: TrialCaller;
  kinds: Configuration['kinds'];
  serviceLevels: Configuration['serviceLevels'];
  /** Without it every process reaches every other directly. */
  links?: TrialLinks;
  /** Tables of the proxies' settings that differ from the defaults, by name and key. */
  settings: Record<string, Record<string, string | number>>;
}

/** A small trial: one group of three, two proxies, no delays. @public */
export const DEFAULT_TRIAL_OPTIONS: TrialOptions = {
  groups: ['archivio-luci-1'],
  databasesPerGroup: 3,
  proxies: 2,
  dataCentres: [
    { name: 'sesto-dc', region: 'lomb-nord' },
    { name: 'mestre-dc', region: 'triveneto' },
    { name: 'modena-dc', region: 'emilia-rom' },
  ],
  slots: 5,
  connectionLimit: 30,
  connectMilliseconds: 12,
  serviceMilliseconds: 0,
  // An id may stand twice, so that a write which ran twice shows.
  schemaSql: `CREATE TABLE records
    (number INT AUTO_INCREMENT PRIMARY KEY, id VARCHAR(64), session VARCHAR(64), note VARCHAR(200));
    CREATE INDEX records_by_id ON records (id);
    CREATE INDEX records_by_session ON records (session)`,
  caller: { name: 'technician', password: 'technician-password' },
  kinds: {
    history: {
      maximumStalenessMilliseconds: 0,
      deadlineMilliseconds: 5_000,
      priority: 5,
      isRepeatable: true,
    },
    lookup: {
      maximumStalenessMilliseconds: 10_000,
      deadlineMilliseconds: 5_000,
      priority: 5,
      isRepeatable: true,
    },
    urgent: {
      maximumStalenessMilliseconds: 10_000,
      deadlineMilliseconds: 300,
      priority: 5,
      isRepeatable: true,
    },
    issue: {
      maximumStalenessMilliseconds: 0,
      deadlineMilliseconds: 5_000,
      priority: 7,
      isRepeatable: false,
    },
  },
  serviceLevels: [],
  settings: {},
};

/** The sizes of the Consorzio: three groups of three, 5 slots, 30 connections, 7 proxies. @public */
export const CONSORZIO_OPTIONS: TrialOptions = {
  ...DEFAULT_TRIAL_OPTIONS,
  groups: ['archivio-luci-1', 'archivio-luci-2', 'archivio-luci-3'],
  proxies: 7,
  links: { delayMilliseconds: 12, jitterMilliseconds: 2, loss: 0 },
};

/** The sizes of the Badan: three groups of three, 3 slots, 40 connections, 7 proxies. @public */
export const BADAN_OPTIONS: TrialOptions = {
  ...DEFAULT_TRIAL_OPTIONS,
  groups: ['sertifikat-db-1', 'sertifikat-db-2', 'sertifikat-db-3'],
  proxies: 7,
  dataCentres: [
    { name: 'cirebon', region: 'jawa-barat' },
    { name: 'surabaya', region: 'jawa-timur' },
    { name: 'semarang', region: 'jawa-tengah' },
  ],
  slots: 3,
  connectionLimit: 40,
  links: { delayMilliseconds: 20, jitterMilliseconds: 4, loss: 0 },
};
