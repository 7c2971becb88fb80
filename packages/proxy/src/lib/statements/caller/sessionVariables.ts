import type { Assignment, Session } from '@wisterialift/core';
import type { SqlError } from '@wisterialift/mysql';
import { callerError } from './callerErrors';

/** What the variables of a session are read from. @internal */
export interface VariableSources {
  connectionId: number;
  caller: string;
  group: string | undefined;
  session: Session;
  lastInsertId: number;
  maximumPacketBytes: number;
}

type ReadVariable = (sources: VariableSources) => string | null;

const VERSION = '8.0.0-wisterialift';
const CHARACTER_SET = 'utf8mb4';
const COLLATION = 'utf8mb4_general_ci';

const constant =
  (value: string): ReadVariable =>
  () =>
    value;

/**
 * Variables that the proxy answers for. Drivers ask for them when they connect; no database
 * connection stands behind a session, so a database could only tell of some other session.
 */
const variables: Record<string, ReadVariable> = {
  auto_increment_increment: constant('1'),
  autocommit: constant('1'),
  character_set_client: constant(CHARACTER_SET),
  character_set_connection: constant(CHARACTER_SET),
  character_set_results: constant(CHARACTER_SET),
  character_set_server: constant(CHARACTER_SET),
  collation_connection: constant(COLLATION),
  collation_server: constant(COLLATION),
  identity: ({ lastInsertId }) => String(lastInsertId),
  init_connect: constant(''),
  interactive_timeout: constant('28800'),
  last_insert_id: ({ lastInsertId }) => String(lastInsertId),
  license: constant('Apache-2.0'),
  lower_case_table_names: constant('0'),
  max_allowed_packet: ({ maximumPacketBytes }) => String(maximumPacketBytes),
  net_write_timeout: constant('60'),
  performance_schema: constant('0'),
  read_only: constant('0'),
  session_track_system_variables: constant('wisterialift_token'),
  sql_mode: constant('STRICT_TRANS_TABLES'),
  system_time_zone: constant('UTC'),
  time_zone: constant('SYSTEM'),
  transaction_isolation: constant('REPEATABLE-READ'),
  tx_isolation: constant('REPEATABLE-READ'),
  version: constant(VERSION),
  version_comment: constant('wisterialift'),
  wait_timeout: constant('28800'),
  wisterialift_kind: ({ session }) => session.kind ?? '',
  wisterialift_session: ({ session }) => session.name ?? '',
  wisterialift_token: ({ session }) => session.token(),
  'connection_id()': ({ connectionId }) => String(connectionId),
  'current_user()': ({ caller }) => `${caller}@%`,
  'database()': ({ group }) => group ?? null,
  'last_insert_id()': ({ lastInsertId }) => String(lastInsertId),
  'schema()': ({ group }) => group ?? null,
  'user()': ({ caller }) => `${caller}@%`,
  'version()': constant(VERSION),
};

/** Reads a variable; undefined where the proxy has none of that name. @internal */
export function readVariable(name: string, sources: VariableSources): string | null | undefined {
  return Object.hasOwn(variables, name) ? variables[name]?.(sources) : undefined;
}

/** Names and values of the variables that match a pattern of LIKE. @internal */
export function listVariables(pattern: string, sources: VariableSources): [string, string][] {
  const form = toRegularExpression(pattern);
  return Object.keys(variables)
    .filter((name) => !name.endsWith(')') && form.test(name))
    .map((name) => [name, readVariable(name, sources) ?? '']);
}

function toRegularExpression(pattern: string): RegExp {
  const escaped = pattern.replaceAll(/[.*+?^${}()|[\]]/g, String.raw`\$&`);
  const text = escaped
    .replaceAll(/(?<!\\)%/g, '.*')
    .replaceAll(/(?<!\\)_/g, '.')
    .replaceAll(/\\([%_])/g, '$1');
  return new RegExp(`^${text}$`, 'i');
}

const utf8Names: ReadonlySet<string> = new Set(['utf8', 'utf8mb3', 'utf8mb4', 'default', 'binary']);
const isUtf8 = (value: string): boolean => utf8Names.has(value.toLowerCase());
const isOn = (value: string): boolean => /^(1|on|true|default)$/i.test(value);
const isOff = (value: string): boolean => /^(0|off|false|default)$/i.test(value);
const isAnything = (): boolean => true;

/** Values that a session already has, or that change nothing about its statements. */
const acceptedValues: Record<string, (value: string) => boolean> = {
  names: isUtf8,
  character_set_client: isUtf8,
  character_set_connection: isUtf8,
  character_set_results: (value) => isUtf8(value) || value.toLowerCase() === 'null',
  collation_connection: (value) => /^utf8/i.test(value),
  autocommit: isOn,
  sql_auto_is_null: isOff,
  net_read_timeout: isAnything,
  net_write_timeout: isAnything,
  wait_timeout: isAnything,
  interactive_timeout: isAnything,
};

/**
 * Judges the assignment of a variable that is not the session's own.
 *
 * @returns the error that refuses it, or undefined where it holds already.
 * @internal
 */
export function checkAssignment({ scope, name, value }: Assignment): SqlError | undefined {
  const isOwnScope = scope === 'session' || scope === 'names';
  const isAccepted = isOwnScope && Object.hasOwn(acceptedValues, name);
  if (isAccepted && acceptedValues[name]?.(value)) return undefined;
  return callerError(
    'unsupported',
    `Connections to databases are shared, so SET ${name} to ${value} is not supported`,
  );
}
