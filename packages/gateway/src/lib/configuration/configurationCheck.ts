import type { Logger } from '@wisterialift/telemetry';
import type { Clock } from '../ports/clock';
import type { ConfigurationPort } from '../ports/platformPort';
import { settleWithTimeout } from '../timing/promiseTimeout';
import { shareRunning } from '../timing/shareRunning';
import type { ActiveConfiguration } from './activeConfiguration';
import type { CallerIdentity } from './callerAccess';
import type { KeyRefusals } from './keyRefusals';

/** Looks for a newer configuration before a caller is refused. */
export interface ConfigurationCheck {
  /** Resolves at once if changes arrive promptly or a check was made lately. */
  checkFor: (identity: CallerIdentity) => Promise<void>;
}

/** Time for which a check of the configuration holds; well within the bound for a new version. */
const CHECK_VALIDITY_MILLISECONDS = 1_500;

/** Pause after a check that the store did not answer; such calls are billed as well. */
const FAILURE_PAUSE_MILLISECONDS = 2_000;

/** Limit of the wait for the store's answer. */
const REFRESH_TIMEOUT_MILLISECONDS = 600;

/**
 * Creates a check that reads the configuration from the store, or asks another instance if the store does
 * not answer. Another instance's word alone would not do: its configuration may be old as well, as that
 * of an instance which only this one takes for a holder.
 */
export function createConfigurationCheck(options: {
  port: ConfigurationPort;
  configuration: ActiveConfiguration;
  keyRefusals: KeyRefusals;
  /** Takes over the configuration of another instance if it is newer. */
  askOtherInstance: () => Promise<void>;
  clock: Clock;
  logger: Logger;
}): ConfigurationCheck {
  const { port, configuration, keyRefusals, askOtherInstance, clock, logger } = options;
  let checkedAt = -Infinity;
  let failedAt = -Infinity;

  const isKeyRefused = (identity: CallerIdentity) =>
    configuration.findAccess(identity)?.type === 'refused';

  async function refresh(): Promise<void> {
    if (clock.now() - failedAt < FAILURE_PAUSE_MILLISECONDS) return askOtherInstance();
    const startedAt = clock.now();
    const result = await settleWithTimeout(clock, port.refresh(), REFRESH_TIMEOUT_MILLISECONDS);
    if (result.type === 'value') {
      checkedAt = startedAt;
      return undefined;
    }
    failedAt = clock.now();
    const error = result.type === 'error' ? result.error : undefined;
    const version = configuration.getVersion();
    logger.warn('configurationNotRefreshed', { outcome: result.type, version, error });
    return askOtherInstance();
  }

  const refreshOnce = shareRunning(refresh);

  function checkUnlessKnown(): Promise<void> {
    const isKnown = clock.now() - checkedAt < CHECK_VALIDITY_MILLISECONDS;
    if (port.isFresh() || isKnown) return Promise.resolve();
    return refreshOnce();
  }

  async function checkFor(identity: CallerIdentity): Promise<void> {
    const { keyDigest } = identity;
    const access = configuration.findAccess(identity);
    const isUnknownKey = access?.type === 'refused' && access.reason === 'unauthenticated';
    if (isUnknownKey && keyDigest !== undefined && keyRefusals.has(keyDigest)) return;
    await checkUnlessKnown();
    if (isUnknownKey && keyDigest !== undefined && isKeyRefused(identity)) {
      keyRefusals.add(keyDigest, checkedAt);
    }
  }

  return { checkFor };
}
