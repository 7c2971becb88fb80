import { isPasswordProven, type CallerLogin, type SqlError } from '@wisterialift/mysql';
import type { Caller, Configuration } from '@wisterialift/schema';
import { callerError } from './callerErrors';

/** What a login is checked against. @internal */
export interface LoginContext {
  configuration: Configuration;
  /** Connections that the caller has open at this instance. */
  openConnections: (caller: string) => number;
}

/** A hash that no password is known for, so that unknown callers take as long as known ones. */
const NO_PASSWORD_HASH = '0'.repeat(40);

/**
 * Checks who connects, to which group, and whether there is room.
 *
 * @returns the error that refuses the login, or undefined.
 * @internal
 */
export function checkLogin(login: CallerLogin, context: LoginContext): SqlError | undefined {
  const { caller: name, group, proof } = login;
  const caller = findCaller(context.configuration, name);
  const isProven = isPasswordProven(caller?.passwordHash ?? NO_PASSWORD_HASH, proof);
  if (!caller || !isProven) {
    return callerError('accessDenied', `Access denied for caller '${name}'`);
  }
  if (context.openConnections(name) >= caller.connectionLimit) {
    const limit = `(current value: ${caller.connectionLimit})`;
    const message = `Caller '${name}' has exceeded the connection limit ${limit}`;
    return callerError('connectionLimit', message);
  }
  return group === undefined ? undefined : checkGroup(context.configuration, name, group);
}

/** Tells whether a caller may use a group. @internal */
export function checkGroup(
  configuration: Configuration,
  callerName: string,
  group: string,
): SqlError | undefined {
  if (!Object.hasOwn(configuration.groups, group)) {
    return callerError('unknownGroup', `Unknown group '${group}'`);
  }
  if (findCaller(configuration, callerName)?.groups.includes(group)) return undefined;
  const message = `Access denied for caller '${callerName}' to group '${group}'`;
  return callerError('groupNotAllowed', message);
}

/** @internal */
export function findCaller({ callers }: Configuration, name: string): Caller | undefined {
  return Object.hasOwn(callers, name) ? callers[name] : undefined;
}
