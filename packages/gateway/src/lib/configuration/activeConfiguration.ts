import type { CancelTimer, Clock } from '../ports/clock';
import { findCallerAccess } from './callerAccess';
import type { CallerAccess, CallerIdentity } from './callerAccess';
import type { GatewayConfiguration, Route } from './gatewayConfiguration';

/** Wait for the configuration watch to deliver a version that another instance already has. */
export const CONFIGURATION_WAIT_MILLISECONDS = 250;

/** The route of a database in the active version. */
export interface VersionedRoute {
  version: number;
  /** Undefined if the version has no route for the database. */
  route: Route | undefined;
}

/** The configuration version that this instance applies. */
export interface ActiveConfiguration {
  /** Activates a configuration that is newer than the active one; ignores any other. */
  adopt: (configuration: GatewayConfiguration) => void;
  get: () => GatewayConfiguration | undefined;
  /** Returns -1 before the first version is adopted. */
  getVersion: () => number;
  /** Returns undefined before the first version is adopted. */
  findRoute: (database: string) => VersionedRoute | undefined;
  /** Returns undefined before the first version is adopted. */
  findAccess: (identity: CallerIdentity) => CallerAccess | undefined;
  /** Resolves to true once `version` or a newer one is active, or to false after `milliseconds`. */
  waitForVersion: (version: number, milliseconds: number) => Promise<boolean>;
}

/**
 * Creates a holder of the newest configuration version seen.
 *
 * @param options.onAdopted - called with each newly active configuration and the former one.
 */
export function createActiveConfiguration({
  clock,
  onAdopted,
}: {
  clock: Clock;
  onAdopted: (
    configuration: GatewayConfiguration,
    former: GatewayConfiguration | undefined,
  ) => void;
}): ActiveConfiguration {
  const waiters = new Set<() => void>();
  let configuration: GatewayConfiguration | undefined;
  const getVersion = () => configuration?.version ?? -1;

  return {
    adopt: (next) => {
      if (next.version <= getVersion()) return;
      const former = configuration;
      configuration = next;
      onAdopted(next, former);
      for (const notify of [...waiters]) notify();
    },
    get: () => configuration,
    getVersion,
    findRoute: (database) =>
      configuration && {
        version: configuration.version,
        route: configuration.routes.get(database),
      },
    findAccess: (identity) => configuration && findCallerAccess(configuration, identity),
    waitForVersion: (minimumVersion, milliseconds) =>
      new Promise((resolve) => {
        if (getVersion() >= minimumVersion) {
          resolve(true);
          return;
        }
        let cancelTimer: CancelTimer | undefined;
        const wake = () => {
          if (getVersion() >= minimumVersion) settle(true);
        };
        function settle(isActive: boolean): void {
          cancelTimer?.();
          waiters.delete(wake);
          resolve(isActive);
        }
        waiters.add(wake);
        cancelTimer = clock.runAfter(milliseconds, () => settle(false));
      }),
  };
}
