import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Database } from '@wisterialift/schema';
import { createConnection } from 'mysql2/promise';
import type { Connection } from 'mysql2/promise';
import { findFreePorts } from './freePorts';
import { startDatabase } from './startDatabase';
import type { TrialDatabase } from './startDatabase';
import { startLinks } from './startLinks';
import type { TrialLinkProcess } from './startLinks';
import { startPlatform } from './startPlatform';
import type { TrialPlatform } from './startPlatform';
import type { ProgramProcess } from './startProgram';
import { startProxy } from './startProxy';
import type { TrialProxy } from './startProxy';
import { DATABASE_ACCOUNT, createTrialConfiguration } from './trialConfiguration';
import { DEFAULT_TRIAL_OPTIONS } from './trialOptions';
import type { TrialDataCentre, TrialOptions } from './trialOptions';

const ADMINISTRATION_TOKEN = 'administration-token';
const CONNECT_TIMEOUT_MILLISECONDS = 5_000;
/** Account that the connection limit of the stand-in leaves out, so that a baseline takes no places. */
const UNCOUNTED_USER = 'replication';

/** A running platform, databases and proxies, each a process of its own. @public */
export interface Trial {
  options: TrialOptions;
  platform: TrialPlatform;
  /** Ordered by group; the first of each group starts as its primary. */
  databases: TrialDatabase[];
  proxies: TrialProxy[];
  databasesOf: (group: string) => TrialDatabase[];
  /** The member of the group that is the primary of the highest term, or undefined. */
  findPrimary: (group: string) => Promise<TrialDatabase | undefined>;
  /** Opens a connection of the caller to a proxy; end it before the trial. */
  connectToProxy: (proxy: TrialProxy, group: string) => Promise<Connection>;
  /** Opens a connection to a database, past every proxy, over the links of a data centre if given. */
  connectToDatabase: (database: TrialDatabase, dataCentre?: string) => Promise<Connection>;
  /** Ends every process that the trial started and removes its files. */
  stop: () => Promise<void>;
}

/** Port numbers of what a trial starts, found before so that each can be told the others'. */
interface TrialPlan {
  directory: string;
  databases: PlannedDatabase[];
  proxies: PlannedProxy[];
}

interface PlannedDatabase {
  name: string;
  group: string;
  dataCentre: string;
  port: number;
  controlPort: number;
}

interface PlannedProxy {
  name: string;
  dataCentre: string;
  region: string;
  callersPort: number;
  peersPort: number;
  administrationPort: number;
}

/**
 * Starts a trial with real processes on loopback addresses. Databases and proxies are spread over
 * the data centres in turn.
 *
 * @example
 * const trial = await startTrial({ proxies: 2 });
 * const connection = await trial.connectToProxy(trial.proxies[0], 'archivio-luci-1');
 * await trial.stop();
 *
 * @throws ProgramError where a process does not get ready; those already started are ended.
 * @public
 */
export async function startTrial(changes: Partial<TrialOptions> = {}): Promise<Trial> {
  const options = { ...DEFAULT_TRIAL_OPTIONS, ...changes };
  const plan = await planTrial(options);
  const started: (() => ProgramProcess)[] = [];
  const removeFiles = (): void => rmSync(plan.directory, { recursive: true, force: true });
  process.once('exit', removeFiles);
  const stop = async (): Promise<void> => {
    await Promise.all(started.map((program) => program().kill()));
    process.off('exit', removeFiles);
    removeFiles();
  };
  try {
    return await startAll({ options, plan, started, stop });
  } catch (error) {
    await stop();
    throw error;
  }
}

interface StartAllOptions {
  options: TrialOptions;
  plan: TrialPlan;
  /** Filled with what was started, so that a failure in the middle leaves nothing behind. */
  started: (() => ProgramProcess)[];
  stop: () => Promise<void>;
}

