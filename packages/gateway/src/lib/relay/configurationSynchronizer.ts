import type { Logger } from '@wisterialift/telemetry';
import { CONFIGURATION_WAIT_MILLISECONDS } from '../configuration/activeConfiguration';
import type { ActiveConfiguration } from '../configuration/activeConfiguration';
import { decodeConfiguration, encodeConfiguration } from '../configuration/gatewayConfiguration';
import type { Clock } from '../ports/clock';
import type { PeerLink } from './peerLink';

/** Brings this instance and others to the same configuration version. */
export interface ConfigurationSynchronizer {
  /**
   * Brings both sides of a link to the newer of their versions, so that callers are never served by
   * an older version after a newer one.
   *
   * @param version - the other side's version.
   */
  synchronize: (link: PeerLink, version: number) => Promise<void>;
  /**
   * Asks the other side of a link for its version and takes over a newer one.
   *
   * @returns false if it did not answer.
   */
  updateFrom: (link: PeerLink) => Promise<boolean>;
  /** Takes over the configuration of the other side of a link, which has a newer version. */
  take: (link: PeerLink) => Promise<void>;
}

/** Allows for configurations of up to 250 kB. */
const EXCHANGE_TIMEOUT_MILLISECONDS = 600;

export function createConfigurationSynchronizer(options: {
  configuration: ActiveConfiguration;
  clock: Clock;
  logger: Logger;
}): ConfigurationSynchronizer {
  const { configuration, clock, logger } = options;

  const getAnswerBy = () => clock.now() + EXCHANGE_TIMEOUT_MILLISECONDS;

  async function take(link: PeerLink): Promise<void> {
    const outcome = await link.request({ wantsConfiguration: true }, getAnswerBy());
    if (outcome.type !== 'answered' || outcome.response.configurationJson === '') return;
    const former = configuration.getVersion();
    const taken = decodeConfiguration(outcome.response.configurationJson);
    logger.info('configurationTaken', { version: taken.version, former });
    configuration.adopt(taken);
  }

  async function synchronize(link: PeerLink, version: number): Promise<void> {
    const current = configuration.get();
    if (!current || current.version === version) return;
    if (current.version > version) {
      logger.info('configurationSent', { version: current.version, former: version });
      await link.request({ configurationJson: encodeConfiguration(current) }, getAnswerBy());
    } else if (!(await configuration.waitForVersion(version, CONFIGURATION_WAIT_MILLISECONDS))) {
      await take(link);
    }
  }

  return {
    synchronize,
    take,
    updateFrom: async (link) => {
      const outcome = await link.request({}, getAnswerBy());
      if (outcome.type !== 'answered') return false;
      if (outcome.response.version > configuration.getVersion()) await take(link);
      return true;
    },
  };
}
