import type { StatementOptions } from './statementOptions';

/** One assignment of a SET statement. @public */
export interface Assignment {
  /** `user` is `@name`, `names` is SET NAMES or SET CHARACTER SET, `transaction` SET TRANSACTION. */
  scope: 'session' | 'global' | 'user' | 'names' | 'transaction';
  /** In lower case. */
  name: string;
  value: string;
}

/** One column of a SELECT that only reads session variables. @public */
export interface VariableColumn {
  /** Column name in the result. */
  label: string;
  /** In lower case: a system variable without `@@` and scope, or a function such as `database()`. */
  variable: string;
}

/** Classification of a statement. @public */
export type StatementClassification =
  | { type: 'read' }
  /** `mayCommit` if it may commit an open transaction by itself; a procedure can. */
  | { type: 'write'; mayCommit?: true }
  /** A read that must run on the primary, for example because it takes locks. */
  | { type: 'lockingRead' }
  /** A schema change; it implicitly commits an open transaction. */
  | { type: 'definition' }
  | { type: 'begin' }
  | { type: 'commit' }
  | { type: 'rollback' }
  | { type: 'set'; assignments: Assignment[] }
  | { type: 'use'; group: string }
  | { type: 'selectVariables'; columns: VariableColumn[] }
  /** `pattern` is the operand of LIKE or of `WHERE Variable_name =`. */
  | { type: 'showVariables'; pattern: string }
  /** Not supported on shared connections; `feature` is for the error message. */
  | { type: 'unsupported'; feature: string };

/** A classified statement. @public */
export interface ClassifiedStatement {
  request: StatementClassification;
  options: StatementOptions;
}

/** Whether the statement may commit an open transaction by itself. @public */
export function mayCommit({ request }: ClassifiedStatement): boolean {
  return request.type === 'write' && request.mayCommit === true;
}