async function startAll({ options, plan, started, stop }: StartAllOptions): Promise<Trial> {
  const platform = await startPlatform();
  started.push(() => platform.program);
  const links = await startLinksOf(options, plan);
  if (links) started.push(() => links.program);

  const databases = await settleAll(
    plan.databases.map(async (planned) => {
      const database = await startDatabase(options, {
        ...planned,
        directory: plan.directory,
        follow: findFirstPrimary(plan, planned),
        preload: links?.preloadOf(planned.dataCentre) ?? [],
      });
      started.push(database.program);
      return database;
    }),
  );
  const byGroup = groupDatabases(options, databases);
  await platform.putConfiguration(createTrialConfiguration(options, byGroup));
  const proxies = await settleAll(
    plan.proxies.map(async (planned) => {
      const proxy = await startProxy(options, {
        ...planned,
        administrationToken: ADMINISTRATION_TOKEN,
        platformAddress: platform.address,
        directory: plan.directory,
        preload: links?.preloadOf(planned.dataCentre) ?? [],
      });
      started.push(proxy.program);
      return proxy;
    }),
  );

  const databasesOf = (group: string): TrialDatabase[] =>
    databases.filter((database) => database.group === group);

  return {
    options,
    platform,
    databases,
    proxies,
    databasesOf,
    findPrimary: (group) => findPrimary(databasesOf(group)),
    connectToProxy: (proxy, group) =>
      openConnection({
        port: proxy.callersPort,
        user: options.caller.name,
        password: options.caller.password,
        database: group,
      }),
    connectToDatabase: (database, dataCentre) =>
      openConnection({
        port:
          dataCentre === undefined || !links
            ? database.port
            : links.portFor(dataCentre, database.port),
        user: UNCOUNTED_USER,
        password: DATABASE_ACCOUNT.password,
      }),
    stop,
  };
}

/** Waits for all, so that a failure finds what the others started in the list. */
async function settleAll<Value>(promises: Promise<Value>[]): Promise<Value[]> {
  await Promise.allSettled(promises);
  return Promise.all(promises);
}

async function openConnection(options: {
  port: number;
  user: string;
  password: string;
  database?: string;
}): Promise<Connection> {
  const connection = await createConnection({
    host: '127.0.0.1',
    connectTimeout: CONNECT_TIMEOUT_MILLISECONDS,
    ...options,
  });
  // A connection that breaks off fails its statement; the event has no other receiver.
  connection.on('error', () => undefined);
  return connection;
}

async function planTrial(options: TrialOptions): Promise<TrialPlan> {
  const { groups, databasesPerGroup, proxies } = options;
  const databaseCount = groups.length * databasesPerGroup;
  const ports = await findFreePorts(databaseCount * 2 + proxies * 3);
  const takePort = (): number => ports.pop() ?? 0;
  const dataCentreOf = (index: number): TrialDataCentre =>
    options.dataCentres[index % options.dataCentres.length] ?? { name: 'local', region: 'local' };
  return {
    directory: mkdtempSync(join(tmpdir(), 'wisterialift-trial-')),
    databases: groups.flatMap((group, groupIndex) =>
      Array.from({ length: databasesPerGroup }, (_, index) => ({
        name: `${group}-${String.fromCharCode(97 + index)}`,
        group,
        dataCentre: dataCentreOf(groupIndex + index).name,
        port: takePort(),
        controlPort: takePort(),
      })),
    ),
    proxies: Array.from({ length: proxies }, (_, index) => ({
      name: `proxy-${index + 1}`,
      dataCentre: dataCentreOf(index).name,
      region: dataCentreOf(index).region,
      callersPort: takePort(),
      peersPort: takePort(),
      administrationPort: takePort(),
    })),
  };
}

async function startLinksOf(
  options: TrialOptions,
  plan: TrialPlan,
): Promise<TrialLinkProcess | undefined> {
  if (!options.links) return undefined;
  return startLinks({
    links: options.links,
    dataCentres: options.dataCentres.map(({ name }) => name),
    ports: [
      ...plan.databases.map(({ port, dataCentre }) => ({ port, dataCentre })),
      ...plan.proxies.map(({ peersPort, dataCentre }) => ({ port: peersPort, dataCentre })),
    ],
    directory: plan.directory,
  });
}

function findFirstPrimary(
  plan: TrialPlan,
  { group, name }: PlannedDatabase,
): { name: string; port: number } | undefined {
  const first = plan.databases.find((database) => database.group === group);
  return first === undefined || first.name === name ? undefined : first;
}

function groupDatabases(
  options: TrialOptions,
  databases: TrialDatabase[],
): Record<string, Database[]> {
  return Object.fromEntries(
    options.groups.map((group) => [
      group,
      databases
        .filter((database) => database.group === group)
        .map(({ name, host, port, dataCentre, connectionLimit, slots, leaving }) => ({
          name,
          host,
          port,
          dataCentre,
          connectionLimit,
          slots,
          leaving,
        })),
    ]),
  );
}

async function findPrimary(members: TrialDatabase[]): Promise<TrialDatabase | undefined> {
  const answers = await Promise.all(
    members.map(async (member) => {
      const health = await member.health().catch(() => undefined);
      return health && { member, status: health.status };
    }),
  );
  const primaries = answers.flatMap((answer) =>
    answer?.status.role === 'primary' ? [answer] : [],
  );
  primaries.sort((left, right) => right.status.currentTerm - left.status.currentTerm);
  return primaries[0]?.member;
}
