import { ORIGIN, maxPosition, type Position } from '@wisterialift/schema';
import type { Assignment } from './statement';
import { decodeToken, encodeToken, type GroupPosition } from './sessionToken';

/** A variable of the session that was given a value which it does not take. @public */
export class InvalidSessionVariableError extends Error {
  override name = 'InvalidSessionVariableError';
}

/** State of one caller connection's session, which the statements read and change. @public */
export interface Session {
  /** Name of the request kind that the session chose; undefined for the default. */
  readonly kind: string | undefined;
  /** Name that the caller gave the session, for logs. */
  readonly name: string | undefined;
  /**
   * Takes `SET wisterialift_* = ...`.
   *
   * @returns false where the assignment is of another variable.
   * @throws InvalidTokenError, InvalidSessionVariableError
   */
  assign: (assignment: Assignment) => boolean;
  /** Remembers where an acknowledged write of this connection stands. */
  addWrite: (group: string, position: Position) => void;
  /**
   * Position that a read must see.
   *
   * @param token - token of the statement's own comment, if any.
   * @returns undefined where the engine has to ask the group for it.
   * @throws InvalidTokenError
   */
  floorOf: (group: string, token?: string) => Position | undefined;
  /** Token with every position that the session has given or written. */
  token: () => string;
  /** Back to the state of a new connection. */
  reset: () => void;
}

const VARIABLE_PREFIX = 'wisterialift_';
const kindForm = /^[a-z0-9][a-z0-9-]{0,62}$/;

/**
 * Creates the session of a new caller connection.
 *
 * The same session may be open at another proxy, where it writes without this one seeing it. So the
 * connection's own writes alone bound a read only when the caller says that it does not roam, or when
 * it carries the token itself.
 *
 * @public
 */
export function createSession(): Session {
  const positions = new Map<string, Position>();
  let kind: string | undefined;
  let name: string | undefined;
  let carriesToken = false;
  let isRoaming = true;

  const add = ({ group, position }: GroupPosition): void => {
    positions.set(group, maxPosition(positions.get(group) ?? ORIGIN, position));
  };

  const handlers: Record<string, (value: string) => void> = {
    token: (value) => {
      if (value === '') {
        carriesToken = false;
        return;
      }
      decodeToken(value).forEach(add);
      carriesToken = true;
    },
    kind: (value) => {
      if (value !== '' && !kindForm.test(value)) {
        throw new InvalidSessionVariableError('wisterialift_kind is not the name of a kind');
      }
      kind = value === '' ? undefined : value;
    },
    session: (value) => {
      name = value === '' ? undefined : value;
    },
    roaming: (value) => {
      const isRoamingByValue: Record<string, boolean> = { 0: false, off: false, 1: true, on: true };
      const wanted = isRoamingByValue[value.toLowerCase()];
      if (wanted === undefined) {
        throw new InvalidSessionVariableError('wisterialift_roaming takes 0 or 1');
      }
      isRoaming = wanted;
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
      const handler = handlers[variable.slice(VARIABLE_PREFIX.length)];
      if (!handler) {
        throw new InvalidSessionVariableError(`${variable} is no variable of a session`);
      }
      handler(value);
      return true;
    },
    addWrite: (group, position) => add({ group, position }),
    floorOf: (group, token) => {
      if (token !== undefined) decodeToken(token).forEach(add);
      if (token === undefined && !carriesToken && isRoaming) return undefined;
      return positions.get(group) ?? ORIGIN;
    },
    token: () => encodeToken([...positions].map(([group, position]) => ({ group, position }))),
    reset: () => {
      positions.clear();
      kind = undefined;
      name = undefined;
      carriesToken = false;
      isRoaming = true;
    },
  };
}
