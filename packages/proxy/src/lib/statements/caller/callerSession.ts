import {
  InvalidSessionVariableError,
  createSession,
  type Assignment,
  type Session,
  type VariableColumn,
} from '@wisterialift/core';
import type { SqlError } from '@wisterialift/mysql';
import type { Configuration } from '@wisterialift/schema';
import { createCallerError } from './callerErrors';
import { checkGroup } from './loginCheck';
import { findKind } from './requestKinds';
import {
  checkAssignment,
  listVariables,
  readVariable,
  type VariableSources,
} from './sessionVariables';

/** The selected group, session and variables of a caller connection. @internal */
export interface CallerSession {
  readonly session: Session;
  readonly group: string | undefined;
  /** @returns the error if the caller may not use the group. */
  useGroup: (name: string) => SqlError | undefined;
  /**
   * @returns the error of the first unsupported assignment to a MySQL variable; no assignment is
   * applied then.
   * @throws InvalidTokenError, InvalidSessionVariableError; earlier assignments stay applied.
   */
  setVariables: (assignments: Assignment[]) => SqlError | undefined;
  /** @returns the values of the columns, or an error for the first unknown variable. */
  selectVariables: (columns: VariableColumn[]) => (string | null)[] | SqlError;
  listVariables: (pattern: string) => [string, string][];
  setLastInsertId: (insertId: number) => void;
  reset: () => void;
}

/** @internal */
export interface CallerSessionOptions {
  connectionId: number;
  caller: string;
  group: string | undefined;
  getConfiguration: () => Configuration;
  maximumPacketBytes: number;
}

const PROXY_VARIABLE_PREFIX = 'wisterialift_';
const KIND_VARIABLE = 'wisterialift_kind';

/** @internal */
export function createCallerSession(options: CallerSessionOptions): CallerSession {
  const { connectionId, caller, getConfiguration, maximumPacketBytes } = options;
  const session = createSession();
  let { group } = options;
  let lastInsertId = 0;

  const getSources = (): VariableSources => ({
    connectionId,
    caller,
    group,
    session,
    lastInsertId,
    maximumPacketBytes,
  });

  const assign = (assignment: Assignment): void => {
    const { name, value } = assignment;
    const isKnownKind = value === '' || findKind(getConfiguration(), value) !== undefined;
    if (name === KIND_VARIABLE && !isKnownKind) throw createUnknownKindError(value);
    session.assign(assignment);
  };

  return {
    session,
    get group() {
      return group;
    },
    useGroup: (name) => {
      const refusal = checkGroup(getConfiguration(), caller, name);
      if (!refusal) group = name;
      return refusal;
    },
    setVariables: (assignments) => {
      const refusal = assignments
        .filter(({ name }) => !name.startsWith(PROXY_VARIABLE_PREFIX))
        .map(checkAssignment)
        .find((error) => error !== undefined);
      if (!refusal) assignments.forEach(assign);
      return refusal;
    },
    selectVariables: (columns) => {
      const values = columns.map(({ variable }) => readVariable(variable, getSources()));
      const unknown = columns[values.indexOf(undefined)];
      if (!unknown) return values.map((value) => value ?? null);
      return createCallerError('unknownVariable', `Unknown system variable '${unknown.variable}'`);
    },
    listVariables: (pattern) => listVariables(pattern, getSources()),
    setLastInsertId: (insertId) => {
      if (insertId > 0) lastInsertId = insertId;
    },
    reset: () => {
      session.reset();
      lastInsertId = 0;
    },
  };
}

/** @internal */
export function createUnknownKindError(name: string): InvalidSessionVariableError {
  return new InvalidSessionVariableError(`no kind is named '${name}'`);
}
