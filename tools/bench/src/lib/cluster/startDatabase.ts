import { join } from 'node:path';
import type { Database, ReportedMemberStatus } from '@wisterialift/schema';
import type { FaultSettings } from '@wisterialift/stand-in-database';
import { requestJson } from './requestJson';
import { startStandIn } from './startProgram';
import type { ProgramProcess } from './startProgram';
import { DATABASE_ACCOUNT } from './trialConfiguration';
import type { TrialOptions } from './trialOptions';

/** Faults that a database can be given. */
export type DatabaseFaults = FaultSettings;

/** What a database tells of itself at its control port. @public */
export interface DatabaseHealth {
  status: ReportedMemberStatus;
  connections: number;
  /** Statements that it ran since its start, by kind. */
  statements: Record<string, number>;
}

/** A database of a trial. @public */
export interface TrialDatabase extends Database {
  group: string;
  controlPort: number;
  /** The present process; another one after a restart. */
  program: () => ProgramProcess;
  changeFaults: (faults: Partial<DatabaseFaults>) => Promise<void>;
  health: () => Promise<DatabaseHealth>;
  /** Committed rows. */
  readRows: <Row>(sql: string) => Promise<Row[]>;
  /** Starts the process again with the log that it kept; end it before. */
  restart: () => Promise<void>;
}

/** Where a database of a trial stands. */
export interface DatabasePlace {
  name: string;
  group: string;
  dataCentre: string;
  port: number;
  controlPort: number;
  /** Directory of the trial. */
  directory: string;
  /** Undefined for the first primary. */
  follow?: { name: string; port: number };
  preload: string[];
}

/** Starts a database process. */
export async function startDatabase(
  options: TrialOptions,
  place: DatabasePlace,
): Promise<TrialDatabase> {
  const { name, group, dataCentre, port, controlPort, preload } = place;
  const control = `http://127.0.0.1:${controlPort}`;
  const programArguments = createArguments(options, place);

  async function start(): Promise<ProgramProcess> {
    const { program } = await startStandIn({
      program: 'stand-in-database',
      programArguments,
      preload,
    });
    return program;
  }

  let program = await start();

  return {
    name,
    group,
    dataCentre,
    host: '127.0.0.1',
    port,
    controlPort,
    connectionLimit: options.connectionLimit,
    slots: options.slots,
    leaving: false,
    program: () => program,
    changeFaults: async (body) => {
      await requestJson(`${control}/faults`, { method: 'PUT', body });
    },
    health: () => requestJson<DatabaseHealth>(`${control}/health`),
    readRows: async <Row>(sql: string) => {
      const answer = await requestJson<{ rows: Row[] }>(
        `${control}/rows?sql=${encodeURIComponent(sql)}`,
      );
      return answer.rows;
    },
    restart: async () => {
      program = await start();
    },
  };
}

function createArguments(options: TrialOptions, place: DatabasePlace): string[] {
  const { follow } = place;
  const role = follow
    ? ['--follow', `${follow.name}@127.0.0.1:${follow.port}`, '--term', '1']
    : ['--primary-term', '1', '--schema-sql', options.schemaSql];
  return [
    ...['--name', place.name, '--port', String(place.port)],
    ...['--control-port', String(place.controlPort)],
    ...['--user', DATABASE_ACCOUNT.user, '--password', DATABASE_ACCOUNT.password],
    ...['--slots', String(options.slots)],
    ...['--connection-limit', String(options.connectionLimit)],
    ...['--connect-milliseconds', String(options.connectMilliseconds)],
    ...['--service-milliseconds', String(options.serviceMilliseconds)],
    ...['--directory', join(place.directory, place.name)],
    ...role,
  ];
}
