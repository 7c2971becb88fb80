import { parseArgs } from 'node:util';
import { DEFAULT_DATABASE_OPTIONS, createStandInDatabase } from './lib/createStandInDatabase';
import type { StandInDatabaseOptions } from './lib/createStandInDatabase';

const USAGE = `stand-in-database --name NAME [--host H] [--port P] [--control-port C]
  [--user U] [--password P] [--slots N] [--connection-limit N] [--connect-milliseconds N]
  [--service-milliseconds N] [--directory D] [--primary-term T]
  [--follow NAME@HOST:PORT --term T] [--schema-sql SQL]`;

/** Reads the arguments of the program. */
function readOptions(): StandInDatabaseOptions {
  const { values } = parseArgs({
    options: {
      name: { type: 'string' },
      host: { type: 'string', default: DEFAULT_DATABASE_OPTIONS.host },
      port: { type: 'string', default: '0' },
      'control-port': { type: 'string', default: '0' },
      user: { type: 'string', default: DEFAULT_DATABASE_OPTIONS.user },
      password: { type: 'string', default: DEFAULT_DATABASE_OPTIONS.password },
      slots: { type: 'string', default: String(DEFAULT_DATABASE_OPTIONS.slots) },
      'connection-limit': {
        type: 'string',
        default: String(DEFAULT_DATABASE_OPTIONS.connectionLimit),
      },
      'connect-milliseconds': { type: 'string', default: '0' },
      'service-milliseconds': { type: 'string', default: '0' },
      directory: { type: 'string' },
      'primary-term': { type: 'string' },
      follow: { type: 'string' },
      term: { type: 'string', default: '1' },
      'schema-sql': { type: 'string' },
    },
  });
  if (values.name === undefined) throw new Error('--name is missing');
  return {
    name: values.name,
    host: values.host,
    port: readNumber('port', values.port),
    controlPort: readNumber('control-port', values['control-port']),
    user: values.user,
    password: values.password,
    slots: readNumber('slots', values.slots),
    connectionLimit: readNumber('connection-limit', values['connection-limit']),
    connectMilliseconds: readNumber('connect-milliseconds', values['connect-milliseconds']),
    directory: values.directory,
    primaryTerm:
      values['primary-term'] === undefined
        ? undefined
        : readNumber('primary-term', values['primary-term']),
    follow: readFollow(values.follow, readNumber('term', values.term)),
    schemaSql: values['schema-sql'],
    faults: {
      serviceMilliseconds: readNumber('service-milliseconds', values['service-milliseconds']),
    },
  };
}

function readNumber(name: string, text: string): number {
  const value = Number(text);
  if (text === '' || !Number.isFinite(value) || value < 0) {
    throw new Error(`--${name}: "${text}" is not a number of 0 or more`);
  }
  return value;
}

function readFollow(text: string | undefined, term: number): StandInDatabaseOptions['follow'] {
  if (text === undefined) return undefined;
  const [name = '', address = ''] = text.split('@');
  if (name === '' || !/:\d+$/.test(address)) {
    throw new Error(`--follow: "${text}" is not NAME@HOST:PORT`);
  }
  return { name, address, term };
}

async function main(): Promise<void> {
  const database = await createStandInDatabase(readOptions());
  const { port, controlPort } = database;
  process.stdout.write(`${JSON.stringify({ event: 'ready', port, controlPort })}\n`);
  ['SIGTERM', 'SIGINT'].forEach((signal) => {
    process.once(signal, () => {
      void database.stop().then(() => process.exit(0));
    });
  });
}

main().catch((error: unknown) => {
  const reason = error instanceof Error ? error.message : String(error);
  process.stderr.write(`${reason}\n${USAGE}\n`);
  process.exitCode = 2;
});
