import {
  InvalidSessionVariableError,
  createSession,
  type Assignment,
  type Session,
  type VariableColumn,
} from '@wisterialift/core';
import type { SqlError } from '@wisterialift/mysql';
import type { Configuration } from '@wisterialift/schema';
import { callerError } from './callerErrors';
import { checkGroup } from './loginCheck';
import { findKind } from './requestKinds';
import {
  checkAssignment,
  listVariables,
  readVariable,
  type VariableSources,
} from './sessionVariables';

/** The group, the session and the variables of a caller connection. @internal */
export interface CallerSession {
  readonly session: Session;
  readonly group: string | undefined;
  /** @returns the error that refuses the group, or undefined. */
  useGroup: (name: string) => SqlError | undefined;
  /**
   * @returns the error that refuses an assignment, or undefined.
   * @throws InvalidTokenError, InvalidSessionVariableError
   */
  set: (assignments: Assignment[]) => SqlError | undefined;
  /** Values of the columns, or the error that names the first unknown variable. */
  select: (columns: VariableColumn[]) => (string | null)[] | SqlError;
  list: (pattern: string) => [string, string][];
  rememberInsertId: (insertId: number) => void;
  reset: () => void;
}

/** @internal */
export interface CallerSessionOptions {
  connectionId: number;
  caller: string;
  group: string | undefined;
  configuration: () => Configuration;
  maximumPacketBytes: number;
}

const OWN_PREFIX = 'wisterialift_';
const KIND_VARIABLE = 'wisterialift_kind';

/** Creates the session of a new caller connection. @internal */
export function createCallerSession(options: CallerSessionOptions): CallerSession {
  const { connectionId, caller, configuration, maximumPacketBytes } = options;
  const session = createSession();
  let { group } = options;
  let lastInsertId = 0;

  const sources = (): VariableSources => ({
    connectionId,
    caller,
    group,
    session,
    lastInsertId,
    maximumPacketBytes,
  });

  const assign = (assignment: Assignment): void => {
    const { name, value } = assignment;
    const isKnownKind = value === '' || findKind(configuration(), value) !== undefined;
    if (name === KIND_VARIABLE && !isKnownKind) throw unknownKind(value);
    session.assign(assignment);
  };

  return {
    session,
    get group() {
      return group;
    },
    useGroup: (name) => {
      const refusal = checkGroup(configuration(), caller, name);
      if (!refusal) group = name;
      return refusal;
    },
    set: (assignments) => {
      const refusal = assignments
        .filter(({ name }) => !name.startsWith(OWN_PREFIX))
        .map(checkAssignment)
        .find((error) => error !== undefined);
      if (!refusal) assignments.forEach(assign);
      return refusal;
    },
    select: (columns) => {
      const values = columns.map(({ variable }) => readVariable(variable, sources()));
      const unknown = columns[values.indexOf(undefined)];
      if (!unknown) return values.map((value) => value ?? null);
      return callerError('unknownVariable', `Unknown system variable '${unknown.variable}'`);
    },
    list: (pattern) => listVariables(pattern, sources()),
    rememberInsertId: (insertId) => {
      if (insertId > 0) lastInsertId = insertId;
    },
    reset: () => {
      session.reset();
      lastInsertId = 0;
    },
  };
}

/** @internal */
export function unknownKind(name: string): InvalidSessionVariableError {
  return new InvalidSessionVariableError(`no kind is named '${name}'`);
}
