import type { StatementOptions } from './statementOptions';

/** One `name = value` of a SET statement. @public */
export interface Assignment {
  /** `user` is `@name`, `names` is SET NAMES or SET CHARACTER SET, `transaction` SET TRANSACTION. */
  scope: 'session' | 'global' | 'user' | 'names' | 'transaction';
  /** In lower case. */
  name: string;
  value: string;
}

/** One column of a SELECT that asks for variables of the session alone. @public */
export interface VariableColumn {
  /** Name of the column in the answer. */
  label: string;
  /** In lower case: a system variable without `@@` and scope, or a function such as `database()`. */
  variable: string;
}

/** What a statement asks of the proxy. @public */
export type StatementRequest =
  | { type: 'read' }
  | { type: 'write' }
  /** Reads and locks, or wants the primary for another reason; it changes nothing. */
  | { type: 'lockingRead' }
  /** Changes the schema; a database commits an open transaction before it. */
  | { type: 'definition' }
  | { type: 'begin' }
  | { type: 'commit' }
  | { type: 'rollback' }
  | { type: 'set'; assignments: Assignment[] }
  | { type: 'use'; group: string }
  | { type: 'selectVariables'; columns: VariableColumn[] }
  /** `pattern` is that of LIKE or of WHERE Variable_name =. */
  | { type: 'showVariables'; pattern: string }
  /** Needs a database connection of the caller's own; `feature` names what. */
  | { type: 'unsupported'; feature: string };

/** A classified statement. @public */
export interface Statement {
  request: StatementRequest;
  options: StatementOptions;
}
