import type { GatewayConfiguration, Route, Team } from './gatewayConfiguration';

/** What a caller stated when it started its session. */
export interface CallerIdentity {
  database: string;
  /** Digest of the key that the caller presented; undefined if it presented none. */
  keyDigest: string | undefined;
}

/** Whether one version of the configuration lets a caller use its database. */
export type CallerAccess =
  | {
      type: 'granted';
      version: number;
      route: Route;
      /** Undefined if the route is public or callers are not identified by keys. */
      team: Team | undefined;
    }
  | {
      type: 'refused';
      version: number;
      reason: 'unknownDatabase' | 'unauthenticated';
      detail: string;
    };

/** Determines the route and the team of a caller; takes constant time. */
export function findCallerAccess(
  { version, routes, teams }: GatewayConfiguration,
  { database, keyDigest }: CallerIdentity,
): CallerAccess {
  const route = routes.get(database);
  if (!route) {
    const detail = `no route leads to ${database}`;
    return { type: 'refused', version, reason: 'unknownDatabase', detail };
  }
  if (!teams || route.isPublic) return { type: 'granted', version, route, team: undefined };
  const team = keyDigest === undefined ? undefined : teams.byKeyDigest.get(keyDigest);
  if (team) return { type: 'granted', version, route, team };
  const detail = `the key is not valid for ${database}`;
  return { type: 'refused', version, reason: 'unauthenticated', detail };
}
