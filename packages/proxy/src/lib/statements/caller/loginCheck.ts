import { isPasswordProven, type CallerLogin, type SqlError } from '@wisterialift/mysql';
import { lookUp, type Caller, type Configuration } from '@wisterialift/schema';
import { createCallerError } from './callerErrors';

/** @internal */
export interface LoginContext {
  configuration: Configuration;
  /** Returns the number of open connections of a caller at this instance. */
  countConnections: (caller: string) => number;
}

/** Checked for unknown callers, so that response times do not reveal which callers exist. */
const UNKNOWN_CALLER_PASSWORD_HASH = '0'.repeat(40);

/**
 * Checks the password, the connection limit and the access to the requested group.
 *
 * @returns the error if the login is refused.
 * @internal
 */
export function checkLogin(login: CallerLogin, context: LoginContext): SqlError | undefined {
  const { caller: name, group, proof } = login;
  const caller = findCaller(context.configuration, name);
  const isPasswordValid = isPasswordProven(
    caller?.passwordHash ?? UNKNOWN_CALLER_PASSWORD_HASH,
    proof,
  );
  if (!caller || !isPasswordValid) {
    return createCallerError('accessDenied', `Access denied for caller '${name}'`);
  }
  if (context.countConnections(name) >= caller.connectionLimit) {
    const limit = `(current value: ${caller.connectionLimit})`;
    const message = `Caller '${name}' has exceeded the connection limit ${limit}`;
    return createCallerError('connectionLimit', message);
  }
  return group === undefined ? undefined : checkGroup(context.configuration, name, group);
}

/** @returns the error if the caller may not use the group. @internal */
export function checkGroup(
  configuration: Configuration,
  callerName: string,
  group: string,
): SqlError | undefined {
  if (!Object.hasOwn(configuration.groups, group)) {
    return createCallerError('unknownGroup', `Unknown group '${group}'`);
  }
  if (findCaller(configuration, callerName)?.groups.includes(group)) return undefined;
  const message = `Access denied for caller '${callerName}' to group '${group}'`;
  return createCallerError('groupNotAllowed', message);
}

/** @internal */
export function findCaller({ callers }: Configuration, name: string): Caller | undefined {
  return lookUp(callers, name);
}
