import type { GatewayConfiguration, Route } from './gatewayConfiguration';

/** Where a database leads by one version of the configuration. @public */
export interface VersionedRoute {
  database: string;
  version: number;
  /** Undefined where that version has no route for the database. */
  route: Route | undefined;
}

/** What this instance knows of where databases lead. */
export interface RouteBook {
  /** Takes a version in place of an older one. @returns whether it was news. */
  adopt: (configuration: GatewayConfiguration) => boolean;
  /** Takes what another instance said of one database. @returns the newest that is known of it. */
  learn: (versioned: VersionedRoute) => VersionedRoute;
  /** Undefined before the first version. */
  find: (database: string) => VersionedRoute | undefined;
  current: () => GatewayConfiguration | undefined;
}

/**
 * Keeps the newest version of each route.
 *
 * Instances hear of a version at different moments. A caller whose statements are run by several of
 * them would see a dropped route come back for a moment; so both sides of a relayed statement use
 * the newer of what they know, and remember it until their own version has caught up.
 */
export function createRouteBook(): RouteBook {
  const learned = new Map<string, VersionedRoute>();
  let configuration: GatewayConfiguration | undefined;

  function find(database: string): VersionedRoute | undefined {
    if (!configuration) return undefined;
    const { version, routes } = configuration;
    const own = { database, version, route: routes.get(database) };
    const told = learned.get(database);
    return told && told.version > version ? told : own;
  }

  return {
    adopt: (next) => {
      if (configuration && next.version <= configuration.version) return false;
      configuration = next;
      for (const [database, { version }] of learned) {
        if (version <= next.version) learned.delete(database);
      }
      return true;
    },
    learn: (versioned) => {
      const { database, version } = versioned;
      const known = find(database);
      if (known && known.version >= version) return known;
      learned.set(database, versioned);
      return versioned;
    },
    find,
    current: () => configuration,
  };
}
