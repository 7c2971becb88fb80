import { INITIAL_POSITION, getHigherPosition, lookUp, type Position } from '@wisterialift/schema';
import type { Assignment } from './statement';
import { decodeToken, encodeToken, type GroupPosition } from './sessionToken';

/** An unknown session variable, or an invalid value for one. @public */
export class InvalidSessionVariableError extends Error {
  override name = 'InvalidSessionVariableError';
}

/** Session state of a caller connection. @public */
export interface Session {
  /** Name of the selected request kind; undefined for the default. */
  readonly kind: string | undefined;
  /** Session name set by the caller, for logs. */
  readonly name: string | undefined;
  /**
   * Applies `SET wisterialift_* = ...`.
   *
   * @returns false if the variable is not a session variable of the proxy.
   * @throws InvalidTokenError, InvalidSessionVariableError
   */
  assign: (assignment: Assignment) => boolean;
  /** Records the log position of an acknowledged write of this connection. */
  addWrite: (group: string, position: Position) => void;
  /**
   * Returns the minimum position that a read must reflect, after adding the positions of `token` to the
   * session.
   *
   * @param token - token from the statement's leading comment.
   * @returns undefined if the engine must query the group for the position.
   * @throws InvalidTokenError
   */
  resolveFloor: (group: string, token?: string) => Position | undefined;
  /** Returns a token with all positions of the session. */
  createToken: () => string;
  /** Resets the session to the state of a new connection. */
  reset: () => void;
}

const VARIABLE_PREFIX = 'wisterialift_';
const KIND_NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;

/**
 * Creates the session of a new caller connection. A roaming session may write through another
 * instance, so positions known here suffice only without roaming or with the session token.
 *
 * @public
 */
export function createSession(): Session {
  const positions = new Map<string, Position>();
  let kind: string | undefined;
  let name: string | undefined;
  let hasToken = false;
  let isRoaming = true;

  const addPosition = ({ group, position }: GroupPosition): void => {
    positions.set(group, getHigherPosition(positions.get(group) ?? INITIAL_POSITION, position));
  };

  const handlers: Record<string, (value: string) => void> = {
    token: (value) => {
      if (value === '') {
        hasToken = false;
        return;
      }
      decodeToken(value).forEach(addPosition);
      hasToken = true;
    },
    kind: (value) => {
      if (value !== '' && !KIND_NAME_PATTERN.test(value)) {
        throw new InvalidSessionVariableError('wisterialift_kind is not the name of a kind');
      }
      kind = value === '' ? undefined : value;
    },
    session: (value) => {
      name = value === '' ? undefined : value;
    },
    roaming: (value) => {
      const isRoamingByValue: Record<string, boolean> = { 0: false, off: false, 1: true, on: true };
      const isRoamingRequested = lookUp(isRoamingByValue, value.toLowerCase());
      if (isRoamingRequested === undefined) {
        throw new InvalidSessionVariableError('wisterialift_roaming takes 0 or 1');
      }
      isRoaming = isRoamingRequested;
    },
  };

  return {
    get kind() {
      return kind;
    },
    get name() {
      return name;
    },
    assign: ({ name: variable, value }) => {
      if (!variable.startsWith(VARIABLE_PREFIX)) return false;
      const handler = lookUp(handlers, variable.slice(VARIABLE_PREFIX.length));
      if (!handler) {
        throw new InvalidSessionVariableError(`${variable} is no variable of a session`);
      }
      handler(value);
      return true;
    },
    addWrite: (group, position) => addPosition({ group, position }),
    resolveFloor: (group, token) => {
      if (token !== undefined) decodeToken(token).forEach(addPosition);
      if (token === undefined && !hasToken && isRoaming) return undefined;
      return positions.get(group) ?? INITIAL_POSITION;
    },
    createToken: () =>
      encodeToken([...positions].map(([group, position]) => ({ group, position }))),
    reset: () => {
      positions.clear();
      kind = undefined;
      name = undefined;
      hasToken = false;
      isRoaming = true;
    },
  };
}
