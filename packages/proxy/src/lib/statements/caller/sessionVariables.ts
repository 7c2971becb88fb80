import type { Assignment, Session } from '@wisterialift/core';
import type { SqlError } from '@wisterialift/mysql';
import { lookUp } from '@wisterialift/schema';
import { createCallerError } from './callerErrors';
import { createLikeMatcher } from './likePattern';

/** State from which session variables are read. @internal */
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

const createConstant =
  (value: string): ReadVariable =>
  () =>
    value;

/**
 * Variables that the proxy answers itself. Drivers read them when they connect, and a caller session
 * has no database session of its own.
 */
const variables: Record<string, ReadVariable> = {
  auto_increment_increment: createConstant('1'),
  autocommit: createConstant('1'),
  character_set_client: createConstant(CHARACTER_SET),
  character_set_connection: createConstant(CHARACTER_SET),
  character_set_results: createConstant(CHARACTER_SET),
  character_set_server: createConstant(CHARACTER_SET),
  collation_connection: createConstant(COLLATION),
  collation_server: createConstant(COLLATION),
  identity: ({ lastInsertId }) => String(lastInsertId),
  init_connect: createConstant(''),
  interactive_timeout: createConstant('28800'),
  last_insert_id: ({ lastInsertId }) => String(lastInsertId),
  license: createConstant('Apache-2.0'),
  lower_case_table_names: createConstant('0'),
  max_allowed_packet: ({ maximumPacketBytes }) => String(maximumPacketBytes),
  net_write_timeout: createConstant('60'),
  performance_schema: createConstant('0'),
  read_only: createConstant('0'),
  session_track_system_variables: createConstant('wisterialift_token'),
  sql_mode: createConstant('STRICT_TRANS_TABLES'),
  system_time_zone: createConstant('UTC'),
  time_zone: createConstant('SYSTEM'),
  transaction_isolation: createConstant('REPEATABLE-READ'),
  tx_isolation: createConstant('REPEATABLE-READ'),
  version: createConstant(VERSION),
  version_comment: createConstant('wisterialift'),
  wait_timeout: createConstant('28800'),
  wisterialift_kind: ({ session }) => session.kind ?? '',
  wisterialift_session: ({ session }) => session.name ?? '',
  wisterialift_token: ({ session }) => session.createToken(),
  'connection_id()': ({ connectionId }) => String(connectionId),
  'current_user()': ({ caller }) => `${caller}@%`,
  'database()': ({ group }) => group ?? null,
  'last_insert_id()': ({ lastInsertId }) => String(lastInsertId),
  'schema()': ({ group }) => group ?? null,
  'user()': ({ caller }) => `${caller}@%`,
  'version()': createConstant(VERSION),
};

/** @returns the value of a variable, or undefined if there is no such variable. @internal */
export function readVariable(name: string, sources: VariableSources): string | null | undefined {
  return lookUp(variables, name)?.(sources);
}

/** @returns names and values of the variables that match a LIKE pattern. @internal */
export function listVariables(pattern: string, sources: VariableSources): [string, string][] {
  const matches = createLikeMatcher(pattern);
  return Object.keys(variables)
    .filter((name) => !name.endsWith(')') && matches(name))
    .map((name) => [name, readVariable(name, sources) ?? '']);
}

const utf8Names: ReadonlySet<string> = new Set(['utf8', 'utf8mb3', 'utf8mb4', 'default', 'binary']);
const isUtf8 = (value: string): boolean => utf8Names.has(value.toLowerCase());
const isOn = (value: string): boolean => /^(1|on|true|default)$/i.test(value);
const isOff = (value: string): boolean => /^(0|off|false|default)$/i.test(value);
const isAnyValue = (): boolean => true;

/** Assignments that are accepted and ignored, since they do not change how statements run. */
const acceptedValues: Record<string, (value: string) => boolean> = {
  names: isUtf8,
  character_set_client: isUtf8,
  character_set_connection: isUtf8,
  character_set_results: (value) => isUtf8(value) || value.toLowerCase() === 'null',
  collation_connection: (value) => /^utf8/i.test(value),
  autocommit: isOn,
  sql_auto_is_null: isOff,
  net_read_timeout: isAnyValue,
  net_write_timeout: isAnyValue,
  wait_timeout: isAnyValue,
  interactive_timeout: isAnyValue,
};

/**
 * Checks an assignment to a MySQL variable, which the proxy can only accept if it has no effect.
 *
 * @returns the error if the assignment is not supported.
 * @internal
 */
export function checkAssignment({ scope, name, value }: Assignment): SqlError | undefined {
  const isSessionScope = scope === 'session' || scope === 'names';
  if (isSessionScope && lookUp(acceptedValues, name)?.(value)) return undefined;
  return createCallerError(
    'unsupported',
    `Connections to databases are shared, so SET ${name} to ${value} is not supported`,
  );
}
